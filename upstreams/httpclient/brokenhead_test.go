package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// An upstream that exits while it writes the head of a response has sent none, wherever the head breaks off.
func TestHeadThatBreaksOffIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"framed":   "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n",
		"unframed": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
		"chunked":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for length := range len(head) {
				if body, err := readFrom(t, head[:length]); err == nil {
					t.Errorf("%q was taken for a response with the body %q", head[:length], body)
				}
			}
		})
	}
}

// readFrom returns the body of a response of which an upstream writes the text before it closes the connection.
func readFrom(t *testing.T, text string) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			// The test checks what the client makes of the response.
			_, _ = io.WriteString(c, text)
		}
		_ = c.Close()
	}()
	client := &Client{DialTimeout: time.Second}
	client.Open()
	defer client.Close()
	request, err := NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	exchange, err := client.Do(context.Background(), request, true)
	if err != nil {
		return "", err
	}
	defer exchange.Close()
	body, err := io.ReadAll(exchange.Response.Body)
	return string(body), err
}
