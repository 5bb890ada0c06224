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

// closingServer is a server that answers the first request of each connection and
// then reads the next request and closes without an answer, as a server does
// that drops kept connections.
type closingServer struct {
	listener net.Listener
	// requests counts the request heads read.
	requests atomic.Int64
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &closingServer{listener: listener}
	t.Cleanup(func() { listener.Close() })
	go r.serve()
	return r
}

func (r *closingServer) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

func (r *closingServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for served := 0; ; served++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r.requests.Add(1)
		if _, err := io.Copy(io.Discard, request.Body); err != nil || served == 1 {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func (r *closingServer) url() string {
	return "http://" + r.listener.Addr().String() + "/bookings"
}

// newBookingRequest makes a booking with an idempotency key.
func (r *closingServer) newBookingRequest(t *testing.T) *http.Request {
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
func TestNetHTTPResendsWhenGetBodyIsSet(t *testing.T) {
	r := newClosingServer(t)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		request, err := http.NewRequest(http.MethodPost, r.url(), bytes.NewReader([]byte("{}")))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Idempotency-Key", "visit-1")
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
	}
	if got := r.requests.Load(); got != 3 {
		t.Errorf("two calls sent %d requests, want 3: the fault that the guard is for is gone", got)
	}
}

func TestUnpooledRequestsAreNotResent(t *testing.T) {
	r := newClosingServer(t)
	client := &Client{DialTimeout: time.Second}
	client.Open()
	for range 4 {
		exchange, err := client.Do(context.Background(), r.newBookingRequest(t), true)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, exchange.Response.Body); err != nil {
			t.Fatal(err)
		}
		exchange.Close()
	}
	if got := r.requests.Load(); got != 4 {
		t.Errorf("four calls sent %d requests", got)
	}
}

// A body that can't be rewound shuts the re-sending out on kept connections
// too.
func TestPooledRequestsWithBodyAreNotResent(t *testing.T) {
	r := newClosingServer(t)
	client := &Client{DialTimeout: time.Second}
	client.Open()
	failures := 0
	for range 2 {
		exchange, err := client.Do(context.Background(), r.newBookingRequest(t), false)
		if err != nil {
			failures++
			if exchange.Unsent() {
				t.Error("a request that was written is told not run")
			}
			continue
		}
		if _, err := io.Copy(io.Discard, exchange.Response.Body); err != nil {
			t.Fatal(err)
		}
		exchange.Close()
	}
	if got := r.requests.Load(); got != 2 || failures != 1 {
		t.Errorf("two calls sent %d requests with %d failures, want 2 and 1", got, failures)
	}
}

func TestRefusedConnectionReportsNotRun(t *testing.T) {
	r := newClosingServer(t)
	request := r.newBookingRequest(t)
	r.listener.Close()
	client := &Client{DialTimeout: time.Second}
	client.Open()
	exchange, err := client.Do(context.Background(), request, true)
	if err == nil {
		t.Fatal("the call succeeded")
	}
	failure := NewAttemptError("portal-1", exchange, err)
	want := &quetzalroad.AttemptError{Upstream: "portal-1", NotRun: true, RetryReason: quetzalroad.RetryDialFailed}
	failure.Cause = nil
	if diff := cmp.Diff(want, failure); diff != "" {
		t.Errorf("failure (-want +got):\n%s", diff)
	}
}

func TestReadTimeoutEndsTheExchange(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	request, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String(), http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	client := &Client{DialTimeout: time.Second, ReadTimeout: 50 * time.Millisecond}
	client.Open()
	exchange, err := client.Do(context.Background(), request, false)
	if !errors.Is(err, ErrReadTimeout) {
		t.Fatalf("err = %v, want ErrSilent", err)
	}
	if failure := NewAttemptError("portal-1", exchange, err); failure.RetryReason != quetzalroad.RetryReadTimeout || failure.NotRun {
		t.Errorf("failure = %+v", failure)
	}
}
