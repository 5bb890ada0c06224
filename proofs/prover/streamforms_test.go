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
			return "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest-Attempt-Id: " + r.Header.Get("Request-Attempt-Id") + "\r\n" + sealLine + "Content-Type: text/event-stream\r\n" + field + "\r\n"
		}
		f := newStreamRequest(false, 0)
		f.Method = http.MethodHead
		if _, refusal := x.send(t, f); refusal != nil {
			t.Errorf("%s: %v", name, refusal)
		}
	}
}

// Comments, empty lines and a byte order mark were dropped from responses that are no stream of the router's.
func TestEventStreamOnPlainRouteIsForwardedUnchanged(t *testing.T) {
	x := newStreamFixture(t)
	for name, body := range map[string]string{
		"a comment at the begin": ": begin\n\nid: 1\ndata: a\n\n",
		"a comment between":      "id: 1\ndata: a\n\n: more\n\nid: 2\ndata: b\n\n",
		"comments alone":         ": a\n\n: b\n\n",
		"empty lines":            "\n\ndata: a\n\n\n\ndata: b\n\n",
		"a byte order mark":      "\ufeffdata: a\n\n",
		"events without ids":     "data: a\n\ndata: b\n\n",
		"no events":              "service unavailable\n\n",
	} {
		for _, framing := range framings {
			x.respond = func(_ int, r *http.Request, _ int) string {
				return encodeResponse(r.Header.Get("Request-Attempt-Id"), "text/event-stream", framing, body)
			}
			f := newStreamRequest(false, 0)
			f.Route.Streaming = false
			if got, refusal := x.send(t, f); got != body || refusal != nil {
				t.Errorf("%s, %s: the caller got %q, want %q; refusal %v", name, framing, got, body, refusal)
			}
		}
	}
}

// A response that is no stream of the router's lost a comment at its end and counted as complete.
func TestEventStreamOnPlainRouteIsNotCompleteWithoutItsEnd(t *testing.T) {
	x := newStreamFixture(t)
	const body = "data: a\n\n: end\n"
	for _, framing := range framings {
		x.respond = func(_ int, r *http.Request, _ int) string {
			return encodeResponse(r.Header.Get("Request-Attempt-Id"), "text/event-stream", framing, body)
		}
		f := newStreamRequest(false, 0)
		f.Route.Streaming = false
		if got, refusal := x.send(t, f); got != body && refusal == nil {
			t.Errorf("%s: the response ended as complete after %q, want %q", framing, got, body)
		}
	}
}

// An event with a field that the format doesn't define was refused for its name.
func TestEventWithAnUnknownFieldIsForwarded(t *testing.T) {
	x := newStreamFixture(t)
	for _, field := range []string{"trace: 7", "trace-id: 7", "trace_id: 7", "trace.id: 7"} {
		body := field + "\nid: 1\ndata: a\n\n"
		x.respond = func(_ int, r *http.Request, _ int) string {
			return encodeResponse(r.Header.Get("Request-Attempt-Id"), "text/event-stream", framingChunks, body)
		}
		if got, refusal := x.forward(t, false, 0); got != body || refusal != nil {
			t.Errorf("%s: the caller got %q, refusal %v", field, got, refusal)
		}
	}
}
