// Package retrylistener keeps listeners accepting connections through errors that pass, such as a lack of descriptors.
package retrylistener

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

const (
	// initialBackoff and maxBackoff bound the delay after a failed accept; it doubles with each further failure.
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// shortageErrors lists the errors of system calls that this process or its system is short of something.
var shortageErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR}

// IsShortage reports whether a call failed because this process or its system lacks descriptors or buffers. Such an
// error says nothing about the other end, and the call may succeed later.
func IsShortage(err error) bool {
	return errors.IsAny(err, shortageErrors...)
}

// IsTransient reports whether accepting a connection may succeed after an error.
func IsTransient(err error) bool {
	return IsShortage(err) || errors.IsAny(err, syscall.ECONNABORTED, syscall.ECONNRESET)
}

// Listener retries accepting connections with backoff as long as the errors may pass.
type Listener struct {
	net.Listener
	logger *slog.Logger
	closed context.Context
	close  context.CancelFunc
	once   sync.Once
}

// New wraps a listener. The logger gets a line at the first of several failures in a row, and one when they end.
func New(listener net.Listener, logger *slog.Logger) *Listener {
	l := &Listener{Listener: listener, logger: logger}
	l.closed, l.close = context.WithCancel(context.Background())
	return l
}

// Accept implements net.Listener. The error is one that doesn't pass.
func (l *Listener) Accept() (net.Conn, error) {
	for failures, delay := 0, initialBackoff; ; failures++ {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil && failures > 0:
			l.logger.Info("accepting connections again", "address", l.Addr().String(), "failures", failures)
			return conn, nil
		case err == nil:
			return conn, nil
		case !IsTransient(err):
			return nil, err
		case failures == 0:
			l.logger.Warn("failed to accept a connection; retrying", "address", l.Addr().String(), "error", err)
		}
		if sleeper.Sleep(l.closed, delay) != nil {
			return nil, net.ErrClosed
		}
		delay = min(2*delay, maxBackoff)
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(l.close)
	return l.Listener.Close()
}
