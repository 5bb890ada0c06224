package separator

import (
	"math"
	"slices"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// pricedCandidate is a candidate with the bounds of its cost.
type pricedCandidate struct {
	quetzalroad.CandidateCost
	// low and high bound the cost that a choice may compute, whatever it observes of latencies meanwhile.
	low, high float64
}

// pricer computes the costs of the candidates of a request.
type pricer struct {
	request *quetzalroad.Request
	// base and most compute the costs without and with the largest random amount; low and high those of the most
	// and the least favourable usual latency.
	base, most, low, high chooser
	priced                map[quetzalroad.UpstreamName]*pricedCandidate
	// bound is a cost that the chosen upstream doesn't exceed.
	bound float64
}

func newPricer(s *Separator, now time.Time, r *quetzalroad.Request, candidates []quetzalroad.Upstream) *pricer {
	d := newDrift(s, now, candidates)
	unchanged := func(median time.Duration) time.Duration { return median }
	return &pricer{
		request: r, priced: make(map[quetzalroad.UpstreamName]*pricedCandidate), bound: math.Inf(1),
		base: s.fixedChooser(now, r, 0, unchanged), most: s.fixedChooser(now, r, 1, unchanged),
		low: s.fixedChooser(now, r, 0, d.highestMedian), high: s.fixedChooser(now, r, 1, d.lowestMedian),
	}
}

// fixedChooser returns a chooser on a copy of s, with a fixed random amount and fixed usual latencies.
func (s *Separator) fixedChooser(now time.Time, r *quetzalroad.Request, random float64, median func(time.Duration) time.Duration) chooser {
	service := r.Service.Name
	f := s.withoutLatencies(service)
	f.random.Fix(random)
	for _, long := range []bool{false, true} {
		f.latencies(long).Freeze(service, median(s.latencies(long).Median(service)))
	}
	return chooser{separator: f, now: now, request: r}
}

// drift bounds the usual latencies, which follow those of the engines that a choice compares.
type drift struct {
	lowest, highest time.Duration
}

// medianStep exceeds the share by which one observation moves a median.
const medianStep = 0.021

func newDrift(s *Separator, now time.Time, candidates []quetzalroad.Upstream) drift {
	var d drift
	for _, u := range candidates {
		latency := s.loadTracker.Estimate(u.Name, now).InterTokenLatency
		if latency <= 0 {
			continue
		}
		d.highest = max(d.highest, latency)
		if d.lowest == 0 || latency < d.lowest {
			d.lowest = latency
		}
	}
	return d
}

// lowestMedian returns the lowest value that a median may take while a choice is made; zero if it stays unknown.
func (d drift) lowestMedian(median time.Duration) time.Duration {
	lowest := d.lowest
	if median > 0 && (lowest == 0 || median < lowest) {
		lowest = median
	}
	return time.Duration((1 - medianStep) * float64(lowest))
}

// highestMedian is the counterpart of lowestMedian. An unknown median is the most favourable one.
func (d drift) highestMedian(median time.Duration) time.Duration {
	if median == 0 {
		return 0
	}
	return time.Duration((1 + medianStep) * float64(max(median, d.highest)))
}

// addAll adds the candidates by the groups in which a choice compares them.
func (p *pricer) addAll(candidates []quetzalroad.Upstream) {
	if p.request.Model == "" || len(candidates) == 1 {
		p.add("", candidates, func(c *chooser, u quetzalroad.Upstream) float64 { return c.loadCost(u, false) })
		p.tighten(candidates, len(candidates))
		return
	}
	groups := p.base.groupCandidates(candidates)
	for _, c := range []*chooser{&p.most, &p.low, &p.high} {
		c.groupCandidates(candidates)
	}
	sampleSize := p.base.separator.sampleSize
	for _, g := range groups.all() {
		p.add(g.pool(), g.members, func(c *chooser, u quetzalroad.Upstream) float64 { return c.engineCost(u, g.inLongPool) })
		p.tighten(g.members, sampleSize)
	}
	p.tighten(p.base.owners, sampleSize)
	p.add(quetzalroad.PoolLimited, p.base.limited, func(c *chooser, u quetzalroad.Upstream) float64 { return c.limitedCost(u, c.limitedShare(groups)) })
	p.tighten(p.base.limited, len(p.base.limited))
}

func (g *group) pool() quetzalroad.UpstreamPool {
	if g.inLongPool {
		return quetzalroad.PoolLong
	}
	return quetzalroad.PoolShort
}

// roundingSlack is the share by which two sums of the same parts may differ.
const roundingSlack = 1e-9

func (p *pricer) add(pool quetzalroad.UpstreamPool, members []quetzalroad.Upstream, cost func(c *chooser, u quetzalroad.Upstream) float64) {
	for _, u := range members {
		entry := &pricedCandidate{CandidateCost: quetzalroad.CandidateCost{Upstream: u, Pool: pool}}
		entry.IsPrefixOwner = slices.ContainsFunc(p.base.owners, func(o quetzalroad.Upstream) bool { return o.Name == u.Name })
		p.base.items = &entry.Items
		entry.Spread = max(0, -cost(&p.base, u)+cost(&p.most, u))
		entry.low, entry.high = cost(&p.low, u), cost(&p.high, u)
		entry.high += roundingSlack * math.Abs(entry.high)
		p.priced[u.Name] = entry
	}
}

// tighten lowers the bound by engines of which every choice compares some: all if there are no more than sampleSize,
// and otherwise any.
func (p *pricer) tighten(members []quetzalroad.Upstream, sampleSize int) {
	if len(members) == 0 {
		return
	}
	lowest, highest := math.Inf(1), math.Inf(-1)
	for _, u := range members {
		lowest, highest = min(lowest, p.priced[u.Name].high), max(highest, p.priced[u.Name].high)
	}
	if len(members) <= sampleSize {
		highest = lowest
	}
	p.bound = min(p.bound, highest)
}

// markChoosable marks the candidates that some draw chooses.
func (p *pricer) markChoosable() {
	least := math.Inf(1)
	for _, c := range p.priced {
		least = min(least, c.low)
	}
	for _, c := range p.priced {
		c.CanBeChosen = p.canBeChosen(c, least)
	}
}

// canBeChosen reports whether some draw chooses a candidate. Unusable engines are chosen only if no usable one is
// sampled.
func (p *pricer) canBeChosen(c *pricedCandidate, least float64) bool {
	switch {
	case c.low >= exhaustedCost:
		return least >= exhaustedCost
	case c.low >= suspectCost:
		return least >= suspectCost
	}
	return c.low <= p.bound
}
