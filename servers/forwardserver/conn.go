package forwardserver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// listener wraps accepted connections so that their read timeouts follow the
// published limits. http.Server reads its own timeouts only once, at start.
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

// callerConn is a caller's connection that applies the published read timeouts.
type callerConn struct {
	net.Conn
	limits func() quetzalroad.CallerLimits
	mu     sync.Mutex
	// awaitingRequest is set while the next bytes begin a request, and firstRequest
	// until the first request on the connection begins. Both are guarded by mu.
	awaitingRequest bool
	firstRequest    bool
}

// SetReadDeadline implements net.Conn. While the connection awaits a request, a
// zero t sets the deadline from the published limits instead of removing it.
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

// trackConnState records whether the connection awaits a request, and sets the read deadline for that state.
func trackConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.setAwaitingRequest(state == http.StateNew || state == http.StateIdle)
	if state != http.StateClosed && state != http.StateHijacked {
		// On a closed connection the server's next read fails as well.
		_ = c.SetReadDeadline(time.Time{})
	}
}
