package explanationmapper

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// A field that one direction forgets would be missing from the operator's table.
func TestAnswerSurvivesTheWire(t *testing.T) {
	want := Answer{Node: "n1", NotReadyReason: "stopping", Services: []quetzalroad.RouteExplanation{{
		Service: "llm", Share: 0.5, Chosen: "u1", Unit: quetzalroad.CostUnitLoad, Draws: 200, Explained: true,
		StateVersion: 7, StateAge: 1500 * time.Millisecond, StateIsFresh: true, AppliedOffset: 9,
		Upstreams: []quetzalroad.UpstreamExplanation{{
			CandidateCost: quetzalroad.CandidateCost{
				Upstream: quetzalroad.Upstream{Name: "u1", DataCentre: "d", Region: "r", MaxConcurrency: 8, Spot: true}, Pool: quetzalroad.PoolLong,
				IsPrefixOwner: true, Items: []quetzalroad.CostItem{{Part: quetzalroad.CostLoad, Value: 0.5}}, Spread: 0.25, CanBeChosen: true, Chance: 0.75,
			},
			Throttle: quetzalroad.ThrottleSpare,
			Load: quetzalroad.LoadEstimate{
				Running: 4, LocalRunning: 1, PeerRunning: 2, ReportingPeers: 3, InterTokenLatency: 20 * time.Millisecond, ReportAge: time.Second, Occupancy: 5, Suspect: true, Leaving: true,
			},
		}, {
			CandidateCost: quetzalroad.CandidateCost{Upstream: quetzalroad.Upstream{Name: "u2"}}, Excluded: quetzalroad.ExcludedDraining,
		}},
	}}}
	data, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestMalformedAnswersAreErrors(t *testing.T) {
	for _, text := range []string{
		`[`,
		`{"services":[{"state-age":"old"}]}`,
		`{"services":[{"upstreams":[{"rate-limit":"odd"}]}]}`,
		`{"services":[{"upstreams":[{"rate-limit":"none","load":{"report-age":"old"}}]}]}`,
	} {
		if _, err := Decode([]byte(text)); err == nil {
			t.Errorf("%s was decoded", text)
		}
	}
}
