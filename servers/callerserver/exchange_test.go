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
