package httpclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a part of an unframed body that is taken for the whole. The reset of a connection is reported
// once: if the write of a long request gets to see it, the read finds an ordinary end.
func TestUnframedResponseThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	const attempts = 100
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
			go func() {
				defer c.Close()
				if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
					return
				}
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart"); err != nil {
					return
				}
				// Let the client read the part before the reset, which discards unread data.
				time.Sleep(20 * time.Millisecond)
				// If this fails, the connection ends in order, which the test finds.
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	client := &Client{DialTimeout: time.Minute}
	client.Open()
	defer client.Close()
	body := make([]byte, 8<<20)
	var complete atomic.Int64
	var running sync.WaitGroup
	for range attempts {
		running.Go(func() {
			request, err := NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/", body)
			if err != nil {
				t.Error(err)
				return
			}
			exchange, err := client.Do(t.Context(), request, true)
			if err != nil {
				return
			}
			defer exchange.Close()
			if _, err := io.ReadAll(exchange.Response.Body); err == nil {
				complete.Add(1)
			}
		})
	}
	running.Wait()
	if n := complete.Load(); n > 0 {
		t.Errorf("%d of %d responses that broke off are complete", n, attempts)
	}
}
