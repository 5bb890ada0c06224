package dispatcher

import (
	"slices"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// ExplainRoute implements quetzalroad.RouteExplainer.
func (d *Dispatcher) ExplainRoute(now time.Time, r *quetzalroad.Request) quetzalroad.RouteExplanation {
	n := d.node
	x := quetzalroad.RouteExplanation{Service: r.Service.Name, Share: 1, AppliedOffset: n.Directory.AppliedOffset()}
	if n.Freshness != nil {
		x.StateVersion, x.StateAge, x.StateIsFresh = n.Freshness.Version(), n.Freshness.Age(), n.Freshness.IsFresh()
	}
	candidates := d.findCandidates(now, r, reservation{}, nil)
	for _, c := range d.explainChoice(now, r, candidates, &x) {
		x.Upstreams = append(x.Upstreams, d.explainUpstream(now, c, ""))
	}
	for _, u := range n.Directory.UpstreamsOf(r.Service.Name) {
		if !slices.ContainsFunc(candidates, func(c quetzalroad.Upstream) bool { return c.Name == u.Name }) {
			x.Upstreams = append(x.Upstreams, d.explainUpstream(now, quetzalroad.CandidateCost{Upstream: u}, d.exclusionReason(now, u)))
		}
	}
	x.Chosen = mostChosen(x.Upstreams)
	return x
}

func (d *Dispatcher) explainUpstream(now time.Time, c quetzalroad.CandidateCost, excluded quetzalroad.ExclusionReason) quetzalroad.UpstreamExplanation {
	n := d.node
	return quetzalroad.UpstreamExplanation{
		CandidateCost: c, Excluded: excluded, Throttle: n.Throttler.State(now, c.Upstream.Name), Load: n.LoadTracker.Estimate(c.Upstream.Name, now),
	}
}

// explainChoice explains the steps of acquireUpstream: a choice among all candidates and, if that yields an
// exhausted one, a second choice without those.
func (d *Dispatcher) explainChoice(now time.Time, r *quetzalroad.Request, candidates []quetzalroad.Upstream, x *quetzalroad.RouteExplanation) []quetzalroad.CandidateCost {
	explainer, ok := d.node.Balancer.(quetzalroad.ChoiceExplainer)
	if !ok || len(candidates) == 0 {
		return withoutCosts(candidates)
	}
	first := explainer.ExplainChoice(now, r, candidates)
	x.Explained, x.Unit, x.Draws = true, first.Unit, first.Draws
	usable := d.withoutExhausted(now, candidates)
	if len(usable) == len(candidates) {
		return first.Candidates
	}
	second := quetzalroad.ChoiceExplanation{}
	if len(usable) > 0 {
		second = explainer.ExplainChoice(now, r, usable)
	}
	return combineChoices(first.Candidates, second.Candidates)
}

func withoutCosts(candidates []quetzalroad.Upstream) []quetzalroad.CandidateCost {
	var list []quetzalroad.CandidateCost
	for _, u := range candidates {
		list = append(list, quetzalroad.CandidateCost{Upstream: u})
	}
	return list
}

// combineChoices passes the chance of the candidates that are missing from second on to those in it.
func combineChoices(first, second []quetzalroad.CandidateCost) []quetzalroad.CandidateCost {
	secondByName := make(map[quetzalroad.UpstreamName]quetzalroad.CandidateCost)
	for _, c := range second {
		secondByName[c.Upstream.Name] = c
	}
	lost, mayBeLost := 0.0, false
	for i := range first {
		c := &first[i]
		if _, ok := secondByName[c.Upstream.Name]; !ok {
			lost += c.Chance
			mayBeLost = mayBeLost || c.CanBeChosen
			c.Chance, c.CanBeChosen = 0, false
		}
	}
	for i := range first {
		c := &first[i]
		again := secondByName[c.Upstream.Name]
		c.Chance += lost * again.Chance
		c.CanBeChosen = c.CanBeChosen || (mayBeLost && again.CanBeChosen)
	}
	return first
}

// exclusionReason returns why the capacity estimator leaves an upstream out.
func (d *Dispatcher) exclusionReason(now time.Time, u quetzalroad.Upstream) quetzalroad.ExclusionReason {
	e := d.node.LoadTracker.Estimate(u.Name, now)
	switch {
	case u.Draining || d.node.Drainer != nil && d.node.Drainer.HasPendingDrain(u.Name):
		return quetzalroad.ExcludedDraining
	case e.Leaving:
		return quetzalroad.ExcludedLeaving
	case e.Suspect:
		return quetzalroad.ExcludedSuspect
	}
	return quetzalroad.ExcludedDistant
}

// mostChosen returns the upstream with the highest chance; empty if none has any.
func mostChosen(upstreams []quetzalroad.UpstreamExplanation) quetzalroad.UpstreamName {
	name, highest := quetzalroad.UpstreamName(""), 0.0
	for _, u := range upstreams {
		if u.Chance > highest {
			name, highest = u.Upstream.Name, u.Chance
		}
	}
	return name
}
