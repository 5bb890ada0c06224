package callerserver_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	_ "github.com/quetzalroad/quetzalroad/decisions/intaker"
)

// Bodies and heads beyond the memory for requests were read all the same, or refused as if they may have run.
func TestRequestsBeyondTheMemoryAreRefusedAsNotRun(t *testing.T) {
	const begin = "POST /services/portal/bookings HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer secret\r\n"
	_, _, address := newNode(t, `"intake": {"max-bytes": 65536, "wait": "10ms"}`)
	for name, text := range map[string]string{
		"body": begin + "Content-Length: 200000\r\n\r\n" + strings.Repeat("b", 150_000),
		"head": begin + strings.Repeat("a:\r\n", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address.String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			go func() {
				// The node may close the connection before it has received everything.
				_, _ = conn.Write([]byte(text))
			}()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || response.Header.Get("Quetzalroad-Outcome") != "not-run" {
				t.Errorf("status %d, header %v", response.StatusCode, response.Header)
			}
		})
	}
}
