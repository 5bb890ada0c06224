// Package connmanager manages drpc connections between nodes over TCP, at most one
// to each peer. If a shared key is configured, both ends authenticate with it before
// any call; a listener sends nothing before it receives a valid hello.
package connmanager

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/quetzalroad/quetzalroad/support/bufferer"
	"github.com/quetzalroad/quetzalroad/support/retrylistener"
)

// maxMessageBytes limits the size of a message; snapshots are the largest.
const maxMessageBytes = maxBufferedBytes / messageCopies

// Manager dials, serves and closes connections. Set its exported fields before first use.
type Manager struct {
	// Key is shared by all nodes. It may be empty on a network that only nodes can
	// reach; then there is no handshake.
	Key string
	// DialTimeout is the timeout of a TCP connect and of the handshake.
	DialTimeout time.Duration
	// IdleTimeout is the time after which a connection without messages is closed.
	IdleTimeout time.Duration
	// MaxConnections bounds the connections that Serve serves at once; zero means no bound.
	MaxConnections int
	// Logger gets a line when connections can't be accepted. It must be set before Serve is called.
	Logger *slog.Logger

	// budget is for the messages of all connections. budgetOnce sets its size.
	budget     bufferer.Budget
	budgetOnce sync.Once

	mu sync.Mutex
	// conns holds at most one open connection per peer; guarded by mu.
	conns map[netip.AddrPort]*peerConn
}

// peerConn is the connection to one peer.
type peerConn struct {
	mu sync.Mutex
	// conn is guarded by mu and nil while there is no connection.
	conn *clientConn
}

// clientConn is a connection to a peer on which this node sends calls.
type clientConn struct {
	*drpcconn.Conn
	metered *meteredConn
}

// meter has a new connection reserve memory for its messages.
func (m *Manager) meter(conn net.Conn) *meteredConn {
	m.budgetOnce.Do(func() { m.budget.MaxBytes = maxBufferedBytes })
	return newMeteredConn(conn, &m.budget)
}

// descriptorShare is the part of the process's descriptors for connections of other nodes, as a divisor.
const descriptorShare = 8

// MaxConnectionsFor returns the default of MaxConnections for a process with a number of descriptors.
func MaxConnectionsFor(descriptors int) int {
	return descriptors / descriptorShare
}

func (m *Manager) drpcOptions() drpcmanager.Options {
	return drpcmanager.Options{
		InactivityTimeout: m.IdleTimeout,
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}
}

// Serve serves connections from a listener until the context is done. A connection beyond MaxConnections is closed;
// its node turns to another one.
func (m *Manager) Serve(ctx context.Context, listener net.Listener, handler drpc.Handler) error {
	listener = retrylistener.New(listener, m.Logger)
	rpc := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: m.drpcOptions()})
	stop := context.AfterFunc(ctx, func() {
		// A close error changes nothing: serving ends, and the context closes open connections.
		_ = listener.Close()
		m.closeAll()
	})
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	// If accepting fails, the connections end before this returns.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var open atomic.Int64
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return err
		}
		if open.Add(1) > int64(m.MaxConnections) && m.MaxConnections > 0 {
			open.Add(-1)
			m.Logger.Warn("too many connections of other nodes", "address", listener.Addr().String(), "most", m.MaxConnections)
			// The connection is of no further use.
			_ = conn.Close()
			continue
		}
		connections.Go(func() {
			defer open.Add(-1)
			m.serveConn(ctx, rpc, m.meter(conn))
		})
	}
}

func (m *Manager) serveConn(ctx context.Context, rpc *drpcserver.Server, conn net.Conn) {
	defer conn.Close()
	if m.Key != "" && listenerHandshake(conn, []byte(m.Key), m.DialTimeout) != nil {
		return
	}
	// A closed connection isn't reported: missing heartbeats show that a peer is gone.
	_ = rpc.ServeOne(ctx, conn)
}

// Call calls the function with the connection to a peer, which carries one call at a time. Data that arrives
// advances the stalltimer of ctx. After an error the connection is closed, since the peer may be unreachable on
// it, and the next call dials again.
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
	defer conn.metered.beginCall(ctx)()
	err := call(conn.Conn)
	if err != nil {
		p.close(conn)
	}
	return err
}

// current returns the connection, or nil if there is none.
func (p *peerConn) current() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

// setIfUnset stores a new connection and returns it. If another call has stored one
// in the meantime, it closes the new one and returns the other.
func (p *peerConn) setIfUnset(conn *clientConn) *clientConn {
	p.mu.Lock()
	existing := p.conn
	if existing == nil {
		p.conn = conn
	}
	p.mu.Unlock()
	if existing == nil {
		return conn
	}
	// The error doesn't matter: the connection was never used.
	_ = conn.Close()
	return existing
}

// close closes and unsets a connection; nil means the current one.
func (p *peerConn) close(conn *clientConn) {
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
		// The connection is unset even if closing it fails.
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

func (m *Manager) dial(ctx context.Context, to netip.AddrPort) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, m.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	netConn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	conn := m.meter(netConn)
	if m.Key != "" {
		if err := dialerHandshake(conn, []byte(m.Key), m.DialTimeout); err != nil {
			return nil, errors.CombineErrors(err, conn.Close())
		}
	}
	return &clientConn{Conn: drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: m.drpcOptions()}), metered: conn}, nil
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
