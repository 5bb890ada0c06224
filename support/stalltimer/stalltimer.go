// Package stalltimer ends calls whose transfer stalls. How long a whole transfer takes depends on its size and on
// the links: a timeout of the whole would fail a large one each time that it is tried.
package stalltimer

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStalled is the cause of the end of a context whose transfer made no progress.
var ErrStalled = errors.New("no progress within the timeout")

// timer ends a context unless it is advanced in time.
type timer struct {
	timer *time.Timer
	// timeout is the time that each advance allows.
	timeout time.Duration
	// outer is the timer of the context that this one's context derives from; nil if there is none.
	outer *timer
}

type timerKey struct{}

// WithTimeout returns a context that ends with ErrStalled as its cause unless Advance is called within first, and
// within timeout after each call. Advance may be called with any context that derives from it.
func WithTimeout(parent context.Context, first, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	outer, _ := parent.Value(timerKey{}).(*timer)
	t := &timer{timeout: timeout, outer: outer}
	t.timer = time.AfterFunc(first, func() { cancel(ErrStalled) })
	return context.WithValue(ctx, timerKey{}, t), func() {
		t.timer.Stop()
		cancel(context.Canceled)
	}
}

// Advance tells all contexts of WithTimeout that ctx derives from that a part of the transfer has arrived. It does
// nothing for other contexts.
func Advance(ctx context.Context) {
	t, _ := ctx.Value(timerKey{}).(*timer)
	for ; t != nil; t = t.outer {
		// A timer that was stopped or has ended its context stays so.
		if t.timer.Stop() {
			t.timer.Reset(t.timeout)
		}
	}
}

// Reader reads from Source, and calls Advance with Context whenever data arrives.
type Reader struct {
	Context context.Context
	Source  io.Reader
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.Source.Read(p)
	if n > 0 {
		Advance(r.Context)
	}
	return n, err
}
