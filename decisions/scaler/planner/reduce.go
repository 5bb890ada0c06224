package planner

import "math"

// reduce gives up upstreams that aren't needed, a bounded share at a time. Those other than spot ones go first, as
// they cost more.
func (pl *plan) reduce() {
	ready := pl.sum(all, (*group).usable)
	step := max(1, int(pl.policy.StepShare*float64(ready)))
	base := pl.needs.Base
	if !pl.usesSpot() {
		base = pl.needs.Total
	}
	count := pl.sum(others, (*group).usable)
	if surplus := count - base; pl.exceedsDeadBand(surplus, count) {
		pl.removeAll(min(step, surplus, ready-pl.needs.Total), others, ReasonReplaced)
		return
	}
	if surplus := ready - pl.needs.Total; pl.exceedsDeadBand(surplus, ready) && pl.hasFullHistory() {
		pl.removeAll(min(step, surplus), spots, ReasonSurplus)
	}
}

// hasFullHistory reports whether the load has been observed for as long as peaks count.
func (pl *plan) hasFullHistory() bool {
	return pl.in.Now.Sub(pl.state.Since) >= pl.policy.PeakHold
}

// removeAll gives up upstreams where there are many of their kind and they are expensive.
func (pl *plan) removeAll(count int, match func(*group) bool, reason Reason) {
	for range count {
		best, highest := (*group)(nil), math.Inf(-1)
		for _, g := range pl.groups {
			if cost := float64(g.Ordered) * g.price; match(g) && pl.mayRemove(g) && cost > highest {
				best, highest = g, cost
			}
		}
		if best == nil {
			return
		}
		best.Ordered--
		best.reason = reason
		pl.state.reducedAt = pl.in.Now
	}
}

// mayRemove reports whether a group can do without an upstream: each data centre keeps its minimum, and one that
// can't be reclaimed.
func (pl *plan) mayRemove(g *group) bool {
	if g.Ordered == 0 || g.ready < g.Ordered {
		return false
	}
	if !g.Spot && g.Ordered == 1 {
		return false
	}
	return pl.ordered(g.DataCentre) > pl.in.Scaling.Minimum && pl.surviving() > pl.needs.Surviving
}
