package forwardclient

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/bufferer"
	"github.com/quetzalroad/quetzalroad/support/linefinder"
)

const (
	// minBufferBytes is the size with which the buffer begins.
	minBufferBytes = 1 << 10
	// maxEventBytes limits the size of one event.
	maxEventBytes = 256 << 10
)

// eventReader splits a stream into complete events, each of which ends with an empty line.
type eventReader struct {
	src   io.Reader
	codec quetzalroad.UpstreamCodec
	// strict makes a block that is no event an error, and drops further empty lines, the byte order mark and a comment
	// line at the end. Elsewhere all bytes are returned, and such a block is an event without an id.
	strict bool
	// buffer[start:end] was read and not yet returned; buffer[start:scanned]
	// contains no end of an event.
	buffer     []byte
	start, end int
	scanned    int
	// begun is set once a block was returned or dropped.
	begun   bool
	readErr error
	// reservation is for the buffer.
	reservation bufferer.Reservation
}

var errEventTooLong = errors.New("event exceeds the size limit")

// byteOrderMark may precede the first event.
var byteOrderMark = []byte("\ufeff")

func (r *eventReader) next() (quetzalroad.BodyChunk, error) {
	for {
		if block := r.nextBlock(); len(block) > 0 {
			event, err := r.codec.DecodeEvent(block)
			if err != nil && r.strict {
				return quetzalroad.BodyChunk{}, err
			}
			return quetzalroad.BodyChunk{Data: block, EventID: event.ID, IsComment: event.IsComment}, nil
		}
		if r.readErr != nil {
			return quetzalroad.BodyChunk{}, r.finalError()
		}
		if err := r.fill(); err != nil {
			r.readErr = err
		}
	}
}

// nextBlock returns the lines up to the next empty one; nil if they have not all been read.
func (r *eventReader) nextBlock() []byte {
	for r.strict && r.start < r.end && isLineEnd(r.buffer[r.start]) {
		r.start++
	}
	n := r.blockLen()
	if n == 0 {
		return nil
	}
	block := r.buffer[r.start : r.start+n]
	r.start += n
	r.scanned = r.start
	if r.strict && !r.begun {
		block = bytes.TrimPrefix(block, byteOrderMark)
	}
	r.begun = true
	return block
}

func isLineEnd(c byte) bool {
	return c == '\n' || c == '\r'
}

// finalError returns the read error, or io.ErrUnexpectedEOF for an EOF inside an event.
func (r *eventReader) finalError() error {
	rest := r.buffer[r.start:r.end]
	if !errors.Is(r.readErr, io.EOF) || len(rest) == 0 {
		return r.readErr
	}
	if !r.strict {
		return io.ErrUnexpectedEOF
	}
	if event, err := r.codec.DecodeEvent(rest); err == nil && event.IsComment && isLineEnd(rest[len(rest)-1]) {
		return r.readErr
	}
	return io.ErrUnexpectedEOF
}

// maxBlockEndBytes is the length of the longest end of a block.
const maxBlockEndBytes = len("\n\r\n")

// blockLen returns the length of the first block with the empty line that ends it, or zero if that line was not
// read yet. Lines end with a line feed, a carriage return or both.
func (r *eventReader) blockLen() int {
	b := r.buffer[:r.end]
	for i := max(r.start, r.scanned-maxBlockEndBytes+1); ; i++ {
		n := linefinder.Index(b[i:])
		i += n
		if n < 0 || i+1 == len(b) {
			break
		}
		switch {
		case b[i] == b[i+1]:
			return i + 2 - r.start
		case b[i] == '\r' || b[i+1] != '\r' || i+2 == len(b):
		case b[i+2] == '\n':
			return i + 3 - r.start
		default:
			return i + 2 - r.start
		}
	}
	r.scanned = r.end
	return 0
}

// fill reads more of src into the buffer, growing it up to maxEventBytes. It drops a buffer that grew for an event
// which was returned.
func (r *eventReader) fill() error {
	if r.start == r.end && len(r.buffer) > bufferer.FreeBytes {
		r.release()
	}
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
		if err := r.grow(); err != nil {
			return err
		}
	}
	n, err := r.src.Read(r.buffer[r.end:])
	r.end += n
	return err
}

func (r *eventReader) grow() error {
	size := max(minBufferBytes, 2*len(r.buffer))
	if !r.reservation.Resize(size) {
		return quetzalroad.ErrBuffersFull
	}
	grown := make([]byte, size)
	copy(grown, r.buffer)
	r.buffer = grown
	return nil
}

// release drops the buffer and returns what it held of the budget.
func (r *eventReader) release() {
	r.buffer, r.start, r.end, r.scanned = nil, 0, 0, 0
	r.reservation.Release()
}
