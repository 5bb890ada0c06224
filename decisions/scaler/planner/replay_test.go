package planner

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

const (
	usualLoad    = 325.0
	slots        = 16
	perSite      = 15
	targetShare  = 0.6
	tick         = time.Second
	replayLength = 10 * time.Minute
)

var replayScaling = quetzalroad.Scaling{
	Minimum: 1, Maximum: 30, BootTime: 4 * time.Second, SpotPrice: 0.18,
	Prices: []quetzalroad.DataCentrePrice{
		{DataCentre: "a", Price: 0.85},
		{DataCentre: "b", Price: 0.9},
		{DataCentre: "c", Price: 1},
		{DataCentre: "d", Price: 1},
		{DataCentre: "e", Price: 1.1},
		{DataCentre: "f", Price: 1.2},
	},
}

// shape is the load at a time, relative to the usual one, and what happens to upstreams.
type shape struct {
	load    func(at time.Duration) float64
	disturb func(at time.Duration, f *fleet)
}

func wave(share float64, period time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return 1 + share*math.Sin(2*math.Pi*at.Seconds()/period.Seconds()) }
}

func steady(time.Duration) float64 { return 1 }

var shapes = map[string]shape{
	"steady":      {load: steady},
	"wave of 27%": {load: wave(0.27, 90*time.Second)},
	"wave of 55%": {load: wave(0.55, 3*time.Minute)},
	"bursts of 1.7": {load: func(at time.Duration) float64 {
		if at%(100*time.Second) >= 97*time.Second {
			return 1.7
		}
		return 1
	}},
	"ramp to three times": {load: func(at time.Duration) float64 {
		return 1 + 2*min(max((at-4*time.Minute).Seconds()/60, 0), 1)
	}},
	"evening decline": {load: func(at time.Duration) float64 { return 1 - 0.8*at.Seconds()/replayLength.Seconds() }},
	"loss of a sixth": {load: steady, disturb: func(at time.Duration, f *fleet) {
		if at == 5*time.Minute {
			f.lose(func(i int, _ *unit) bool { return i%6 == 0 })
		}
	}},
	"reclaim of a data centre": {load: steady, disturb: func(at time.Duration, f *fleet) {
		if at == 5*time.Minute {
			f.lose(func(_ int, u *unit) bool { return u.Spot && u.DataCentre == "a" })
			f.unavailable = map[Group]time.Duration{{DataCentre: "a", Spot: true}: at + time.Minute}
		}
	}},
}

// unit is one upstream of the capacity model.
type unit struct {
	Group
	readyAt time.Duration
}

// fleet is a model of the platform: upstreams serve after the boot time and are charged from the order on.
type fleet struct {
	units       []*unit
	unavailable map[Group]time.Duration
}

func newFleet() *fleet {
	f := new(fleet)
	for _, p := range replayScaling.Prices {
		f.order(-time.Minute, Group{DataCentre: p.DataCentre}, perSite)
	}
	return f
}

func (f *fleet) lose(match func(i int, u *unit) bool) {
	var left []*unit
	for i, u := range f.units {
		if !match(i, u) {
			left = append(left, u)
		}
	}
	f.units = left
}

// order reports whether the platform has the upstreams.
func (f *fleet) order(at time.Duration, g Group, count int) bool {
	present := 0
	f.lose(func(_ int, u *unit) bool {
		if u.Group == g {
			present++
		}
		return u.Group == g && present > count
	})
	if until, ok := f.unavailable[g]; ok && present < count && at < until {
		return false
	}
	for range count - present {
		f.units = append(f.units, &unit{Group: g, readyAt: at + replayScaling.BootTime})
	}
	return true
}

func (f *fleet) registered(at time.Duration) []quetzalroad.Upstream {
	var upstreams []quetzalroad.Upstream
	for _, u := range f.units {
		if at >= u.readyAt {
			upstreams = append(upstreams, quetzalroad.Upstream{DataCentre: u.DataCentre, Spot: u.Spot, MaxConcurrency: slots})
		}
	}
	return upstreams
}

func (f *fleet) price() float64 {
	sum := 0.0
	for _, u := range f.units {
		for _, p := range replayScaling.Prices {
			if p.DataCentre == u.DataCentre && u.Spot {
				sum += p.Price * replayScaling.SpotPrice
			} else if p.DataCentre == u.DataCentre {
				sum += p.Price
			}
		}
	}
	return sum
}

