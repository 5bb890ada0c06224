package forwardserver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// listener wraps what it accepts, so that the bounds on a connection follow the
// published limits, which the HTTP server takes at its start only.
type listener struct {
	net.Listener
	limits func() quetzalroad.CallerLimits
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: raw, limits: l.limits, waiting: true, fresh: true}, nil
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	limits func() quetzalroad.CallerLimits
	mu     sync.Mutex
	// waiting tells that the next bytes are the head of a request, and fresh
	// that none came before. Both are guarded by mu.
	waiting bool
	fresh   bool
}

// SetReadDeadline implements net.Conn. While a request is awaited, no deadline
// stands for the one of the limits.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	waiting, fresh := c.waiting, c.fresh
	c.mu.Unlock()
	if t.IsZero() && waiting {
		limits := c.limits()
		bound := limits.IdleTimeout
		if fresh && limits.HeaderTimeout > 0 {
			bound = limits.HeaderTimeout
		}
		if bound > 0 {
			t = time.Now().Add(bound)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *callerConn) setWaiting(waiting bool) {
	c.mu.Lock()
	c.waiting = waiting
	if !waiting {
		c.fresh = false
	}
	c.mu.Unlock()
}

// follow keeps what a connection waits for.
func follow(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*callerConn)
	if !ok {
		return
	}
	c.setWaiting(state == http.StateNew || state == http.StateIdle)
	if state != http.StateClosed && state != http.StateHijacked {
		// A connection that is closed is met by the server's next read.
		_ = c.SetReadDeadline(time.Time{})
	}
}
