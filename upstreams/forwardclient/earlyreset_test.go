package forwardclient

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// Guards against a part of an unframed body that is taken for the whole. The reset of a connection is reported
// once: if the write of a long request gets to see it, the read finds an ordinary end.
func TestUnframedResponseThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	const attempts = 400
	_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		writeString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
		// Let the client read the part before the reset, which discards unread data.
		time.Sleep(20 * time.Millisecond)
		if err := c.(*net.TCPConn).SetLinger(0); err != nil {
			t.Error(err)
		}
	})
	client := newClient(t)
	body := quetzalroad.Body{make([]byte, 8<<20)}
	var complete atomic.Int64
	var running sync.WaitGroup
	for range attempts {
		running.Go(func() {
			a := newAttempt(u, "1")
			a.Request.Body = body
			response, err := client.Send(t.Context(), a)
			if err != nil {
				return
			}
			if _, err := readBody(response); err == nil {
				complete.Add(1)
			}
		})
	}
	running.Wait()
	if n := complete.Load(); n > 0 {
		t.Errorf("%d of %d responses that broke off are complete", n, attempts)
	}
}
