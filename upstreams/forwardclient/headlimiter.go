package forwardclient

import (
	"io"

	"github.com/cockroachdb/errors"
)

var (
	errHeadTooLong          = errors.New("the response head exceeds the size limit")
	errDiscardedBodyTooLong = errors.New("the body to discard exceeds the size limit")
	errDiscardTimeout       = errors.New("the body to discard did not end in time")
)

// headLimiter reads from a connection and bounds how much a response head may take of it. An
// upstream in trouble may send header lines or informational responses without end.
type headLimiter struct {
	src io.Reader
	// inHead is set while a head is being read, and remaining is how many bytes it may still take.
	inHead    bool
	remaining int
	// received reports whether any byte of the head came, and lost is the error with which reading it ended.
	received bool
	lost     error
}

// begin starts a head of at most maxBytes, besides what was buffered before.
func (l *headLimiter) begin(maxBytes int) {
	l.inHead, l.remaining, l.received, l.lost = true, maxBytes, false, nil
}

// end removes the bound, for the body.
func (l *headLimiter) end() {
	l.inHead = false
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.src.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.src.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.received = l.received || n > 0
	l.lost = err
	return n, err
}
