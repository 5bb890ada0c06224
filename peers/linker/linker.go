// Package linker keeps drpc connections between nodes over TCP: at most one to
// each peer. Where the deployment has a key, both ends prove that they hold it
// before a message is taken; to anybody else a node says nothing.
package linker

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

// Linker keeps the connections. Its exported fields are set before its first
// use.
type Linker struct {
	// Key is shared by all nodes; empty where only nodes reach each other.
	Key string
	// DialTimeout bounds a connection and its handshake.
	DialTimeout time.Duration
	// Silence is how long a connection without a message is kept.
	Silence time.Duration

	mu sync.Mutex
	// conns holds at most one open connection to each peer and is guarded by
	// mu.
	conns map[netip.AddrPort]*link
}

// link is the connection to one peer.
type link struct {
	mu sync.Mutex
	// conn is guarded by mu and nil while there is no connection.
	conn *drpcconn.Conn
}

func (l *Linker) manager() drpcmanager.Options {
	return drpcmanager.Options{
		InactivityTimeout: l.Silence,
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}
}

// Serve answers peers on a listener until the context ends.
func (l *Linker) Serve(ctx context.Context, listener net.Listener, handler drpc.Handler) error {
	rpc := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: l.manager()})
	stop := context.AfterFunc(ctx, func() {
		// Serving ends either way; what is open is closed by the context.
		_ = listener.Close()
		l.closeAll()
	})
	defer stop()
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return err
		}
		serving.Go(func() { l.serveOne(ctx, rpc, conn) })
	}
}

func (l *Linker) serveOne(ctx context.Context, rpc *drpcserver.Server, conn net.Conn) {
	defer conn.Close()
	if l.Key != "" && acceptProof(conn, []byte(l.Key), l.DialTimeout) != nil {
		return
	}
	// The peer's going away is no news here: its silence tells.
	_ = rpc.ServeOne(ctx, conn)
}

// With runs a call on the connection to a peer, which carries one call at a
// time. After a failure the connection is closed, as it may have gone silent,
// and the next call makes a new one.
func (l *Linker) With(ctx context.Context, to netip.AddrPort, call func(drpc.Conn) error) error {
	k := l.link(to)
	conn := k.open()
	if conn == nil {
		fresh, err := l.dial(ctx, to)
		if err != nil {
			return err
		}
		conn = k.set(fresh)
	}
	err := call(conn)
	if err != nil {
		k.drop(conn)
	}
	return err
}

// open gives the connection, if there is one.
func (k *link) open() *drpcconn.Conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.conn
}

// set keeps a new connection, unless another call made one meanwhile.
func (k *link) set(fresh *drpcconn.Conn) *drpcconn.Conn {
	k.mu.Lock()
	have := k.conn
	if have == nil {
		k.conn = fresh
	}
	k.mu.Unlock()
	if have == nil {
		return fresh
	}
	// The spare connection was never used.
	_ = fresh.Close()
	return have
}

// drop closes a connection; nil stands for whichever there is.
func (k *link) drop(conn *drpcconn.Conn) {
	k.mu.Lock()
	have := k.conn
	if conn == nil || have == conn {
		k.conn = nil
	}
	k.mu.Unlock()
	if conn == nil {
		conn = have
	}
	if conn != nil {
		// A connection that fails to close is gone all the same.
		_ = conn.Close()
	}
}

func (l *Linker) link(to netip.AddrPort) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[netip.AddrPort]*link)
	}
	k := l.conns[to]
	if k == nil {
		k = &link{}
		l.conns[to] = k
	}
	return k
}

func (l *Linker) dial(ctx context.Context, to netip.AddrPort) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	if l.Key != "" {
		if err := giveProof(conn, []byte(l.Key), l.DialTimeout); err != nil {
			return nil, errors.CombineErrors(err, conn.Close())
		}
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: l.manager()}), nil
}

// Drop closes the connection to a peer.
func (l *Linker) Drop(to netip.AddrPort) {
	l.mu.Lock()
	k := l.conns[to]
	delete(l.conns, to)
	l.mu.Unlock()
	if k != nil {
		k.drop(nil)
	}
}

func (l *Linker) closeAll() {
	l.mu.Lock()
	links := l.conns
	l.conns = nil
	l.mu.Unlock()
	for _, k := range links {
		k.drop(nil)
	}
}
