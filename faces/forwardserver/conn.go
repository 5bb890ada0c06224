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
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, limits: l.limits, awaitingRequest: true, firstRequest: true}, nil
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	limits func() quetzalroad.CallerLimits
	mu     sync.Mutex
	// awaitingRequest tells that the next bytes are the head of a request, and fresh
	// that none came before. Both are guarded by mu.
	awaitingRequest bool
	firstRequest    bool
}

// SetReadDeadline implements net.Conn. While a request is awaited, no deadline
// stands for the one of the limits.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	awaitingRequest, firstRequest := c.awaitingRequest, c.firstRequest
	c.mu.Unlock()
	if t.IsZero() && awaitingRequest {
		limits := c.limits()
		timeout := limits.IdleTimeout
		if firstRequest && limits.HeaderTimeout > 0 {
			timeout = limits.HeaderTimeout
		}
		if timeout > 0 {
			t = time.Now().Add(timeout)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *callerConn) setAwaitingRequest(awaitingRequest bool) {
	c.mu.Lock()
	c.awaitingRequest = awaitingRequest
	if !awaitingRequest {
		c.firstRequest = false
	}
	c.mu.Unlock()
}

// trackConnState keeps what a connection waits for.
func trackConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.setAwaitingRequest(state == http.StateNew || state == http.StateIdle)
	if state != http.StateClosed && state != http.StateHijacked {
		// A connection that is closed is met by the server's next read.
		_ = c.SetReadDeadline(time.Time{})
	}
}
