package forwardclient

import (
	"bufio"
	"net"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// Guards against a status of a server in trouble that reaches a caller, or is skipped like that of an informational
// response, so that what follows it is taken for the response.
func TestStatusThatIsNoneOfHTTPIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			_, u := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err == nil {
					writeString(c, "HTTP/1.1 "+status+" Odd\r\nId: 1\r\nContent-Length: 0\r\n\r\n"+okResponse("1", "next"))
				}
			})
			response, err := newClient(t).Send(t.Context(), newAttempt(u, "1"))
			if err == nil {
				body, _ := readBody(response)
				t.Fatalf("a response with status %d and body %q", response.Head().Status, body)
			}
			var failure *quetzalroad.AttemptError
			if !errors.As(err, &failure) || failure.RetryReason != quetzalroad.RetryMalformedResponse || failure.NotRun {
				t.Errorf("error %v, want a malformed response", err)
			}
		})
	}
}
