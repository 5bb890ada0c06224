package intakeconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// account is an intake and its only account, which holds up to max bytes.
type account struct {
	max, held, peak int
	full            bool
	interrupt       func()
	closed          bool
}

func (a *account) Connect(interrupt, _ func()) (quetzalroad.IntakeAccount, *quetzalroad.Refusal) {
	a.interrupt = interrupt
	if a.full {
		return nil, quetzalroad.NewRefusal(quetzalroad.ReasonTooManyConnections, "full", time.Second)
	}
	return a, nil
}

func (a *account) Hold(_ context.Context, held int) error {
	if held > a.max {
		return quetzalroad.NewRefusal(quetzalroad.ReasonRequestMemoryFull, "full", time.Second)
	}
	a.held, a.peak = held, max(a.peak, held)
	return nil
}

func (a *account) SetUrgency(quetzalroad.Tier, time.Time) {}
func (a *account) Interrupted() *quetzalroad.Refusal      { return nil }
func (a *account) SetReceived() *quetzalroad.Refusal      { return nil }
func (a *account) Release()                               { a.held = 0 }
func (a *account) Close()                                 { a.closed = true }

// maxHeadBytes is the limit of heads in these tests.
const maxHeadBytes = 16 << 10

// oneConn is a listener with one connection.
type oneConn struct {
	net.Listener
	conn net.Conn
}

func (l *oneConn) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	conn := l.conn
	l.conn = nil
	return conn, nil
}

// accept returns both ends of a connection that was admitted, or a nil one if it was refused.
func accept(t *testing.T, intake quetzalroad.Intake, maxLines int) (*Conn, net.Conn) {
	t.Helper()
	server, caller := net.Pipe()
	l := &Listener{Listener: &oneConn{conn: server}, Intake: intake, MaxHeaderBytes: maxHeadBytes, MaxHeaderLines: maxLines, Refuse: func(r *quetzalroad.Refusal) (int, http.Header) {
		status := http.StatusServiceUnavailable
		if r.Reason != quetzalroad.ReasonRequestMemoryFull && r.Reason != quetzalroad.ReasonTooManyConnections {
			status = http.StatusRequestHeaderFieldsTooLarge
		}
		return status, http.Header{"Retry-After": {"1.000"}}
	}}
	accepted := make(chan *Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			accepted <- nil
			return
		}
		accepted <- conn.(*Conn)
	}()
	t.Cleanup(func() { _ = caller.Close() })
	if a, ok := intake.(*account); ok && a.full {
		return nil, caller
	}
	return <-accepted, caller
}

// A head of more lines, or of more memory than there is, was read on, or was refused without an answer.
func TestHeadsThatDoNotFitAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		account  account
		maxLines int
		line     string
		status   int
	}{
		"too many lines":      {account{max: 1 << 20}, 50, "a:\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"too many bytes":      {account{max: 1 << 20}, 1000, "a: " + strings.Repeat("b", maxHeadBytes/10) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"no memory left":      {account{max: 8 << 10}, 1000, "a:\r\n", http.StatusServiceUnavailable},
		"no connections left": {account{full: true}, 1000, "a:\r\n", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			conn, caller := accept(t, &c.account, c.maxLines)
			if conn != nil {
				go func() {
					_, err := io.Copy(io.Discard, conn)
					if err == nil {
						t.Error("the read went on")
					}
					_ = conn.Close()
				}()
				go func() {
					// The node closes the connection meanwhile.
					_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n"+strings.Repeat(c.line, 100))
				}()
			}
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != c.status || !response.Close {
				t.Errorf("status %d, close %v", response.StatusCode, response.Close)
			}
		})
	}
}

// A head that came together with the request before it counted as nothing, and a head was counted until the body.
func TestEachHeadIsCountedByItself(t *testing.T) {
	a := account{max: 1 << 20}
	conn, caller := accept(t, &a, 1000)
	const head = "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n"
	go func() {
		for _, text := range []string{head + "\n\n", "\n\nGET / HTTP/1.1\r\na:\r\n", "b:\r\n\r\n"} {
			_, _ = io.WriteString(caller, text)
		}
	}()
	var got []int
	buffer := make([]byte, 4096)
	read := func() {
		if _, err := conn.Read(buffer); err != nil {
			t.Fatal(err)
		}
		got = append(got, a.held)
	}
	read()
	conn.TrackState(http.StateActive)
	read()
	conn.TrackState(http.StateIdle)
	read()
	want := []int{HeadCost(len(head), 3), HeadCost(len(head), 3), HeadCost(len("b:\r\n\r\n"), 6)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	conn.TrackState(http.StateClosed)
	if !a.closed {
		t.Error("the account is still open")
	}
}

// A connection that had to give way got a new deadline, and kept its memory until then.
func TestInterruptedConnectionIsReadNoFurther(t *testing.T) {
	a := account{max: 1 << 20}
	conn, _ := accept(t, &a, 1000)
	a.interrupt()
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the read went on")
	}
}

// A body took memory before the account had allowed it, or was kept twice.
func TestBodyIsReadInPartsThatFit(t *testing.T) {
	const headCost = 100
	for name, c := range map[string]struct {
		size, declared, max int
		refused             bool
	}{
		"empty":             {size: 0, declared: -1, max: 1 << 20},
		"small, declared":   {size: 3000, declared: 3000, max: headCost + 3001},
		"large, declared":   {size: 1 << 20, declared: 1 << 20, max: headCost + 1<<20 + partBytes},
		"large, undeclared": {size: 1 << 20, declared: -1, max: headCost + firstPartBytes + 1<<20 + partBytes},
		"too large":         {size: 1 << 20, declared: -1, max: 1 << 19, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			a := account{max: c.max}
			data := bytes.Repeat([]byte("0123456789abcdef"), c.size/16+1)[:c.size]
			reader := BodyReader{Account: &a, HeadCost: headCost, Declared: int64(c.declared)}
			body, err := reader.Read(t.Context(), iotestReader{bytes.NewReader(data)})
			var refusal *quetzalroad.Refusal
			if errors.As(err, &refusal) != c.refused {
				t.Fatal(err)
			}
			if !c.refused && body.String() != string(data) {
				t.Errorf("%d bytes, want the %d that were sent", body.Len(), c.size)
			}
			held := headCost
			for _, part := range body {
				held += cap(part)
			}
			if a.peak < held {
				t.Errorf("%d bytes are kept, but %d were allowed", held, a.peak)
			}
		})
	}
}

// iotestReader returns a few bytes at a time.
type iotestReader struct {
	io.Reader
}

func (r iotestReader) Read(p []byte) (int, error) {
	return r.Reader.Read(p[:min(len(p), 1000)])
}
