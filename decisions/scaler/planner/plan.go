package planner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// boostStep is the additional share of capacity for each time that requests stay late, maxBoost bounds it.
	boostStep = 0.15
	maxBoost  = 0.6
	// boostDecay is by how much it falls at a time once they are in time, boostDecays how often in the hold time.
	boostDecay  = 0.05
	boostDecays = 4
	// maxRepeats is the number of repetitions of an order after which missing upstreams are replaced elsewhere.
	maxRepeats = 2
	// maxDoublings bounds how often the wait between repetitions is doubled.
	maxDoublings = 3
)

// plan is a decision in the making.
type plan struct {
	policy Policy
	in     Input
	state  State
	groups []*group
	needs  Needs
	orders []Order
}

// group is the present state of a group and its order.
type group struct {
	Group
	GroupState
	// price is that of one upstream.
	price float64
	// ready counts the registered upstreams that don't drain.
	ready, draining int
	// booting counts the ordered ones that aren't registered yet.
	booting int
	// blocked reports whether none can be added now.
	blocked bool
	// pending reports whether the platform may not have accepted the order yet.
	pending bool
	// before is the count of the order in force before this plan.
	before int
	reason Reason
	// repeat requests the order again though its count is the same.
	repeat bool
}

// usable counts the upstreams that are ready and stay.
func (g *group) usable() int { return min(g.ready, g.Ordered) }

// expected counts the upstreams that are ready or will be within the boot time.
func (g *group) expected() int { return g.usable() + g.booting }

// Plan decides on the orders of a service, and returns the state for the next decision with the orders in force.
func (p Policy) Plan(in Input, s State) (State, Decision) {
	pl := &plan{policy: p, in: in, state: s}
	pl.observe()
	pl.adoptPresent()
	pl.state.Known = pl.state.Known || pl.isSettled() && pl.state.slots > 0
	pl.needs = p.needs(pl.state, len(in.Scaling.Prices), in.Scaling.Minimum)
	if pl.state.Known {
		// An order that is based on fewer upstreams than there are would remove the others.
		pl.repeatOrders()
		pl.raise()
	}
	if pl.mayReduce() {
		pl.reduce()
	}
	return pl.finish()
}

// observe takes the demand and the registered upstreams into the state.
func (pl *plan) observe() {
	slots, count := 0, 0
	ready, draining := make(map[Group]int), make(map[Group]int)
	for _, u := range pl.in.Upstreams {
		g := Group{DataCentre: u.DataCentre, Spot: u.Spot}
		if u.Draining {
			draining[g]++
			continue
		}
		ready[g]++
		slots, count = slots+u.MaxConcurrency, count+1
	}
	if count > 0 {
		pl.state.slots = float64(slots) / float64(count)
	}
	for _, price := range pl.in.Scaling.Prices {
		for _, spot := range []bool{true, false} {
			key := Group{DataCentre: price.DataCentre, Spot: spot}
			g := &group{Group: key, GroupState: pl.state.Groups[key], price: price.Price, ready: ready[key], draining: draining[key], pending: pl.in.Pending[key]}
			pl.observeGroup(g)
			pl.groups = append(pl.groups, g)
		}
	}
	if slices.ContainsFunc(pl.groups, func(g *group) bool { return g.pending && g.Ordered < g.ready }) {
		// Reductions that the platform accepts late would otherwise add up to a large step.
		pl.state.reducedAt = pl.in.Now
	}
	if d := pl.in.Demand; d != nil {
		pl.state.load = pl.state.load.add(pl.in.Now, *d, pl.policy.PeakHold)
		pl.observePressure()
	}
}

func (pl *plan) observeGroup(g *group) {
	if _, known := pl.state.Groups[g.Group]; !known {
		g.Ordered = g.ready
	}
	g.before = g.Ordered
	reclaimed := g.Spot && g.draining > 0
	g.blocked = reclaimed || pl.in.Now.Before(g.UnavailableUntil) || g.Spot && !pl.usesSpot()
	if g.ready >= g.Ordered {
		g.Repeats = 0
	}
	if !pl.isOverdue(g) && !g.blocked && g.Repeats < maxRepeats {
		g.booting = max(0, g.Ordered-g.ready-g.draining)
	}
}

func (pl *plan) usesSpot() bool {
	return pl.in.Scaling.SpotPrice > 0 && pl.in.Scaling.SpotPrice < 1
}

