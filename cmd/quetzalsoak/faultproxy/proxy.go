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
	// DropTo and DropFrom lose the bytes to the target and from it. Connections
	// that lost any stay silent for good.
	DropTo, DropFrom bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Proxy passes connections on to a target. Its fields are set before it serves.
type Proxy struct {
	Target netip.AddrPort

	mu sync.Mutex
	// The fields below are guarded by mu.
	mode  Mode
	conns map[*pair]bool
}

// pair is the two ends of a connection through the proxy.
type pair struct {
	near, far net.Conn
	// deadTo and deadFrom tell that bytes were lost; each belongs to the
	// goroutine that copies that way.
	deadTo, deadFrom bool
}

func (p *pair) close() {
	for _, c := range []net.Conn{p.near, p.far} {
		if tcp, ok := c.(*net.TCPConn); ok {
			// What is closed already can't be reset.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Set changes how all connections are treated.
func (p *Proxy) Set(m Mode) {
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

func (p *Proxy) now() Mode {
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
		near, err := listener.Accept()
		if err != nil {
			return
		}
		group.Go(func() { p.pass(ctx, near) })
	}
}

func (p *Proxy) pass(ctx context.Context, near net.Conn) {
	far, err := net.DialTimeout("tcp", p.Target.String(), time.Second)
	if err != nil || p.now().Refuse {
		(&pair{near: near, far: orNear(far, near)}).close()
		return
	}
	c := &pair{near: near, far: far}
	p.mu.Lock()
	if p.conns == nil {
		p.conns = make(map[*pair]bool)
	}
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(ctx, far, near, &c.deadTo, func(m Mode) bool { return m.DropTo }) })
	both.Go(func() { p.copy(ctx, near, far, &c.deadFrom, func(m Mode) bool { return m.DropFrom }) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	c.close()
}

func orNear(far, near net.Conn) net.Conn {
	if far == nil {
		return near
	}
	return far
}

// bufferBytes is the size of what is copied at once.
const bufferBytes = 16 << 10

// copy passes bytes one way until the end, which is passed on too.
func (p *Proxy) copy(ctx context.Context, to, from net.Conn, dead *bool, drops func(Mode) bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		mode := p.now()
		if drops(mode) {
			*dead = true
		}
		if n > 0 && !*dead {
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
			if tcp, ok := to.(*net.TCPConn); ok && !*dead {
				// An end that is closed already needs no more.
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
