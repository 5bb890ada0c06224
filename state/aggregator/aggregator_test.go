package aggregator

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

func observations(short float64, latency, age time.Duration, occupancy int) quetzalroad.Observations {
	return quetzalroad.Observations{
		Mixes:     []quetzalroad.ServiceMix{{Service: "llm", ShortWork: short, LongWork: 2 * short, Requests: 1}},
		Upstreams: []quetzalroad.UpstreamObservation{{Upstream: "u", InterTokenLatency: latency, ReportAge: age, Occupancy: occupancy}},
	}
}

func TestSumLeavesOutTheAskingNode(t *testing.T) {
	var a Aggregator
	now := time.Unix(1000, 0)
	a.Update("n1", now, observations(1, time.Second, 1, 99))
	a.Update("n2", now, observations(10, 2*time.Second, 40*time.Millisecond, 7))
	a.Update("n3", now, observations(100, 4*time.Second, 1, 98))
	a.Update("n3", now, observations(30, 4*time.Second, 50*time.Millisecond, 5))
	want := quetzalroad.Observations{
		Mixes:     []quetzalroad.ServiceMix{{Service: "llm", ShortWork: 40, LongWork: 80, Requests: 2}},
		Upstreams: []quetzalroad.UpstreamObservation{{Upstream: "u", InterTokenLatency: 3 * time.Second, Occupancy: 7, ReportAge: 140 * time.Millisecond}},
	}
	if diff := cmp.Diff(want, a.Sum(now.Add(100*time.Millisecond), "n1")); diff != "" {
		t.Error(diff)
	}
}

// A node that has stopped must not count for longer than a burst lasts.
func TestOldObservationsDoNotCount(t *testing.T) {
	var a Aggregator
	now := time.Unix(1000, 0)
	a.Update("n1", now, observations(1, time.Second, 1, 1))
	if diff := cmp.Diff(quetzalroad.Observations{}, a.Sum(now.Add(lifetime+time.Millisecond), "")); diff != "" {
		t.Error(diff)
	}
}

func TestSumKeepsTheLatestLimit(t *testing.T) {
	now := time.Now()
	a := new(Aggregator)
	limit := func(perSecond float64, age time.Duration) quetzalroad.Observations {
		return quetzalroad.Observations{Limits: []quetzalroad.UpstreamLimit{{Upstream: "u", Limit: quetzalroad.RateLimit{PerSecond: perSecond, IsSet: true}, Age: age}}}
	}
	a.Update("early", now.Add(-time.Second), limit(1, 0))
	a.Update("late", now, limit(2, 500*time.Millisecond))
	want := []quetzalroad.UpstreamLimit{{Upstream: "u", Limit: quetzalroad.RateLimit{PerSecond: 2, IsSet: true}, Age: 500 * time.Millisecond}}
	if diff := cmp.Diff(want, a.Sum(now, "").Limits); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
