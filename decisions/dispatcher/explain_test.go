package dispatcher_test

import (
	"expvar"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// explain returns the explanation of a request to the fixture's service.
func (x *forwardFixture) explain() quetzalroad.RouteExplanation {
	service, _ := x.node.Directory.Service("service")
	return x.node.RouteExplainer.ExplainRoute(time.Now(), &quetzalroad.Request{Service: service})
}

// counters returns the node's metrics, except those of the whole process.
func (x *forwardFixture) counters() map[string]string {
	all := make(map[string]string)
	x.node.Vars.Do(func(kv expvar.KeyValue) {
		if !strings.HasPrefix(kv.Key, "process-") {
			all[kv.Key] = kv.Value.String()
		}
	})
	return all
}

// An explanation that disagrees with the forwarder misleads the operator.
func TestRequestGoesWhereTheExplanationSays(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		names := x.node.Directory.Upstreams()
		for i := range 60 {
			// Loads and limits that change from request to request.
			x.node.LoadTracker.BeginAttempt(names[i%2].Name, time.Now())
			if i%20 == 10 {
				x.node.Throttler.Pause(time.Now(), names[2].Name, 5*time.Second)
			}
			can := make(map[quetzalroad.UpstreamName]bool)
			for _, u := range x.explain().Upstreams {
				can[u.Upstream.Name] = u.CanBeChosen
			}
			before := len(x.Sent())
			x.forward(t.Context(), newForwardRequest("once"))
			if sent := x.Sent(); len(sent) != before+1 || !can[sent[before].Upstream.Name] {
				t.Fatalf("request %d: %d sent; explained as possible: %v", i, len(sent)-before, can)
			}
			time.Sleep(time.Second)
		}
	})
}

// Operators ask during an incident, when each part of a rate limit counts.
func TestExplanationTakesAndRecordsNothing(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		for _, u := range x.node.Directory.Upstreams() {
			x.node.Throttler.UpdateLimit(time.Now(), u.Name, *stated(1))
		}
		observe := func() []any {
			state := []any{x.counters(), x.node.LoadTracker.LocalLoads(time.Now()), x.node.InFlight(), x.node.MixTracker.LocalMix(time.Now())}
			for _, u := range x.node.Directory.Upstreams() {
				state = append(state, x.node.Throttler.State(time.Now(), u.Name), x.node.LoadTracker.Estimate(u.Name, time.Now()))
			}
			return state
		}
		before := observe()
		for range 20 {
			x.explain()
		}
		if diff := cmp.Diff(before, observe()); diff != "" {
			t.Errorf("the explanation changed (-before +after):\n%s", diff)
		}
		if sent := len(x.Sent()); sent > 0 {
			t.Errorf("%d requests were sent", sent)
		}
	})
}

// An upstream that is missing from the answer looks like one that the node doesn't know.
func TestExplanationSaysWhyUpstreamsAreNoCandidates(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		names := x.node.Directory.Upstreams()
		x.node.DrainMarker.MarkDraining(names[0].Name)
		x.node.LoadTracker.SetLeaving(names[1].Name, true)
		time.Sleep(time.Second)
		got := make(map[quetzalroad.UpstreamName]quetzalroad.ExclusionReason)
		explained := x.explain()
		for _, u := range explained.Upstreams {
			got[u.Upstream.Name] = u.Excluded
		}
		want := map[quetzalroad.UpstreamName]quetzalroad.ExclusionReason{
			names[0].Name: quetzalroad.ExcludedDraining, names[1].Name: quetzalroad.ExcludedLeaving, names[2].Name: "",
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		if explained.Chosen != names[2].Name || explained.StateVersion != 1 || explained.StateAge <= 0 {
			t.Errorf("chosen %s, state version %d of age %s", explained.Chosen, explained.StateVersion, explained.StateAge)
		}
		x.node.Throttler.Pause(time.Now(), names[2].Name, time.Minute)
		if chosen := x.explain().Chosen; chosen != "" {
			t.Errorf("the request is explained to go to %s, which asked for a pause", chosen)
		}
	})
}
