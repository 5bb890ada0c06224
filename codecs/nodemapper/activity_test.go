package nodemapper

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
)

func TestActivityRoundTrip(t *testing.T) {
	want := &quetzalroad.Observations{
		Usage: []quetzalroad.NodeUsage{{
			Node: "n", StartedAt: time.UnixMicro(1_700_000_000_123_456).UTC(), Window: 353445120, Teams: []quetzalroad.TeamUsage{{Team: "a", Requests: 3}, {Team: "b", Requests: 1}},
		}},
		Demand: []quetzalroad.ServiceActivity{{Service: "s", Requests: 2.5, InFlight: 7, Late: 0.5, Refused: 1}},
	}
	if diff := cmp.Diff(want, decodeObservations(encodeObservations(want))); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// Figures that can't be would be reported to the platform, or would order upstreams.
func TestImpossibleActivityIsLeftOut(t *testing.T) {
	message := &peerwire.Observations{
		Usage: []*peerwire.NodeUsage{{Window: 1}, {Node: "n", Window: -1}, {Node: "n", Teams: []string{"a"}}},
		Demand: []*peerwire.ServiceActivity{
			{Service: "a", Requests: math.NaN()}, {Service: "b", Late: -1}, {Service: "c", Refused: math.Inf(1)}, {Service: "d", InFlight: math.MaxUint32},
		},
	}
	if diff := cmp.Diff(&quetzalroad.Observations{}, decodeObservations(message)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// Nodes without the slots must not pay for them.
func TestNoActivityTakesNoBytes(t *testing.T) {
	if size := proto.Size(encodeObservations(&quetzalroad.Observations{})); size != 0 {
		t.Errorf("%d bytes", size)
	}
}
