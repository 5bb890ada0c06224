package callerserver

import (
	"net/http"
	"testing"

	"github.com/quetzalroad/quetzalroad"
)

// A caller may repeat a request after 503, so that one that may have run must not end with it.
func TestServiceUnavailableMeansNotRun(t *testing.T) {
	for _, c := range []struct {
		reason  quetzalroad.RefusalReason
		outcome quetzalroad.Outcome
		status  int
	}{
		{quetzalroad.ReasonNotReady, quetzalroad.OutcomeNotRun, http.StatusServiceUnavailable},
		{quetzalroad.ReasonNotReady, quetzalroad.OutcomeUnknown, http.StatusBadGateway},
		{quetzalroad.ReasonNoUpstream, quetzalroad.OutcomeUnknown, http.StatusBadGateway},
		{quetzalroad.ReasonTimeout, quetzalroad.OutcomeUnknown, http.StatusGatewayTimeout},
	} {
		if got := refusalStatus(&quetzalroad.Refusal{Reason: c.reason, Outcome: c.outcome}); got != c.status {
			t.Errorf("%s with outcome %s: status %d, want %d", c.reason, c.outcome, got, c.status)
		}
	}
}

// The caller believes that its request runs once at most, and may send it again.
func TestIdempotencyKeyThatIsNoneIsRefused(t *testing.T) {
	for _, lines := range [][]string{{""}, {"", "a"}, {"a", ""}, {"a", "b"}} {
		x := &exchange{request: &http.Request{Header: http.Header{fieldIdempotencyKey: lines}}}
		if key, err := x.idempotencyKey(); err == nil {
			t.Errorf("%q is key %q", lines, key)
		}
	}
	for want, lines := range map[string][]string{"": nil, "a": {"a"}, "b": {"b", "b"}} {
		x := &exchange{request: &http.Request{Header: http.Header{fieldIdempotencyKey: lines}}}
		if key, err := x.idempotencyKey(); err != nil || key != want {
			t.Errorf("%q: key %q, error %v, want %q", lines, key, err, want)
		}
	}
}
