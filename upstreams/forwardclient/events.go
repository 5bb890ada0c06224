package forwardclient

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 256 << 10

// eventReader splits a stream into complete events. An event ends with an empty
// line; data after the last complete event is not returned.
type eventReader struct {
	src   io.Reader
	codec quetzalroad.UpstreamCodec
	// buffer[start:end] was read and not yet returned; buffer[start:scanned]
	// contains no event terminator.
	buffer     []byte
	start, end int
	scanned    int
	readErr    error
}

var errEventTooLong = errors.New("event exceeds the size limit")

func (r *eventReader) next() (quetzalroad.BodyChunk, error) {
	for {
		if n := r.eventLen(); n > 0 {
			data := r.buffer[r.start : r.start+n]
			r.start += n
			r.scanned = r.start
			id, _ := r.codec.EventID(data)
			return quetzalroad.BodyChunk{Data: data, EventID: id}, nil
		}
		if r.readErr != nil {
			return quetzalroad.BodyChunk{}, r.finalError()
		}
		if err := r.fill(); err != nil {
			r.readErr = err
		}
	}
}

// finalError returns the read error, or io.ErrUnexpectedEOF for an EOF inside an event.
func (r *eventReader) finalError() error {
	if errors.Is(r.readErr, io.EOF) && r.end > r.start {
		return io.ErrUnexpectedEOF
	}
	return r.readErr
}

// eventLen returns the length of the first complete event, or zero if there is none.
func (r *eventReader) eventLen() int {
	scanStart := max(r.start, r.scanned-len("\r\n\r"))
	unscanned := r.buffer[scanStart:r.end]
	eventEnd := -1
	for _, terminator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\n\r\n")} {
		if i := bytes.Index(unscanned, terminator); i >= 0 && (eventEnd < 0 || i+len(terminator) < eventEnd) {
			eventEnd = i + len(terminator)
		}
	}
	r.scanned = r.end
	if eventEnd < 0 {
		return 0
	}
	return scanStart + eventEnd - r.start
}

// fill reads more of src into the buffer, growing it up to maxEventBytes.
func (r *eventReader) fill() error {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.scanned -= r.start
		r.start = 0
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= maxEventBytes {
			return errEventTooLong
		}
		r.buffer = append(r.buffer, make([]byte, max(1024, len(r.buffer)))...)
	}
	n, err := r.src.Read(r.buffer[r.end:])
	r.end += n
	return err
}
