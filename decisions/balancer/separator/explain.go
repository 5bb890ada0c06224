package separator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// trialDraws is the number of draws from which chances are estimated.
const trialDraws = 200

// rehearsal returns a separator with the same settings and a copy of what s knows of a service. Choices made with
// it leave s as it is. They differ from those of s only by their random numbers.
func (s *Separator) rehearsal(service quetzalroad.ServiceName) *Separator {
	r := s.withoutLatencies(service)
	for _, long := range []bool{false, true} {
		r.latencies(long).Observe(service, s.latencies(long).Median(service))
	}
	return r
}

// withoutLatencies returns a rehearsal that knows no usual latencies.
func (s *Separator) withoutLatencies(service quetzalroad.ServiceName) *Separator {
	r := &Separator{settings: s.settings}
	if known, ok := s.copyPartition(service); ok {
		r.withPartition(service, func(p *partition) { *p = known })
	}
	return r
}

// copyPartition returns a copy of the partition of a service if there is one.
func (s *Separator) copyPartition(service quetzalroad.ServiceName) (partition, bool) {
	sh := &s.shards[xxhash.Sum64String(string(service))%partitionShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	p, ok := sh.partitions[service]
	if !ok {
		return partition{}, false
	}
	return *p, true
}

// orderEngines brings the order of the engines up to date, so that the copies of s needn't.
func (s *Separator) orderEngines(now time.Time, r *quetzalroad.Request, candidates []quetzalroad.Upstream) {
	if r.Model == "" || len(candidates) == 1 {
		return
	}
	if s.hasLimits() {
		candidates, _ = s.splitLimited(now, candidates)
	}
	s.withPartition(r.Service.Name, func(p *partition) { p.reorder(candidates) })
}

// ExplainChoice implements quetzalroad.ChoiceExplainer. The draws and the costs come from the code of Choose, run on
// copies of its state.
func (s *Separator) ExplainChoice(now time.Time, r *quetzalroad.Request, candidates []quetzalroad.Upstream) quetzalroad.ChoiceExplanation {
	base := s.rehearsal(r.Service.Name)
	x := quetzalroad.ChoiceExplanation{Unit: quetzalroad.CostUnitLoad, Draws: trialDraws}
	if r.Model != "" && r.PromptTokens >= s.longPromptTokens && len(candidates) > 1 {
		x.Unit = quetzalroad.CostUnitPromptTokens
	}
	base.orderEngines(now, r, candidates)
	p := newPricer(base, now, r, candidates)
	p.addAll(candidates)
	p.markChoosable()
	chosen := make(map[quetzalroad.UpstreamName]int)
	for range trialDraws {
		chosen[base.rehearsal(r.Service.Name).Choose(now, r, candidates).Name]++
	}
	for _, u := range candidates {
		c := p.priced[u.Name].CandidateCost
		c.Chance = float64(chosen[u.Name]) / trialDraws
		c.CanBeChosen = c.CanBeChosen || c.Chance > 0
		x.Candidates = append(x.Candidates, c)
	}
	return x
}
