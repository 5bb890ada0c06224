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

// closingServer responds to the first request of each connection, reads the
// second and closes the connection without a response, as a server does whose
// keep-alive timeout has expired.
type closingServer struct {
	listener net.Listener
	// requests is the number of request heads read.
	requests atomic.Int64
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &closingServer{listener: listener}
	t.Cleanup(func() { listener.Close() })
	go s.serve()
	return s
}

func (s *closingServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *closingServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for served := 0; ; served++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if _, err := io.Copy(io.Discard, request.Body); err != nil || served == 1 {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func (s *closingServer) url() string {
	return "http://" + s.listener.Addr().String() + "/bookings"
}

// newBookingRequest returns a POST request with an idempotency key.
func (s *closingServer) newBookingRequest(t *testing.T) *http.Request {
	t.Helper()
	request, err := NewRequest(http.MethodPost, s.url(), []byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Idempotency-Key", "visit-1")
	return request
}

// Guards the reason for NewRequest: with GetBody set, net/http resends a POST that
// has an idempotency key if a reused connection closes after the head was written.
func TestNetHTTPResendsWhenGetBodyIsSet(t *testing.T) {
	s := newClosingServer(t)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		request, err := http.NewRequest(http.MethodPost, s.url(), bytes.NewReader([]byte("{}")))
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
	if got := s.requests.Load(); got != 3 {
		t.Errorf("two calls sent %d requests, want 3: net/http no longer resends, so NewRequest needs no special case", got)
	}
}

func TestUnpooledRequestsAreNotResent(t *testing.T) {
	s := newClosingServer(t)
	client := &Client{DialTimeout: time.Second}
	client.Open()
	for range 4 {
		exchange, err := client.Do(context.Background(), s.newBookingRequest(t), true)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, exchange.Response.Body); err != nil {
			t.Fatal(err)
		}
		exchange.Close()
	}
	if got := s.requests.Load(); got != 4 {
		t.Errorf("four calls sent %d requests", got)
	}
}

// A body that can't be rewound prevents the resending on reused connections
// too.
func TestPooledRequestsWithBodyAreNotResent(t *testing.T) {
	s := newClosingServer(t)
	client := &Client{DialTimeout: time.Second}
	client.Open()
	failures := 0
	for range 2 {
		exchange, err := client.Do(context.Background(), s.newBookingRequest(t), false)
		if err != nil {
			failures++
			if exchange.Unsent() {
				t.Error("a request that was written is reported as unsent")
			}
			continue
		}
		if _, err := io.Copy(io.Discard, exchange.Response.Body); err != nil {
			t.Fatal(err)
		}
		exchange.Close()
	}
	if got := s.requests.Load(); got != 2 || failures != 1 {
		t.Errorf("two calls sent %d requests with %d failures, want 2 and 1", got, failures)
	}
}

func TestRefusedConnectionReportsNotRun(t *testing.T) {
	s := newClosingServer(t)
	request := s.newBookingRequest(t)
	s.listener.Close()
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
		t.Fatalf("err = %v, want ErrReadTimeout", err)
	}
	if failure := NewAttemptError("portal-1", exchange, err); failure.RetryReason != quetzalroad.RetryReadTimeout || failure.NotRun {
		t.Errorf("failure = %+v", failure)
	}
}
