package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to a target. While it is cut, nothing passes and nothing is answered.
type proxy struct {
	address, target string

	mu sync.Mutex
	// The fields below are guarded by mu. open is closed when the cut ends; nil without a cut.
	open  chan struct{}
	conns map[net.Conn]struct{}
}

// startProxy starts a proxy in front of a target.
func (w *world) startProxy(target string) (*proxy, error) {
	listener, err := w.listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target, conns: make(map[net.Conn]struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.handle(conn)
		}
	}()
	return p, nil
}

// cut has the proxy drop all bytes, or pass them on again.
func (p *proxy) cut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && p.open == nil {
		p.open = make(chan struct{})
	}
	if !on && p.open != nil {
		close(p.open)
		p.open = nil
	}
}

// wait blocks while the proxy is cut.
func (p *proxy) wait() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	if open != nil {
		<-open
	}
}

func (p *proxy) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	p.wait()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	done := make(chan struct{}, 2)
	go p.copy(target, conn, done)
	go p.copy(conn, target, done)
	<-done
}

func (p *proxy) copy(to, from net.Conn, done chan<- struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				break
			}
			break
		}
	}
	done <- struct{}{}
}
