package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A server in trouble may send header lines without end; 64 of them must not use up a small VM's memory.
func TestLongResponseHeadIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				// The client closes the connection before it has read all of the head.
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+strings.Repeat("A: b\r\n", MaxResponseHeadBytes/4)+"Content-Length: 0\r\n\r\n")
			}
			c.Close()
		}
	}()
	client := &Client{DialTimeout: time.Second}
	client.Open()
	defer client.Close()
	for _, unpooled := range []bool{false, true} {
		request, err := NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		exchange, err := client.Do(context.Background(), request, unpooled)
		if err == nil {
			exchange.Close()
			t.Errorf("unpooled %v: a head of more than %d bytes was accepted", unpooled, MaxResponseHeadBytes)
		}
	}
}
