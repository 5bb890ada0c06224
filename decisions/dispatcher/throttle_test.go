package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

func stated(perSecond float64) *quetzalroad.RateLimit {
	return &quetzalroad.RateLimit{PerSecond: perSecond, IsSet: true}
}

func TestForwardRefusesRequestBeyondAllRateLimitsAsNotRun(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return &faker.ScriptedResponse{RateLimit: stated(0.5)}, nil
		}
		const requests = 100
		var refused int
		for range requests {
			_, refusal := x.forward(t.Context(), newForwardRequest("once"))
			if refusal == nil {
				continue
			}
			refused++
			if refusal.Reason != quetzalroad.ReasonUpstreamRateLimit || refusal.Outcome != quetzalroad.OutcomeNotRun || refusal.RetryAfter <= 0 {
				t.Fatalf("refusal %+v", refusal)
			}
		}
		// Each upstream may have saved up a few requests.
		if sent := len(x.Sent()); sent != requests-refused || refused < requests/2 {
			t.Errorf("%d sent, %d refused", sent, refused)
		}
	})
}

// A retry counts like any other request.
func TestForwardRetriesWithinRateLimits(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		for _, u := range x.node.Directory.Upstreams() {
			x.node.Throttler.UpdateLimit(time.Now(), u.Name, *stated(0))
		}
		time.Sleep(5 * time.Second)
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return nil, connectionLostError(a)
		}
		for range 10 {
			x.forward(t.Context(), newForwardRequest("safe"))
		}
		counts := make(map[quetzalroad.UpstreamName]int)
		for _, a := range x.Sent() {
			counts[a.Upstream.Name]++
		}
		for u, count := range counts {
			if count > 5 {
				t.Errorf("%s got %d requests at once at a limit of nought", u, count)
			}
		}
	})
}

func TestForwardUsesUpstreamsWithoutLimit(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		limited := x.node.Directory.Upstreams()[0].Name
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			if a.Upstream.Name == limited {
				return &faker.ScriptedResponse{RateLimit: stated(1)}, nil
			}
			return &faker.ScriptedResponse{RateLimit: &quetzalroad.RateLimit{}}, nil
		}
		for range 100 {
			if _, refusal := x.forward(t.Context(), newForwardRequest("once")); refusal != nil {
				t.Fatal(refusal)
			}
		}
	})
}
