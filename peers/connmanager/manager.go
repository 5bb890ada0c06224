// Package connmanager keeps drpc connections between nodes over TCP: at most one to
// each peer. Where the deployment has a key, both ends prove that they hold it
// before a message is taken; to anybody else a node says nothing.
package connmanager

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// maxMessageBytes bounds one message; a snapshot is the largest.
const maxMessageBytes = 64 << 20

// Manager keeps the connections. Its exported fields are set before its first
// use.
type Manager struct {
	// Key is shared by all nodes; empty where only nodes reach each other.
	Key string
	// DialTimeout bounds a connection and its handshake.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection without a message is kept.
	IdleTimeout time.Duration

	mu sync.Mutex
	// conns holds at most one open connection to each peer and is guarded by
	// mu.
	conns map[netip.AddrPort]*peerConn
}

// peerConn is the connection to one peer.
type peerConn struct {
	mu sync.Mutex
	// conn is guarded by mu and nil while there is no connection.
	conn *drpcconn.Conn
}

func (m *Manager) drpcOptions() drpcmanager.Options {
	return drpcmanager.Options{
		InactivityTimeout: m.IdleTimeout,
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}
}

// Serve answers peers on a listener until the context ends.
func (m *Manager) Serve(ctx context.Context, listener net.Listener, handler drpc.Handler) error {
	rpc := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: m.drpcOptions()})
	stop := context.AfterFunc(ctx, func() {
		// Serving ends either way; what is open is closed by the context.
		_ = listener.Close()
		m.closeAll()
	})
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return err
		}
		connections.Go(func() { m.serveConn(ctx, rpc, conn) })
	}
}

func (m *Manager) serveConn(ctx context.Context, rpc *drpcserver.Server, conn net.Conn) {
	defer conn.Close()
	if m.Key != "" && listenerHandshake(conn, []byte(m.Key), m.DialTimeout) != nil {
		return
	}
	// The peer's going away is no news here: its silence tells.
	_ = rpc.ServeOne(ctx, conn)
}

// Call runs a call on the connection to a peer, which carries one call at a
// time. After a failure the connection is closed, as it may have gone silent,
// and the next call makes a new one.
func (m *Manager) Call(ctx context.Context, to netip.AddrPort, call func(drpc.Conn) error) error {
	p := m.peerConn(to)
	conn := p.current()
	if conn == nil {
		dialed, err := m.dial(ctx, to)
		if err != nil {
			return err
		}
		conn = p.setIfUnset(dialed)
	}
	err := call(conn)
	if err != nil {
		p.close(conn)
	}
	return err
}

// current gives the connection, if there is one.
func (p *peerConn) current() *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

// set keeps a new connection, unless another call made one meanwhile.
func (p *peerConn) setIfUnset(conn *drpcconn.Conn) *drpcconn.Conn {
	p.mu.Lock()
	existing := p.conn
	if existing == nil {
		p.conn = conn
	}
	p.mu.Unlock()
	if existing == nil {
		return conn
	}
	// The spare connection was never used.
	_ = conn.Close()
	return existing
}

// close closes a connection; nil stands for whichever there is.
func (p *peerConn) close(conn *drpcconn.Conn) {
	p.mu.Lock()
	existing := p.conn
	if conn == nil || existing == conn {
		p.conn = nil
	}
	p.mu.Unlock()
	if conn == nil {
		conn = existing
	}
	if conn != nil {
		// A connection that fails to close is gone all the same.
		_ = conn.Close()
	}
}

func (m *Manager) peerConn(to netip.AddrPort) *peerConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns == nil {
		m.conns = make(map[netip.AddrPort]*peerConn)
	}
	p := m.conns[to]
	if p == nil {
		p = &peerConn{}
		m.conns[to] = p
	}
	return p
}

func (m *Manager) dial(ctx context.Context, to netip.AddrPort) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, m.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	if m.Key != "" {
		if err := dialerHandshake(conn, []byte(m.Key), m.DialTimeout); err != nil {
			return nil, errors.CombineErrors(err, conn.Close())
		}
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: m.drpcOptions()}), nil
}

// Disconnect closes the connection to a peer.
func (m *Manager) Disconnect(to netip.AddrPort) {
	m.mu.Lock()
	p := m.conns[to]
	delete(m.conns, to)
	m.mu.Unlock()
	if p != nil {
		p.close(nil)
	}
}

func (m *Manager) closeAll() {
	m.mu.Lock()
	conns := m.conns
	m.conns = nil
	m.mu.Unlock()
	for _, p := range conns {
		p.close(nil)
	}
}
