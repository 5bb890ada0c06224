package prover

import (
	"net/http"
	"testing"
)

// The response to HEAD was taken for a stream without events.
func TestHeadRequestOnStreamingRouteIsAnswered(t *testing.T) {
	x := newStreamFixture(t)
	for name, field := range map[string]string{
		"length": "Content-Length: 10\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "neither": "",
	} {
		x.respond = func(_ int, r *http.Request, _ int) string {
			return "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: " + r.Header.Get("Request-Attempt-Id") + "\r\nContent-Type: text/event-stream\r\n" + field + "\r\n"
		}
		f := newStreamRequest(false, 0)
		f.Method = http.MethodHead
		if _, refusal := x.send(t, f); refusal != nil {
			t.Errorf("%s: %v", name, refusal)
		}
	}
}
