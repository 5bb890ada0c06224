package connmanager

import (
	"context"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
)

// Connections without bound on the port for other nodes used up the descriptors of a node.
func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const limit = 2
	manager := &Manager{Logger: slog.New(slog.DiscardHandler), DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConnections: limit}
	go func() { _ = manager.Serve(ctx, listener, drpcmux.New()) }()
	closed := make(chan struct{}, 2*limit)
	for range 2 * limit {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go func() {
			_, _ = conn.Read(make([]byte, 1))
			closed <- struct{}{}
		}()
	}
	for range limit {
		<-closed
	}
	select {
	case <-closed:
		t.Error("a connection within the limit was closed")
	case <-time.After(100 * time.Millisecond):
	}
}

// shortListener fails for want of descriptors before each connection.
type shortListener struct {
	net.Listener
	failures int
}

func (l *shortListener) Accept() (net.Conn, error) {
	l.failures++
	if l.failures%2 == 1 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// A node that ran out of descriptors when another one connected served no shared reads any more, and stopped following
// the log for good.
func TestServingOutlivesALackOfDescriptors(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	manager := &Manager{Logger: slog.New(slog.DiscardHandler), DialTimeout: time.Second, IdleTimeout: time.Minute}
	ended := make(chan error, 1)
	go func() { ended <- manager.Serve(ctx, &shortListener{Listener: listener}, drpcmux.New()) }()
	for range 3 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	select {
	case err := <-ended:
		t.Fatalf("serving ended: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	cancel()
	<-ended
}
