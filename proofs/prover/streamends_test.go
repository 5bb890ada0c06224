package prover

import (
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A response that ended before the event that the caller had last was taken for the whole rest of its stream.
func TestStreamThatEndsBeforeTheCallersLastEventIsNotWhole(t *testing.T) {
	x := newStreamFixture(t)
	const callersLast = 2 * streamLength
	for _, f := range framings {
		x.respond = func(before int, r *http.Request, resumeAfter int) string {
			from, to := 1, streamLength
			if before > 0 {
				from, to = resumeAfter+1, resumeAfter+streamLength
			}
			return encodeResponse(r.Header.Get("Request-Attempt-Id"), "text/event-stream", f, streamEvents(from, to))
		}
		got, refusal := x.forward(t, true, callersLast)
		if diff := cmp.Diff(streamEvents(callersLast+1, callersLast+streamLength), got); diff != "" || refusal != nil {
			t.Errorf("%s, resumable: refusal %v (-want +got):\n%s", f, refusal, diff)
		}
		if got, refusal := x.forward(t, false, callersLast); refusal == nil {
			t.Errorf("%s: the response ended as complete after %q", f, got)
		}
	}
}

// A success that no server had signed was passed on to callers.
func TestUnsignedSuccessReachesNoCaller(t *testing.T) {
	x := newStreamFixture(t)
	for _, seal := range []string{"", "Response-Seal:\r\n"} {
		for _, f := range framings {
			x.respond = func(before int, r *http.Request, _ int) string {
				response := encodeResponse(r.Header.Get("Request-Attempt-Id"), "text/event-stream", f, streamEvents(1, streamLength))
				if before == 0 {
					return strings.Replace(response, sealLine, seal, 1)
				}
				return response
			}
			if got, refusal := x.forward(t, false, 0); refusal == nil || got != "" {
				t.Errorf("seal %q, %s: refusal %v, the caller got %q", seal, f, refusal, got)
			}
			if got, refusal := x.forward(t, true, 0); refusal != nil || got != streamEvents(1, streamLength) {
				t.Errorf("seal %q, %s, resumable: refusal %v, the caller got %q", seal, f, refusal, got)
			}
		}
	}
}
