package faultinjector

import (
	"net"
	"sync"
)

// faultyListener accepts connections that can be reset or stalled.
type faultyListener struct {
	net.Listener
	injector *Injector
}

// Accept implements net.Listener.
func (l *faultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &faultyConn{Conn: conn, injector: l.injector, closed: make(chan struct{}), stalled: make(chan struct{})}
	l.injector.mu.Lock()
	if l.injector.conns == nil {
		l.injector.conns = make(map[*faultyConn]bool)
	}
	l.injector.conns[c] = true
	l.injector.mu.Unlock()
	return c, nil
}

// faultyConn is a connection that can be stalled: it stays open and accepts writes but transfers no
// more data.
type faultyConn struct {
	net.Conn
	injector  *Injector
	closeOnce sync.Once
	closed    chan struct{}
	stallOnce sync.Once
	// stalled is closed when the connection is stalled.
	stalled chan struct{}
}

func (c *faultyConn) stall() {
	c.stallOnce.Do(func() { close(c.stalled) })
}

func (c *faultyConn) isStalled() bool {
	select {
	case <-c.stalled:
		return true
	default:
		return false
	}
}

// reset closes the connection with a TCP reset, as the crash of its process does.
func (c *faultyConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// A zero linger makes Close send a reset; if setting it fails, Close closes normally.
		_ = tcp.SetLinger(0)
	}
	// A failed close leaves nothing to do.
	_ = c.Close()
}

// Read implements net.Conn. On a stalled connection it blocks until the connection is closed.
func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isStalled() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn.
func (c *faultyConn) Write(p []byte) (int, error) {
	if c.isStalled() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A stalled connection is not closed for its peer until the process
// ends, since a silent failure sends the peer nothing.
func (c *faultyConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.injector.mu.Lock()
		delete(c.injector.conns, c)
		c.injector.mu.Unlock()
	})
	if c.isStalled() {
		return nil
	}
	return c.Conn.Close()
}
