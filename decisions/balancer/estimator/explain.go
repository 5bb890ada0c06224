package estimator

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// trialDraws is the number of draws from which chances are estimated.
const trialDraws = 200

// rehearsal returns an estimator with the same settings and usual latency of a service. Choices made with it leave e
// as it is. They differ from those of e only by their random numbers.
func (e *Estimator) rehearsal(service quetzalroad.ServiceName) *Estimator {
	r := &Estimator{settings: e.settings}
	r.latencies.Observe(service, e.latencies.Median(service))
	return r
}

// ExplainChoice implements quetzalroad.ChoiceExplainer. The draws come from Choose, run on copies of its state. A
// request is drawn among all that it may use, unless its prefix decides.
func (e *Estimator) ExplainChoice(now time.Time, r *quetzalroad.Request, candidates []quetzalroad.Upstream) quetzalroad.ChoiceExplanation {
	base := e.rehearsal(r.Service.Name)
	chosen := make(map[quetzalroad.UpstreamName]int)
	for range trialDraws {
		chosen[base.rehearsal(r.Service.Name).Choose(now, r, candidates).Name]++
	}
	medianLatency := base.latencies.Median(r.Service.Name)
	low, high := base.eligibleRange(r, len(candidates))
	owner, hasOwner := base.prefixUpstream(now, r, candidates[low:high], medianLatency)
	x := quetzalroad.ChoiceExplanation{Unit: quetzalroad.CostUnitLoad, Draws: trialDraws}
	for i, u := range candidates {
		c := quetzalroad.CandidateCost{Upstream: u, IsPrefixOwner: hasOwner && u.Name == owner.Name}
		c.Items = base.costParts(base.loadTracker.Estimate(u.Name, now), u, medianLatency).items()
		if i < low || i >= high {
			c.Pool = quetzalroad.PoolReserved
		}
		c.CanBeChosen = low <= i && i < high && (!hasOwner || c.IsPrefixOwner)
		c.Chance = float64(chosen[u.Name]) / trialDraws
		x.Candidates = append(x.Candidates, c)
	}
	return x
}

// items returns the parts that are not zero.
func (p costParts) items() []quetzalroad.CostItem {
	var items []quetzalroad.CostItem
	for _, i := range []quetzalroad.CostItem{
		{Part: quetzalroad.CostLoad, Value: p.load},
		{Part: quetzalroad.CostOverload, Value: p.overload},
		{Part: quetzalroad.CostSlowness, Value: p.slowness},
		{Part: quetzalroad.CostSuspect, Value: p.suspect},
	} {
		if i.Value != 0 {
			items = append(items, i)
		}
	}
	return items
}
