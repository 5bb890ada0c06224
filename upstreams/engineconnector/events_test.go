package engineconnector

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// repeatingReader repeats a text until limit bytes were read.
type repeatingReader struct {
	text         string
	limit, count int
}

// Read implements io.Reader.
func (r *repeatingReader) Read(p []byte) (int, error) {
	if r.count >= r.limit {
		return 0, io.EOF
	}
	n := copy(p, r.text[r.count%len(r.text):])
	r.count += n
	return n, nil
}

// Comments and lines without end took up memory until a limit, which sound streams reached as well.
func TestBytesWithoutEndTakeUpLittleMemory(t *testing.T) {
	const streamBytes = 16 << 20
	for name, c := range map[string]struct {
		text      string
		malformed bool
	}{
		"comments":      {": " + strings.Repeat("x", 500) + "\n", false},
		"empty lines":   {"\r\n", false},
		"a comment":     {":", true},
		"a line":        {"data: x", true},
		"lines of data": {"data: x\n", true},
	} {
		src := &repeatingReader{text: c.text, limit: streamBytes}
		_, err := newEventReader(src).next()
		var malformed *malformedEventError
		if errors.As(err, &malformed) != c.malformed || (!c.malformed && !errors.Is(err, io.ErrUnexpectedEOF)) {
			t.Errorf("%s: error %v after %d bytes", name, err, src.count)
		}
		if c.malformed && src.count > 8*maxEventBytes {
			t.Errorf("%s: %d bytes were read", name, src.count)
		}
	}
}
