package forwardclient

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// maxEventBytes bounds one event.
const maxEventBytes = 256 << 10

// eventReader cuts a stream into whole events. An event ends with an empty
// line; what comes after the last whole one is never handed on.
type eventReader struct {
	source io.Reader
	codec  quetzalroad.UpstreamCodec
	// buffer[start:end] is read and not handed on yet; buffer[start:seen]
	// holds no end of an event.
	buffer     []byte
	start, end int
	seen       int
	failed     error
}

var errEventTooLong = errors.New("an event is too long")

func (r *eventReader) next() (quetzalroad.BodyChunk, error) {
	for {
		if n := r.cut(); n > 0 {
			data := r.buffer[r.start : r.start+n]
			r.start += n
			r.seen = r.start
			id, _ := r.codec.EventID(data)
			return quetzalroad.BodyChunk{Data: data, EventID: id}, nil
		}
		if r.failed != nil {
			return quetzalroad.BodyChunk{}, r.ending()
		}
		if err := r.fill(); err != nil {
			r.failed = err
		}
	}
}

// ending gives the end of the stream. One that comes inside an event cuts it.
func (r *eventReader) ending() error {
	if errors.Is(r.failed, io.EOF) && r.end > r.start {
		return io.ErrUnexpectedEOF
	}
	return r.failed
}

// cut gives the length of the first whole event; zero where there is none.
func (r *eventReader) cut() int {
	from := max(r.start, r.seen-len("\r\n\r"))
	unread := r.buffer[from:r.end]
	best := -1
	for _, mark := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\n\r\n")} {
		if i := bytes.Index(unread, mark); i >= 0 && (best < 0 || i+len(mark) < best) {
			best = i + len(mark)
		}
	}
	r.seen = r.end
	if best < 0 {
		return 0
	}
	return from + best - r.start
}

// fill reads more.
func (r *eventReader) fill() error {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.seen -= r.start
		r.start = 0
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= maxEventBytes {
			return errEventTooLong
		}
		r.buffer = append(r.buffer, make([]byte, max(1024, len(r.buffer)))...)
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	return err
}
