package forwardserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/intakeconn"
)

// listener wraps accepted connections so that their read timeouts follow the
// published limits. http.Server reads its own timeouts only once, at start.
type listener struct {
	intakeconn.Listener
	limits func() quetzalroad.CallerLimits
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn.(*intakeconn.Conn), limits: l.limits}, nil
}

// callerConn is a caller's connection that applies the published read timeouts.
type callerConn struct {
	*intakeconn.Conn
	limits func() quetzalroad.CallerLimits
}

// SetReadDeadline implements net.Conn. While the connection awaits a request, the
// published limits apply: a zero t sets the deadline of an idle connection instead
// of removing it, and any other t is the server's deadline for the header.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	awaitingRequest, firstRequest := c.AwaitsRequest()
	if awaitingRequest {
		t = readDeadline(time.Now(), t, c.limits(), firstRequest)
	}
	return c.Conn.SetReadDeadline(t)
}

// readDeadline returns the read deadline of a connection that awaits a request, or zero for none.
func readDeadline(now, headerDeadline time.Time, limits quetzalroad.CallerLimits, firstRequest bool) time.Time {
	timeout := limits.IdleTimeout
	if limits.HeaderTimeout > 0 && (firstRequest || !headerDeadline.IsZero()) {
		timeout = limits.HeaderTimeout
	}
	if timeout <= 0 {
		return headerDeadline
	}
	deadline := now.Add(timeout)
	if !headerDeadline.IsZero() && headerDeadline.Before(deadline) {
		return headerDeadline
	}
	return deadline
}

// trackConnState records whether the connection awaits a request, and sets the read deadline for that state.
func trackConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.TrackState(state)
	if state != http.StateClosed && state != http.StateHijacked {
		// On a closed connection the server's next read fails as well.
		_ = c.SetReadDeadline(time.Time{})
	}
}

// callerConnKey is the context key of a request's *callerConn.
type callerConnKey struct{}

// withCallerConn adds the connection to the context of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// resetOnClose makes the connection of a request end with a reset instead of an orderly close.
func resetOnClose(ctx context.Context) {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return
	}
	if tcpConn, ok := c.Conn.Conn.(*net.TCPConn); ok {
		// On a closed connection this fails, and nothing is left to end.
		_ = tcpConn.SetLinger(0)
	}
}
