package engineconnector

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes limits the size of the data of one event, and of one line.
	maxEventBytes = 256 << 10
	// firstBufferBytes holds the longest line of most completions.
	firstBufferBytes = 4 << 10
	// errorEventType is the type of the event by which an engine reports that it failed.
	errorEventType = "error"
)

// malformedEventError is the error for a part of a stream that is no event.
type malformedEventError struct {
	// problem says what is wrong, without the bytes themselves, which may be a part of a response.
	problem string
}

// Error implements error.
func (e *malformedEventError) Error() string {
	return "malformed event stream: " + e.problem
}

// eventReader reads the data of the events of an engine's stream. It skips comments, retry fields and empty lines,
// and returns a *malformedEventError for anything else that holds no data.
type eventReader struct {
	scanner *bufio.Scanner
	// begun is set once a line was read.
	begun bool
	// afterReturn is set if the last line ended with a carriage return, whose line feed may follow.
	afterReturn bool
	// scanned is the number of bytes of the current line that were searched for its end.
	scanned int
	event   partialEvent
}

// partialEvent holds the lines of an event that were read so far.
type partialEvent struct {
	data []byte
	// hasData and hasName report whether there were fields with data, and such with an id or an event type.
	hasData, hasName bool
}

func newEventReader(src io.Reader) *eventReader {
	r := &eventReader{scanner: bufio.NewScanner(src)}
	r.scanner.Buffer(make([]byte, 0, firstBufferBytes), maxEventBytes)
	r.scanner.Split(r.splitLine)
	return r
}

// next returns the data of the next event. The error is io.ErrUnexpectedEOF if the stream ends before.
func (r *eventReader) next() ([]byte, error) {
	r.event = partialEvent{}
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if !r.begun {
			line = bytes.TrimPrefix(line, []byte("\ufeff"))
			r.begun = true
		}
		switch {
		case len(line) > 0:
			if err := r.event.addLine(line); err != nil {
				return nil, err
			}
		case r.event.hasData:
			return r.event.data, nil
		case r.event.hasName:
			return nil, &malformedEventError{problem: "an event has no data"}
		}
	}
	err := r.scanner.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return nil, &malformedEventError{problem: "a line exceeds the size limit"}
	case err != nil:
		return nil, err
	}
	return nil, io.ErrUnexpectedEOF
}

// splitLine is a bufio.SplitFunc for lines that end with a line feed, a carriage return or both. The last line of an
// event is returned without waiting for the byte after its carriage return.
func (r *eventReader) splitLine(data []byte, _ bool) (advance int, line []byte, err error) {
	start := 0
	if r.afterReturn && bytes.HasPrefix(data, []byte("\n")) {
		start = 1
	}
	searched := max(start, r.scanned)
	end := bytes.IndexAny(data[searched:], "\r\n")
	if end < 0 {
		r.scanned = len(data)
		return 0, nil, nil
	}
	end += searched
	r.scanned = 0
	r.afterReturn = data[end] == '\r'
	return end + 1, data[start:end], nil
}

// addLine adds a line that is not empty.
func (e *partialEvent) addLine(line []byte) error {
	if !utf8.Valid(line) || bytes.IndexByte(line, 0) >= 0 {
		return &malformedEventError{problem: "a line is no text"}
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "": // a comment
	case "data":
		return e.addData(value)
	case "id":
		e.hasName = true
	case "event":
		e.hasName = true
		if string(value) == errorEventType {
			return &malformedEventError{problem: "the engine reports an error"}
		}
	case "retry":
		if len(value) == 0 || strings.Trim(string(value), "0123456789") != "" {
			return &malformedEventError{problem: "the reconnection time is no number"}
		}
	default:
		return &malformedEventError{problem: "a line is no field of the format"}
	}
	return nil
}

func (e *partialEvent) addData(value []byte) error {
	if e.hasData {
		e.data = append(e.data, '\n')
	}
	e.hasData = true
	e.data = append(e.data, value...)
	if len(e.data) > maxEventBytes {
		return &malformedEventError{problem: "an event exceeds the size limit"}
	}
	return nil
}
