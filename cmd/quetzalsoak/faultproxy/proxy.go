// Package faultproxy is a TCP proxy on loopback whose connections can be delayed,
// reset, cut one way or silenced.
package faultproxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

// Mode is how a proxy treats what passes. The zero value passes all on.
type Mode struct {
	// Delay is added on the way to the target and back.
	Delay time.Duration
	// DropToTarget and DropFrom lose the bytes to the target and from it. Connections
	// that lost any stay silent for good.
	DropToTarget, DropFromTarget bool
	// RefuseConnections closes new connections at once.
	RefuseConnections bool
}

// Proxy passes connections on to a target. Its fields are set before it serves.
type Proxy struct {
	Target netip.AddrPort

	mu sync.Mutex
	// The fields below are guarded by mu.
	mode  Mode
	conns map[*connPair]bool
}

// connPair is the two ends of a connection through the proxy.
type connPair struct {
	client, target net.Conn
	// droppedToTarget and deadFrom tell that bytes were lost; each belongs to the
	// goroutine that copies that way.
	droppedToTarget, droppedFromTarget bool
}

func (p *connPair) close() {
	for _, c := range []net.Conn{p.client, p.target} {
		if tcp, ok := c.(*net.TCPConn); ok {
			// What is closed already can't be reset.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// SetMode changes how all connections are treated.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	open := p.conns
	p.conns = nil
	p.mu.Unlock()
	for c := range open {
		c.close()
	}
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Serve passes connections on until the context ends.
func (p *Proxy) Serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() {
		// Serving ends either way.
		_ = listener.Close()
		p.Reset()
	})
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		group.Go(func() { p.handle(ctx, client) })
	}
}

func (p *Proxy) handle(ctx context.Context, client net.Conn) {
	target, err := net.DialTimeout("tcp", p.Target.String(), time.Second)
	if err != nil || p.currentMode().RefuseConnections {
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

func targetOrClient(target, client net.Conn) net.Conn {
	if target == nil {
		return client
	}
	return target
}

// bufferBytes is the size of what is copied at once.
const bufferBytes = 16 << 10

// copyBytes passes bytes one way until the end, which is passed on too.
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
				// The other way meets the failure too.
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && !*dropped {
				// An end that is closed already needs no more.
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