// isOverdue reports whether the upstreams of an order should be registered, or gone, by now.
func (pl *plan) isOverdue(g *group) bool {
	return !g.pending && pl.in.Now.Sub(g.OrderedAt) >= pl.in.Scaling.BootTime+pl.policy.BootMargin
}

// isRepeatDue reports whether an order that had no effect should be repeated. The wait grows with each repetition.
func (pl *plan) isRepeatDue(g *group) bool {
	doublings := min(max(g.Repeats-1, 0), maxDoublings)
	return !g.pending && pl.in.Now.Sub(g.OrderedAt) >= (pl.in.Scaling.BootTime+pl.policy.BootMargin)<<doublings
}

// observePressure adds capacity while requests are late or refused although all ordered upstreams serve.
func (pl *plan) observePressure() {
	s, now := &pl.state, pl.in.Now
	booting := slices.ContainsFunc(pl.groups, func(g *group) bool { return g.booting > 0 })
	switch {
	case s.IsLate(pl.policy):
		s.pressedAt = now
		if !booting && pl.isSettled() && now.Sub(s.boostedAt) >= pl.in.Scaling.BootTime+pl.policy.BootMargin {
			s.boost, s.boostedAt = min(s.boost+boostStep, maxBoost), now
		}
	case s.boost > 0 && now.Sub(s.pressedAt) >= pl.policy.PeakHold && now.Sub(s.boostedAt) >= pl.policy.PeakHold/boostDecays:
		s.boost, s.boostedAt = max(s.boost-boostDecay, 0), now
	}
}

func (pl *plan) isSettled() bool {
	return pl.in.Now.Sub(pl.state.Since) >= pl.policy.SettleTime
}

// adoptPresent takes upstreams beyond the orders for ordered ones. They may come from orders that aren't known, or
// that had no effect, and are given up in steps like any surplus.
func (pl *plan) adoptPresent() {
	for _, g := range pl.groups {
		switch {
		case g.ready <= g.Ordered:
			g.ExcessSince = time.Time{}
			continue
		case g.ExcessSince.IsZero():
			g.ExcessSince = pl.in.Now
		}
		// The registrations of upstreams that left or crashed remain for a while.
		persists := pl.isOverdue(g) && pl.in.Now.Sub(g.ExcessSince) >= pl.in.Scaling.BootTime+pl.policy.BootMargin
		if persists || !pl.state.Known {
			g.Ordered, g.before = g.ready, g.ready
		}
	}
}

// mayReduce reports whether upstreams can be given up without risk.
func (pl *plan) mayReduce() bool {
	s, now := pl.state, pl.in.Now
	return pl.in.Demand != nil && s.load.isKnown(now) && pl.isSettled() && s.slots > 0 &&
		!s.IsLate(pl.policy) && now.Sub(s.reducedAt) >= pl.policy.StepInterval
}

// repeatOrders repeats orders whose upstreams aren't there within the boot time.
func (pl *plan) repeatOrders() {
	for _, g := range pl.groups {
		missing := g.Ordered - g.ready - g.draining
		if missing <= 0 || g.blocked || !pl.isRepeatDue(g) {
			continue
		}
		g.Repeats++
		if g.Repeats < maxRepeats {
			g.booting = missing
		}
		g.reason, g.repeat = ReasonMissing, true
	}
}

// raise orders upstreams that are missing.
func (pl *plan) raise() {
	for _, g := range pl.groups {
		if !g.Spot && g.Ordered == 0 {
			pl.add(g, 1, ReasonBase)
		}
	}
	if pl.in.Demand != nil {
		pl.raiseForLoad()
	}
	for _, price := range pl.in.Scaling.Prices {
		pl.raiseToMinimum(price.DataCentre)
	}
}

// raiseToMinimum orders what a data centre lacks of its minimum, as spot upstreams where they are available.
func (pl *plan) raiseToMinimum(d quetzalroad.DataCentre) {
	inDataCentre := func(g *group) bool { return g.DataCentre == d }
	for pl.ordered(d) < pl.in.Scaling.Minimum {
		if !pl.addOne(true, ReasonMinimum, inDataCentre) && !pl.addOne(false, ReasonMinimum, inDataCentre) {
			return
		}
	}
}

