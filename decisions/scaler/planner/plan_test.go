package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// fleetOf counts the upstreams of each data centre by kind.
type fleetOf struct {
	spot, other [3]int
	// drainingSpot of the spot upstreams of the first data centre drain.
	drainingSpot int
}

func (f fleetOf) orders() map[Group]int {
	orders := make(map[Group]int)
	for i, d := range []quetzalroad.DataCentre{"a", "b", "c"} {
		orders[Group{DataCentre: d, Spot: true}], orders[Group{DataCentre: d}] = f.spot[i], f.other[i]
	}
	return orders
}

func (f fleetOf) upstreams() []quetzalroad.Upstream {
	var upstreams []quetzalroad.Upstream
	for g, count := range f.orders() {
		for i := range count {
			draining := g.Spot && g.DataCentre == "a" && i < f.drainingSpot
			upstreams = append(upstreams, quetzalroad.Upstream{DataCentre: g.DataCentre, Spot: g.Spot, MaxConcurrency: slots, Draining: draining})
		}
	}
	return upstreams
}

// totals sums the orders of a decision by the reason.
func totals(d Decision) map[Reason]int {
	sums := make(map[Reason]int)
	for _, o := range d.Orders {
		sums[o.Reason] += o.Count - o.Previous
	}
	return sums
}

// Upstreams that leave or are missing are no capacity, and those that were only ordered are none yet. The load calls
// for 20 upstreams.
func TestPlanCountsOnlyUpstreamsThatServe(t *testing.T) {
	replaceable := fleetOf{spot: [3]int{5, 5, 5}, other: [3]int{7, 7, 7}}
	calm := fleetOf{spot: [3]int{5, 5, 5}, other: [3]int{2, 2, 1}}
	for name, c := range map[string]struct {
		ordered, present fleetOf
		after            time.Duration
		lateShare        float64
		noDemand         bool
		want             map[Reason]int
	}{
		"draining spot upstreams are replaced elsewhere": {ordered: calm, present: fleetOf{calm.spot, calm.other, 5}, after: time.Minute, want: map[Reason]int{ReasonLoad: 5}},
		"crashed upstreams are ordered again":            {ordered: calm, present: fleetOf{spot: [3]int{5, 4, 5}, other: calm.other}, after: time.Minute, want: map[Reason]int{ReasonMissing: 0}},
		"booting upstreams are not ordered again":        {ordered: calm, present: fleetOf{spot: [3]int{5, 0, 5}, other: calm.other}, after: 5 * time.Second, want: map[Reason]int{}},
		"others stay while spot upstreams boot":          {ordered: replaceable, present: fleetOf{other: replaceable.other}, after: 5 * time.Second, want: map[Reason]int{}},
		"others go once spot upstreams serve":            {ordered: replaceable, present: replaceable, after: time.Minute, want: map[Reason]int{ReasonReplaced: -7}},
		"none go in the first seconds":                   {ordered: replaceable, present: replaceable, after: 5 * time.Second, want: map[Reason]int{}},
		"more come while requests are late":              {ordered: replaceable, present: replaceable, after: time.Minute, lateShare: 0.1, want: map[Reason]int{ReasonReplacement: 3}},
		"none go before the load was seen for a while":   {ordered: replaceable, present: replaceable, after: 4 * time.Second, want: map[Reason]int{}},
		"none go while the demand is unknown":            {ordered: replaceable, present: replaceable, after: time.Minute, noDemand: true, want: map[Reason]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			start, policy := time.Unix(0, 0), DefaultPolicy()
			in := Input{Now: start.Add(c.after), Upstreams: c.present.upstreams(), Scaling: quetzalroad.Scaling{
				Minimum: 1, Maximum: 30, BootTime: 4 * time.Second, SpotPrice: 0.2,
				Prices: []quetzalroad.DataCentrePrice{{DataCentre: "a", Price: 1}, {DataCentre: "b", Price: 1}, {DataCentre: "c", Price: 1}},
			}}
			if !c.noDemand {
				in.Demand = &Demand{Running: 20 * slots * policy.TargetOccupancy / policy.Burst, Requests: 100, Late: 100 * c.lateShare}
			}
			state := NewState(start, c.ordered.orders())
			if in.Demand != nil {
				state.load = state.load.add(start, *in.Demand, policy.PeakHold)
			}
			_, decision := policy.Plan(in, state)
			if diff := cmp.Diff(c.want, totals(decision)); diff != "" {
				t.Errorf("orders (-want +got):\n%s\n%+v", diff, decision)
			}
		})
	}
}

// After a restore of the log the order in force may be older than what is there. An order to add upstreams must not
// give others up.
func TestOrdersThatAddUpstreamsRemoveNone(t *testing.T) {
	start, policy := time.Unix(0, 0), DefaultPolicy()
	ordered, present := fleetOf{spot: [3]int{2, 2, 2}, other: [3]int{2, 2, 1}}, fleetOf{spot: [3]int{6, 2, 2}, other: [3]int{2, 2, 1}}
	in := Input{Now: start.Add(time.Second), Upstreams: present.upstreams(), Demand: &Demand{Running: 500, Requests: 100}, Scaling: quetzalroad.Scaling{
		Minimum: 1, Maximum: 30, BootTime: 4 * time.Second, SpotPrice: 0.2,
		Prices: []quetzalroad.DataCentrePrice{{DataCentre: "a", Price: 1}, {DataCentre: "b", Price: 1}, {DataCentre: "c", Price: 1}},
	}}
	_, decision := policy.Plan(in, NewState(start, ordered.orders()))
	for _, o := range decision.Orders {
		if there := present.orders()[o.Group]; o.Count < there {
			t.Errorf("%+v although %d are there", o, there)
		}
	}
	if len(decision.Orders) == 0 {
		t.Error("no orders for a load that needs more")
	}
}
