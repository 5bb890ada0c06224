package forwardclient

import (
	"bufio"
	"net"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// A response without any event was taken for a whole stream.
func TestStreamWithoutEventsIsWholeOnlyWhereItResumesAnother(t *testing.T) {
	const declared, comment = "Content-Type: text/event-stream\r\n", "2\r\n:\n\r\n"
	for name, c := range map[string]struct {
		header, chunks string
		resumeAfter    int64
		reason         quetzalroad.RetryReason
	}{
		"first":                    {declared, "", 0, quetzalroad.RetryMalformedResponse},
		"first, with a comment":    {declared, comment, 0, quetzalroad.RetryMalformedResponse},
		"first, of no type":        {"", "", 0, quetzalroad.RetryMalformedResponse},
		"resumed":                  {declared, "", 2, ""},
		"resumed, with a comment":  {declared, comment, 2, ""},
		"resumed, of no type":      {"", "", 2, quetzalroad.RetryMalformedResponse},
		"resumed, of another type": {"Content-Type: text/html\r\n", "", 2, quetzalroad.RetryMalformedResponse},
	} {
		t.Run(name, func(t *testing.T) {
			_, u := startUpstream(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err == nil {
					writeString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n"+c.header+"Transfer-Encoding: chunked\r\n\r\n"+c.chunks+"0\r\n\r\n")
				}
			})
			attempt := newAttempt(u, "1")
			attempt.Request.Route.Streaming, attempt.ResumeAfter = true, c.resumeAfter
			response, err := newClient(t).Send(t.Context(), attempt)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			_, err = readBody(response)
			var failure *quetzalroad.AttemptError
			if errors.As(err, &failure); (failure == nil) != (c.reason == "") || (failure != nil && failure.RetryReason != c.reason) {
				t.Errorf("error %v, want reason %q", err, c.reason)
			}
		})
	}
}
