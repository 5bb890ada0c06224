package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// reaper is a server that answers the first request of each connection and
// then reads the next request and closes without an answer, as a server does
// that drops kept connections.
type reaper struct {
	listener net.Listener
	// heads counts the request heads read.
	heads atomic.Int64
}

func newReaper(t *testing.T) *reaper {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &reaper{listener: listener}
	t.Cleanup(func() { listener.Close() })
	go r.serve()
	return r
}

func (r *reaper) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.one(conn)
	}
}

func (r *reaper) one(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for served := 0; ; served++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r.heads.Add(1)
		if _, err := io.Copy(io.Discard, request.Body); err != nil || served == 1 {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func (r *reaper) url() string {
	return "http://" + r.listener.Addr().String() + "/bookings"
}

// post makes a booking with an idempotency key.
func (r *reaper) post(t *testing.T) *http.Request {
	t.Helper()
	request, err := NewRequest(http.MethodPost, r.url(), []byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Idempotency-Key", "visit-1")
	return request
}

// Without the guard, net/http sends a POST with an idempotency key again by
// itself when a kept connection turns out closed after the head was written.
func TestNetHTTPSendsAgainByItselfWithoutTheGuard(t *testing.T) {
	r := newReaper(t)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		request, err := http.NewRequest(http.MethodPost, r.url(), bytes.NewReader([]byte("{}")))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Idempotency-Key", "visit-1")
		answer, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
	}
	if got := r.heads.Load(); got != 3 {
		t.Errorf("two calls sent %d requests, want 3: the fault that the guard is for is gone", got)
	}
}

func TestFreshConnectionsNeverSendAgain(t *testing.T) {
	r := newReaper(t)
	transport := &Transporter{DialTimeout: time.Second}
	transport.Open()
	for range 4 {
		exchange, err := transport.Do(context.Background(), r.post(t), true)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, exchange.Response.Body); err != nil {
			t.Fatal(err)
		}
		exchange.Close()
	}
	if got := r.heads.Load(); got != 4 {
		t.Errorf("four calls sent %d requests", got)
	}
}

// A body that can't be rewound shuts the re-sending out on kept connections
// too.
func TestPooledConnectionDoesNotSendBodiesAgain(t *testing.T) {
	r := newReaper(t)
	transport := &Transporter{DialTimeout: time.Second}
	transport.Open()
	failures := 0
	for range 2 {
		exchange, err := transport.Do(context.Background(), r.post(t), false)
		if err != nil {
			failures++
			if exchange.NotRun() {
				t.Error("a request that was written is told not run")
			}
			continue
		}
		if _, err := io.Copy(io.Discard, exchange.Response.Body); err != nil {
			t.Fatal(err)
		}
		exchange.Close()
	}
	if got := r.heads.Load(); got != 2 || failures != 1 {
		t.Errorf("two calls sent %d requests with %d failures, want 2 and 1", got, failures)
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	r := newReaper(t)
	request := r.post(t)
	r.listener.Close()
	transport := &Transporter{DialTimeout: time.Second}
	transport.Open()
	exchange, err := transport.Do(context.Background(), request, true)
	if err == nil {
		t.Fatal("the call succeeded")
	}
	failure := Fail("portal-1", exchange, err)
	want := &quetzalroad.AttemptError{Upstream: "portal-1", NotRun: true, RetryReason: quetzalroad.RetryDialFailed}
	failure.Cause = nil
	if diff := cmp.Diff(want, failure); diff != "" {
		t.Errorf("failure (-want +got):\n%s", diff)
	}
}

func TestSilentConnectionIsGivenUp(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	request, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String(), http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	transport := &Transporter{DialTimeout: time.Second, Silence: 50 * time.Millisecond}
	transport.Open()
	exchange, err := transport.Do(context.Background(), request, false)
	if !errors.Is(err, ErrSilent) {
		t.Fatalf("err = %v, want ErrSilent", err)
	}
	if failure := Fail("portal-1", exchange, err); failure.RetryReason != quetzalroad.RetryReadTimeout || failure.NotRun {
		t.Errorf("failure = %+v", failure)
	}
}
