// Package faultproxy is a TCP proxy that can delay, reset, close or refuse connections and drop bytes in either direction.
package faultproxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

// Mode selects the faults of a proxy. The zero value forwards all bytes.
type Mode struct {
	// Delay is added in each direction.
	Delay time.Duration
	// DropToTarget and DropFromTarget drop the bytes of one direction. A connection
	// that dropped bytes forwards none in this direction any more.
	DropToTarget, DropFromTarget bool
	// RefuseConnections makes the proxy stop listening, as if its target's process had exited.
	RefuseConnections bool
}

// Proxy forwards connections to a target, which is set before Serve.
type Proxy struct {
	Target netip.AddrPort

	mu sync.Mutex
	// The fields below are guarded by mu. listener is nil while the proxy refuses connections, and resumed,
	// which is then not nil, is closed when it no longer does.
	mode     Mode
	conns    map[*connPair]bool
	listener net.Listener
	resumed  chan struct{}
}

// connPair holds the two connections that the proxy joins.
type connPair struct {
	client, target net.Conn
	// droppedToTarget and droppedFromTarget are set when bytes were dropped; each is used
	// only by the goroutine that copies in its direction.
	droppedToTarget, droppedFromTarget bool
}

func (p *connPair) close() {
	for _, c := range []net.Conn{p.client, p.target} {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Makes Close reset the connection. An error is ignored: a closed connection needs no reset.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// SetMode changes the mode of all connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m.RefuseConnections && p.listener != nil {
		// Serve returns from Accept whether or not Close fails.
		_ = p.listener.Close()
		p.listener, p.resumed = nil, make(chan struct{})
	}
	if !m.RefuseConnections && p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// Reset closes all open connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	open := p.conns
	p.conns = nil
	p.mu.Unlock()
	for c := range open {
		c.close()
	}
}

// HangUp closes all open connections of clients in order, like the operating system of a process that exits.
func (p *Proxy) HangUp() {
	p.mu.Lock()
	open := p.conns
	p.conns = nil
	p.mu.Unlock()
	for c := range open {
		// The connection may be closed already.
		_ = c.client.Close()
		_ = c.target.Close()
	}
}

// RefusesConnections reports whether the proxy refuses connections.
func (p *Proxy) RefusesConnections() bool {
	return p.currentMode().RefuseConnections
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Serve accepts and forwards connections until the context ends.
func (p *Proxy) Serve(ctx context.Context, listener net.Listener) {
	address := listener.Addr().String()
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		p.acceptFrom(ctx, listener, &group)
		if !p.awaitResumption(ctx) {
			return
		}
		var err error
		if listener, err = net.Listen("tcp", address); err != nil {
			return
		}
	}
}

// acceptFrom accepts connections until the context ends or the proxy refuses connections.
func (p *Proxy) acceptFrom(ctx context.Context, listener net.Listener, group *sync.WaitGroup) {
	p.mu.Lock()
	p.listener = listener
	p.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		// Accept returns whether or not Close fails.
		_ = listener.Close()
		p.Reset()
	})
	defer stop()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		group.Go(func() { p.handle(ctx, client) })
	}
}

// awaitResumption waits until the proxy no longer refuses connections, and returns false if the context ended.
func (p *Proxy) awaitResumption(ctx context.Context) bool {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed == nil {
		return ctx.Err() == nil
	}
	select {
	case <-resumed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *Proxy) handle(ctx context.Context, client net.Conn) {
	target, err := net.DialTimeout("tcp", p.Target.String(), time.Second)
	if err != nil {
		(&connPair{client: client, target: targetOrClient(target, client)}).close()
		return
	}
	c := &connPair{client: client, target: target}
	p.mu.Lock()
	if p.conns == nil {
		p.conns = make(map[*connPair]bool)
	}
	p.conns[c] = true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() {
		p.copyBytes(ctx, target, client, &c.droppedToTarget, func(m Mode) bool { return m.DropToTarget })
	})
	copies.Go(func() {
		p.copyBytes(ctx, client, target, &c.droppedFromTarget, func(m Mode) bool { return m.DropFromTarget })
	})
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	c.close()
}

// targetOrClient returns the client connection in place of a target that could not be dialed.
func targetOrClient(target, client net.Conn) net.Conn {
	if target == nil {
		return client
	}
	return target
}

// bufferBytes is the most that is forwarded at once.
const bufferBytes = 16 << 10

// copyBytes forwards bytes in one direction until the end of the stream, which it forwards, too.
func (p *Proxy) copyBytes(ctx context.Context, to, from net.Conn, dropped *bool, dropsBytes func(Mode) bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		mode := p.currentMode()
		if dropsBytes(mode) {
			*dropped = true
		}
		if n > 0 && !*dropped {
			if sleeper.Sleep(ctx, mode.Delay) != nil {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				// The errors are not reported: the copy in the other direction fails, too.
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && !*dropped {
				// An error is ignored: the connection may be closed already.
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
