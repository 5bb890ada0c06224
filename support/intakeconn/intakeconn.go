// Package intakeconn keeps the connections of callers, and the heads and bodies that arrive on them, within a
// quetzalroad.Intake.
package intakeconn

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/quetzalroad/quetzalroad"
)

// headerLineBytes is the memory that a line of a head takes besides its text: in the parsed head, in the copy that is
// forwarded, and in the request to the upstream.
const headerLineBytes = 256

// HeadCost returns the memory that a head takes.
func HeadCost(bytes, lines int) int {
	return bytes + lines*headerLineBytes
}

// HeaderCost returns the memory that a parsed head takes.
func HeaderCost(header http.Header) int {
	bytes, lines := 0, 0
	for name, values := range header {
		lines += len(values)
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	return HeadCost(bytes, lines)
}

// Listener admits connections to an intake. Set its fields before first use.
type Listener struct {
	net.Listener
	// Intake may be nil, for no bound.
	Intake quetzalroad.Intake
	// MaxHeaderBytes and MaxHeaderLines bound the size and the lines of a head.
	MaxHeaderBytes int
	MaxHeaderLines int
	// Refuse logs and counts a refusal that precedes a request, and returns its status and header.
	Refuse func(*quetzalroad.Refusal) (int, http.Header)
}

// refusalWriteTimeout bounds writing a refusal, which fits into the send buffer.
const refusalWriteTimeout = 100 * time.Millisecond

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, listener: l, awaitingRequest: true, firstRequest: true}
		if l.Intake == nil {
			return c, nil
		}
		account, refusal := l.Intake.Connect(c.interrupt, c.disconnect)
		if refusal == nil {
			c.account = account
			return c, nil
		}
		c.writeRefusal(refusal)
		// The connection is of no further use.
		_ = conn.Close()
	}
}

// Conn is a connection of a caller that counts the heads on it.
type Conn struct {
	net.Conn
	listener *Listener
	// account is nil if there is no bound. Between requests it is used by the goroutine that reads the next head,
	// and during a request by its handler.
	account quetzalroad.IntakeAccount
	// meter is used like account. carriedLines is the number of lines in the last bytes that were read before the
	// present head, and may belong to it.
	meter        headMeter
	carriedLines int

	mu sync.Mutex
	// awaitingRequest is set while the next bytes begin a request, firstRequest until the first request on the
	// connection begins, and interrupted once reads have to end. All are guarded by mu.
	awaitingRequest bool
	firstRequest    bool
	interrupted     bool
}

// interrupt ends the read in progress and all further ones.
func (c *Conn) interrupt() {
	c.mu.Lock()
	c.interrupted = true
	c.mu.Unlock()
	// On a closed connection this fails, and so does the read.
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// disconnect closes the connection. Its descriptor is free afterwards.
func (c *Conn) disconnect() {
	// The connection may have ended meanwhile.
	_ = c.Conn.Close()
}

// pastDeadline makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// AwaitsRequest reports whether the next bytes begin a request, and whether that is the first one.
func (c *Conn) AwaitsRequest() (awaiting, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaitingRequest, c.firstRequest
}

// TrackState follows the state of the connection in the HTTP server, which calls it from the goroutine of the
// connection.
func (c *Conn) TrackState(state http.ConnState) {
	c.mu.Lock()
	c.awaitingRequest = state == http.StateNew || state == http.StateIdle
	if !c.awaitingRequest {
		c.firstRequest = false
	}
	c.mu.Unlock()
	switch {
	case state == http.StateIdle:
		c.meter = headMeter{}
	case c.account != nil && (state == http.StateClosed || state == http.StateHijacked):
		c.account.Close()
		c.account = nil
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// WithConn adds the connection to the context of its requests.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// AccountOf returns the account of a request's connection; nil if there is no bound.
func AccountOf(ctx context.Context) quetzalroad.IntakeAccount {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return nil
	}
	return c.account
}

// TrackState calls Conn.TrackState for the connections of a Listener.
func TrackState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok {
		c.TrackState(state)
	}
}

// Account returns the account of the connection; nil if there is no bound.
func (c *Conn) Account() quetzalroad.IntakeAccount {
	return c.account
}

// errRefused is the error of a read on a connection whose head was refused.
var errRefused = errors.New("the head was refused")

// Read implements net.Conn. It counts heads, and refuses those that don't fit.
func (c *Conn) Read(p []byte) (int, error) {
	awaiting, _ := c.AwaitsRequest()
	n, err := c.Conn.Read(p)
	if !awaiting {
		c.carriedLines = bytes.Count(p[:n], lineEnd)
		if n == len(p) && n > 1 {
			// Callers who always have more to send, above all in small chunks, would otherwise keep the processor
			// from other requests for milliseconds each.
			runtime.Gosched()
		}
		return n, err
	}
	if refusal := c.countHead(p[:n]); refusal != nil {
		c.writeRefusal(refusal)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
	}
	return n, err
}

// headerSlopBytes is what net/http reads beyond the limit of a head. A head that exceeds both is refused here, before
// net/http does so without a log line.
const headerSlopBytes = 4 << 10

var lineEnd = []byte("\n")

// countHead counts the bytes of a head, and returns a refusal if there are too many.
func (c *Conn) countHead(data []byte) *quetzalroad.Refusal {
	if c.account == nil {
		return nil
	}
	if len(data) == 0 {
		return c.account.Interrupted()
	}
	headBytes := c.meter.add(data)
	lines := c.meter.lines + c.carriedLines
	if c.meter.ended {
		c.carriedLines = bytes.Count(data[headBytes:], lineEnd)
	}
	if maxBytes := c.listener.MaxHeaderBytes; !c.meter.ended && c.meter.bytes >= maxBytes+headerSlopBytes {
		return quetzalroad.NewRefusal(quetzalroad.ReasonHeaderTooLarge, "the head is longer than "+strconv.Itoa(maxBytes)+" bytes", 0)
	}
	if c.meter.lines > c.listener.MaxHeaderLines {
		return quetzalroad.NewRefusal(quetzalroad.ReasonTooManyHeaderLines, "the head has more than "+strconv.Itoa(c.listener.MaxHeaderLines)+" lines", 0)
	}
	err := c.account.Hold(context.Background(), HeadCost(c.meter.bytes, lines))
	if err != nil {
		return quetzalroad.AsRefusal(err)
	}
	return nil
}

// writeRefusal sends a refusal in place of a response.
func (c *Conn) writeRefusal(refusal *quetzalroad.Refusal) {
	status, header := c.listener.Refuse(refusal)
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n")
	// Writing to a buffer never fails.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	// Errors are ignored: the caller may have disconnected.
	if c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) == nil {
		_, _ = c.Conn.Write(b.Bytes())
	}
}

// SocketControl returns the function for net.ListenConfig.Control that bounds the socket buffers of the accepted
// connections, which count towards the memory of the process on some platforms. Zero leaves a buffer as it is.
func SocketControl(receiveBytes, sendBytes int) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var socketErr error
		err := conn.Control(func(fd uintptr) {
			if receiveBytes > 0 {
				socketErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
			}
			if sendBytes > 0 && socketErr == nil {
				socketErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBytes)
			}
		})
		return errors.CombineErrors(err, socketErr)
	}
}
