package forwardclient

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// resetConn makes closing a connection reset it, once the other side has read what was written.
func resetConn(t *testing.T, c net.Conn) {
	time.Sleep(20 * time.Millisecond)
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		t.Error(err)
	}
}

// An upstream that exits while it writes the head of a response leaves evidence that it was responding, also
// if what it wrote last is no whole line.
func TestHeadThatBreaksOffIsALostConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\n"
	for name, c := range map[string]struct {
		bytes int
		begun bool
	}{
		"nothing":                  {0, false},
		"half a protocol":          {4, true},
		"half a status":            {10, true},
		"no end of status line":    {15, true},
		"half a field name":        {strings.Index(head, "tent-"), true},
		"half a value":             {strings.Index(head, "2\r\n\r\n"), true},
		"no blank line":            {len(head) - 2, true},
		"half of the line's end":   {len(head) - 1, true},
		"half a name of the first": {strings.Index(head, "d: 1"), true},
	} {
		for _, kept := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(name, func(t *testing.T) {
					_, u := startUpstream(t, func(_ int, conn net.Conn, r *bufio.Reader) {
						for i := 0; ; i++ {
							if _, _, err := readRequest(r); err != nil {
								return
							}
							if kept && i == 0 {
								writeString(conn, okResponse("1", "yes"))
								continue
							}
							writeString(conn, head[:c.bytes])
							if reset {
								resetConn(t, conn)
							}
							return
						}
					})
					client := newClient(t)
					if kept {
						response, err := client.Send(t.Context(), newAttempt(u, "1"))
						if err != nil {
							t.Fatal(err)
						}
						if _, err := readBody(response); err != nil {
							t.Fatal(err)
						}
					}
					_, err := client.Send(t.Context(), newAttempt(u, "1"))
					failure := asAttemptError(t, err)
					if failure.RetryReason != quetzalroad.RetryConnectionLost || failure.NotRun || failure.ResponseBegun != c.begun {
						t.Errorf("kept %v, reset %v: %+v", kept, reset, failure)
					}
				})
			}
		}
	}
}

// A body that breaks off must not look complete, whatever frames it.
func TestBodyThatBreaksOffIsNotComplete(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, response := range map[string]string{
		"length":               start + "Content-Length: 5\r\n\r\nhalf",
		"no byte":              start + "Content-Length: 5\r\n\r\n",
		"half a chunk size":    start + "Transfer-Encoding: chunked\r\n\r\n1",
		"half a chunk":         start + "Transfer-Encoding: chunked\r\n\r\n5\r\nhal",
		"no last chunk":        start + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"half of a last chunk": start + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0",
		"half a trailer":       start + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX: 1",
		"no end of trailers":   start + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
	} {
		for _, stream := range []string{"", "Content-Type: text/event-stream\r\n"} {
			t.Run(name, func(t *testing.T) {
				text := strings.Replace(response, start, start+stream, 1)
				_, u := startUpstream(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					if _, _, err := readRequest(r); err == nil {
						writeString(conn, text)
					}
				})
				answer, err := newClient(t).Send(t.Context(), newAttempt(u, "1"))
				if err != nil {
					t.Fatal(err)
				}
				if body, err := readBody(answer); err == nil {
					t.Errorf("body %q is complete", body)
				}
			})
		}
	}
}
