package faultinjector

import (
	"net"
	"sync"
)

// faultyListener gives connections that can be cut or silenced.
type faultyListener struct {
	net.Listener
	host *Host
}

// Accept implements net.Listener.
func (l *faultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &faultyConn{Conn: conn, host: l.host, closed: make(chan struct{}), silent: make(chan struct{})}
	l.host.mu.Lock()
	if l.host.conns == nil {
		l.host.conns = make(map[*faultyConn]bool)
	}
	l.host.conns[c] = true
	l.host.mu.Unlock()
	return c, nil
}

// faultyConn is a connection that can go silent: it stays open, takes what is
// written and carries nothing any more.
type faultyConn struct {
	net.Conn
	host      *Host
	closeOnce sync.Once
	closed    chan struct{}
	muteOnce  sync.Once
	// silent is closed when the connection goes silent.
	silent chan struct{}
}

func (c *faultyConn) silence() {
	c.muteOnce.Do(func() { close(c.silent) })
}

func (c *faultyConn) muted() bool {
	select {
	case <-c.silent:
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
	if !c.muted() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn.
func (c *faultyConn) Write(p []byte) (int, error) {
	if c.muted() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A silent connection stays open for its peer until
// the process ends, as nothing tells the peer.
func (c *faultyConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.host.mu.Lock()
		delete(c.host.conns, c)
		c.host.mu.Unlock()
	})
	if c.muted() {
		return nil
	}
	return c.Conn.Close()
}