func (pl *plan) raiseForLoad() {
	base, total := pl.needs.Base, pl.needs.Total
	if !pl.usesSpot() {
		base = total
	}
	if others := pl.sum(others, (*group).expected); float64(others) < float64(base)*(1-pl.policy.DeadBand) {
		pl.addAll(base-others, false, ReasonBase)
	}
	if pl.isShort(pl.sum(all, (*group).expected), total) {
		pl.addAll(total-pl.sum(all, (*group).expected), true, ReasonLoad)
		// Where no spot upstreams are available, others take their place.
		pl.addAll(total-pl.sum(all, (*group).expected), false, ReasonLoad)
	}
	for pl.surviving() < pl.needs.Surviving {
		if !pl.addOne(false, ReasonBase, others) {
			break
		}
	}
	surplus := pl.sum(others, (*group).usable) - base
	if spot := pl.sum(spots, (*group).expected); pl.exceedsDeadBand(surplus, base+surplus) && pl.isShort(spot, total-base) {
		pl.addAll(total-base-spot, true, ReasonReplacement)
	}
}

// isShort reports whether a count falls short of a need by more than the band for raising.
func (pl *plan) isShort(count, need int) bool {
	return float64(count) < float64(need)*(1-pl.policy.RaiseBand)
}

// exceedsDeadBand reports whether a surplus is large enough to be given up.
func (pl *plan) exceedsDeadBand(surplus, count int) bool {
	return surplus > 0 && float64(surplus) >= pl.policy.DeadBand*float64(count)
}

// surviving is the number of upstreams that remain if the data centre with the most spot upstreams loses them.
func (pl *plan) surviving() int {
	most := 0
	for _, g := range pl.groups {
		if g.Spot {
			most = max(most, g.expected())
		}
	}
	return pl.sum(all, (*group).expected) - most
}

func all(*group) bool      { return true }
func spots(g *group) bool  { return g.Spot }
func others(g *group) bool { return !g.Spot }

func (pl *plan) sum(match func(*group) bool, count func(*group) int) int {
	total := 0
	for _, g := range pl.groups {
		if match(g) {
			total += count(g)
		}
	}
	return total
}

// ordered counts the upstreams of both kinds ordered in a data centre.
func (pl *plan) ordered(d quetzalroad.DataCentre) int {
	return pl.sum(func(g *group) bool { return g.DataCentre == d }, func(g *group) int { return g.Ordered })
}

// addAll adds upstreams of one kind while it is possible.
func (pl *plan) addAll(count int, spot bool, reason Reason) {
	for range count {
		if !pl.addOne(spot, reason, all) {
			return
		}
	}
}

// addOne adds an upstream where there are few of its kind and it is cheap.
func (pl *plan) addOne(spot bool, reason Reason, match func(*group) bool) bool {
	best, lowest := (*group)(nil), math.Inf(1)
	for _, g := range pl.groups {
		if g.Spot != spot || !match(g) || !pl.hasRoom(g) {
			continue
		}
		if cost := float64(g.expected()+1) * g.price; cost < lowest {
			best, lowest = g, cost
		}
	}
	if best == nil {
		return false
	}
	pl.add(best, 1, reason)
	return true
}

func (pl *plan) hasRoom(g *group) bool {
	return !g.blocked && pl.ordered(g.DataCentre) < pl.in.Scaling.Maximum
}

func (pl *plan) add(g *group, count int, reason Reason) {
	if !pl.hasRoom(g) {
		return
	}
	// More may be there than ordered, after a restore of the log; an order to add upstreams must not remove those.
	g.Ordered = max(g.Ordered, g.ready) + count
	g.booting += count
	if g.reason == "" {
		g.reason = reason
	}
}

// finish returns the state with the new orders, and lists them.
func (pl *plan) finish() (State, Decision) {
	s := pl.state
	s.Groups = maps.Clone(s.Groups)
	for _, g := range pl.groups {
		if g.Ordered != g.before || g.repeat {
			pl.orders = append(pl.orders, Order{Group: g.Group, Count: g.Ordered, Previous: g.before, Reason: g.reason})
			g.OrderedAt = pl.in.Now
		}
		if g.Ordered != g.before {
			g.Repeats = 0
		}
		s.Groups[g.Group] = g.GroupState
	}
	slices.SortStableFunc(pl.orders, func(a, b Order) int { return cmp.Compare(b.Count-b.Previous, a.Count-a.Previous) })
	return s, Decision{Needs: pl.needs, Orders: pl.orders}
}
