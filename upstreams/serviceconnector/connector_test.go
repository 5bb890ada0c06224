package serviceconnector

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// startService responds to every request with a body that ends with its connection, which it closes or
// resets, and counts the connections that carried a request.
func startService(t *testing.T, reset bool) (quetzalroad.Upstream, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	connections := new(atomic.Int64)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				connections.Add(1)
				// The test checks what the client makes of the response.
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody")
			}
			if reset {
				// Let the client read the part before the reset, which discards unread data.
				time.Sleep(20 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return quetzalroad.Upstream{Name: "u", Address: netip.MustParseAddrPort(listener.Addr().String())}, connections
}

func TestUnframedResponseIsCompleteOnlyIfItsConnectionIsClosed(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			connector := new(Connector)
			connector.Declare(new(configloader.Section))
			if err := connector.Build(&kernel.Node{Logger: slog.New(slog.DiscardHandler)}); err != nil {
				t.Fatal(err)
			}
			u, connections := startService(t, reset)
			for range 2 {
				request := &quetzalroad.ServiceRequest{Method: http.MethodGet, Path: "/x", Header: http.Header{}}
				request.Idempotent = true
				response, err := connector.Call(t.Context(), u, request)
				if (err == nil) == reset {
					t.Errorf("error %v", err)
				}
				if err == nil && string(response.Body) != "body" {
					t.Errorf("body %q", response.Body)
				}
			}
			if got := connections.Load(); got != 2 {
				t.Errorf("%d connections carried two requests, want 2", got)
			}
		})
	}
}

// Guards against the part of an unframed response that a service had sent when it was killed and that counts as whole.
func TestUnframedResponseOfAServiceThatExitsIsNotComplete(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			// The test checks what the client makes of the response.
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbo")
		}
		_ = listener.Close()
		_ = c.Close()
	}()
	connector := new(Connector)
	connector.Declare(new(configloader.Section))
	if err := connector.Build(&kernel.Node{Logger: slog.New(slog.DiscardHandler)}); err != nil {
		t.Fatal(err)
	}
	u := quetzalroad.Upstream{Name: "u", Address: netip.MustParseAddrPort(listener.Addr().String())}
	response, err := connector.Call(t.Context(), u, &quetzalroad.ServiceRequest{Method: http.MethodPost, Path: "/x", Header: http.Header{}})
	if err == nil {
		t.Errorf("body %q counts as whole", response.Body)
	}
}
