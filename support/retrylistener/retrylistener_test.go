package retrylistener

import (
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// failingListener fails with its errors, one after the other, and then returns connections.
type failingListener struct {
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := l.errs[0]
	if len(l.errs) > 1 || !IsTransient(err) {
		l.errs = l.errs[1:]
	}
	return nil, err
}

func (*failingListener) Close() error   { return nil }
func (*failingListener) Addr() net.Addr { return &net.TCPAddr{} }

func acceptError(code syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", code)}
}

// A listener for other nodes ended for good when the descriptors were used up for a moment.
func TestErrorsThatPassAreRetried(t *testing.T) {
	for _, code := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EAGAIN, syscall.ECONNABORTED} {
		synctest.Test(t, func(t *testing.T) {
			l := New(&failingListener{errs: []error{acceptError(code), acceptError(code), errTestEnd}}, slog.New(slog.DiscardHandler))
			if _, err := l.Accept(); !errors.Is(err, errTestEnd) {
				t.Errorf("%v: got %v", code, err)
			}
			if _, err := l.Accept(); err != nil {
				t.Errorf("%v: got %v after the errors", code, err)
			}
		})
	}
}

var errTestEnd = errors.New("an error that doesn't pass")

// A listener that was closed while it retried went on retrying.
func TestClosedListenerEndsRetrying(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(&failingListener{errs: []error{acceptError(syscall.EMFILE)}}, slog.New(slog.DiscardHandler))
		time.AfterFunc(time.Second, func() { _ = l.Close() })
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("got %v", err)
		}
	})
}
