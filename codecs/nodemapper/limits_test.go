package nodemapper

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
)

func TestLimitsRoundTrip(t *testing.T) {
	want := &quetzalroad.Observations{Limits: []quetzalroad.UpstreamLimit{
		{Upstream: "u", Limit: quetzalroad.RateLimit{PerSecond: 2.5, IsSet: true}, Age: 1500 * time.Millisecond}, {Upstream: "v", Age: time.Second},
	}}
	if diff := cmp.Diff(want, decodeObservations(encodeObservations(want))); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestImpossibleLimitsAreLeftOut(t *testing.T) {
	message := &peerwire.Observations{Limits: []*peerwire.UpstreamLimit{
		{Upstream: "a", PerSecond: math.NaN()}, {Upstream: "b", PerSecond: -1}, {Upstream: "c", PerSecond: math.Inf(1)}, {Upstream: "d", AgeUs: -1}, {Upstream: "e", AgeUs: math.MaxInt64},
	}}
	if diff := cmp.Diff(&quetzalroad.Observations{}, decodeObservations(message)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