// control orders upstreams, given the demand.
type control func(at time.Duration, d Demand, f *fleet)

func keepAll(time.Duration, Demand, *fleet) {}

// proportional keeps upstreams in proportion to the present load.
func proportional(at time.Duration, d Demand, f *fleet) {
	each := int(math.Ceil(d.Running / (targetShare * slots) / float64(len(replayScaling.Prices))))
	for _, p := range replayScaling.Prices {
		f.order(at, Group{DataCentre: p.DataCentre}, min(max(each, replayScaling.Minimum), replayScaling.Maximum))
	}
}

// planned is control by the policy. It checks the bounds of each decision.
func planned(t *testing.T) control {
	policy, start := DefaultPolicy(), time.Unix(0, 0)
	state, reducedAt := NewState(start, nil), -time.Hour
	return func(at time.Duration, d Demand, f *fleet) {
		now, registered := start.Add(at), f.registered(at)
		var decision Decision
		state, decision = policy.Plan(Input{Now: now, Scaling: replayScaling, Upstreams: registered, Demand: &d}, state)
		removed := 0
		for _, o := range decision.Orders {
			t.Logf("%s: %s spot %v: %d to %d, %s", at, o.DataCentre, o.Spot, o.Previous, o.Count, o.Reason)
			removed += max(0, o.Previous-o.Count)
			if !f.order(at, o.Group, o.Count) {
				state = state.MarkUnavailable(o.Group, o.Previous, now.Add(10*time.Second))
			}
		}
		if removed > 0 {
			if at-reducedAt < policy.StepInterval || at < policy.SettleTime || d.Late > 0 || float64(removed) > policy.StepShare*float64(len(registered)) {
				t.Errorf("%s: gave up %d of %d upstreams, %s after the last ones, %.0f requests late", at, removed, len(registered), at-reducedAt, d.Late)
			}
			reducedAt = at
		}
		for _, p := range replayScaling.Prices {
			spot, other := state.Groups[Group{DataCentre: p.DataCentre, Spot: true}].Ordered, state.Groups[Group{DataCentre: p.DataCentre}].Ordered
			if other < 1 || spot < 0 || spot+other < replayScaling.Minimum || spot+other > replayScaling.Maximum {
				t.Errorf("%s: %d spot and %d other upstreams in %s", at, spot, other, p.DataCentre)
			}
		}
	}
}

// result is the outcome of a replay.
type result struct {
	// upstreamSeconds are weighted by price. short is the share of time in which the load exceeds the occupancy at
	// which targets are met.
	upstreamSeconds, short float64
}

func replay(s shape, c control) result {
	f, random := newFleet(), rand.New(rand.NewPCG(1, 2))
	var r result
	for at := time.Duration(0); at < replayLength; at += tick {
		if s.disturb != nil {
			s.disturb(at, f)
		}
		load := s.load(at) * usualLoad
		load += random.NormFloat64() * math.Sqrt(load)
		d := Demand{Running: load, Requests: load * 1.75}
		if capacity := targetShare * slots * float64(len(f.registered(at))); load > capacity {
			r.short += float64(tick) / float64(replayLength)
			d.Late = d.Requests * (1 - capacity/load)
		}
		c(at, d, f)
		r.upstreamSeconds += f.price() * tick.Seconds()
	}
	return r
}

// The policy must cost less than keeping all upstreams, without capacity being short where theirs isn't; and must
// not be short as often as control in proportion to the load, which has no reserve while new upstreams boot.
func TestPolicySavesUpstreamSecondsWithoutShortage(t *testing.T) {
	for name, s := range shapes {
		t.Run(name, func(t *testing.T) {
			all, proportional, policy := replay(s, keepAll), replay(s, proportional), replay(s, planned(t))
			t.Logf("upstream seconds and share of time short: all kept %.0f, %.4f; proportional %.0f, %.4f; policy %.0f, %.4f",
				all.upstreamSeconds, all.short, proportional.upstreamSeconds, proportional.short, policy.upstreamSeconds, policy.short)
			if policy.upstreamSeconds >= all.upstreamSeconds {
				t.Error("the policy costs as much as keeping all upstreams")
			}
			if policy.short > min(all.short, proportional.short) {
				t.Error("capacity is short for longer than with the other controls")
			}
		})
	}
}
