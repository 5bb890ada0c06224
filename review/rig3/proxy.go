package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy relays connections to the store until it is cut. Then nothing passes in either direction, and connections stay
// open without an answer.
type proxy struct {
	target   string
	listener net.Listener
	cut      atomic.Bool

	mu sync.Mutex
	// conns is guarded by mu.
	conns []net.Conn
}

func startProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, conn, upstream)
		p.mu.Unlock()
		go p.relay(conn, upstream)
		go p.relay(upstream, conn)
	}
}

// relay copies what arrives, and drops it once the proxy is cut.
func (p *proxy) relay(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.cut.Load() {
			if err != nil {
				return
			}
			continue
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err == io.EOF || err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}
