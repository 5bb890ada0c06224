package faultinjector

import (
	"net"
	"sync"
)

// faultyListener gives connections that can be cut or silenced.
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

// faultyConn is a connection that can go silent: it stays open, takes what is
// written and carries nothing any more.
type faultyConn struct {
	net.Conn
	injector  *Injector
	closeOnce sync.Once
	closed    chan struct{}
	stallOnce sync.Once
	// stalled is closed when the connection goes silent.
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

// reset cuts the connection as a crash of its process does.
func (c *faultyConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Without lingering the close sends a reset; failing that, it closes.
		_ = tcp.SetLinger(0)
	}
	// The connection is given up.
	_ = c.Close()
}

// Read implements net.Conn. On a silent connection it waits until the close.
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

// Close implements net.Conn. A silent connection stays open for its peer until
// the process ends, as nothing tells the peer.
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
