package httpclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a status of a server in trouble that reaches a caller, whose connection it would end in a panic.
func TestStatusThatIsNoneOfHTTPIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					// If this fails, the client finds no response either.
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n")
				}
			}()
			client := new(Client)
			client.Open()
			defer client.Close()
			request, err := NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/", nil)
			if err != nil {
				t.Fatal(err)
			}
			exchange, err := client.Do(t.Context(), request, true)
			if err == nil {
				exchange.Close()
			}
			if !errors.Is(err, ErrInvalidStatus) {
				t.Errorf("error %v, want an invalid status", err)
			}
		})
	}
}
