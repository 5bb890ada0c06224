package separator

import (
	"math"
	"slices"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/decisions/latencytracker"
)

const (
	// suspectCost exceeds all other costs, so that a suspect upstream is chosen last.
	suspectCost = 1e9
	// exhaustedCost exceeds even that, for an upstream to which no request may be sent now.
	exhaustedCost = 1e12
)

// chooser chooses the upstream of one request.
type chooser struct {
	separator *Separator
	now       time.Time
	request   *quetzalroad.Request
	// owners are the engines that the request's prefix is assigned to; empty for a short prompt.
	owners []quetzalroad.Upstream
	// demand describes the recent long prompts, and longEngines is the number of engines that own their prefixes. They
	// are set if the memory of the engines counts.
	demand      prefixDemand
	longEngines int
	// limited are the engines that state a rate limit. They belong to no pool.
	limited []quetzalroad.Upstream
	// items collects the parts of a cost while a choice is explained; nil otherwise.
	items *[]quetzalroad.CostItem
}

// part returns an amount of the cost, and notes what it is for while a choice is explained.
func (c *chooser) part(p quetzalroad.CostPart, value float64) float64 {
	if c.items != nil && value != 0 {
		*c.items = append(*c.items, quetzalroad.CostItem{Part: p, Value: value})
	}
	return value
}

// chooseAmong returns the cheapest of a few engines of each group. It compares all of them if those
// are suspect.
func (c *chooser) chooseAmong(groups *engineGroups) quetzalroad.Upstream {
	best, lowest := quetzalroad.Upstream{}, math.Inf(1)
	consider := func(u quetzalroad.Upstream, cost float64) {
		if cost < lowest {
			best, lowest = u, cost
		}
	}
	compare := func(members []quetzalroad.Upstream, inLongPool bool) {
		for _, u := range members {
			consider(u, c.engineCost(u, inLongPool))
		}
	}
	for _, g := range groups.all() {
		compare(c.separator.sample(g.members), g.inLongPool)
	}
	compare(c.separator.sample(c.owners), true)
	// All of them are compared: what a node does not use of a limit is of no use to others.
	for _, u := range c.limited {
		consider(u, c.limitedCost(u, c.limitedShare(groups)))
	}
	if lowest >= suspectCost {
		for _, g := range groups.all() {
			compare(g.members, g.inLongPool)
		}
	}
	return best
}

func (c *chooser) isLong() bool {
	return c.request.PromptTokens >= c.separator.longPromptTokens
}

// cheapestOf returns the upstream of a plain service with the lowest load.
func (c *chooser) cheapestOf(candidates []quetzalroad.Upstream) quetzalroad.Upstream {
	best, lowest := candidates[0], math.Inf(1)
	for _, u := range candidates {
		if cost := c.loadCost(u, false); cost < lowest {
			best, lowest = u, cost
		}
	}
	return best
}

// sample returns a few random members, or all if there are no more.
func (s *Separator) sample(members []quetzalroad.Upstream) []quetzalroad.Upstream {
	size := s.sampleSize
	if len(members) <= size {
		return members
	}
	sampled := make([]quetzalroad.Upstream, 0, size)
	for range size {
		sampled = append(sampled, members[s.random.IntN(len(members))])
	}
	return sampled
}

func (c *chooser) engineCost(u quetzalroad.Upstream, inLongPool bool) float64 {
	if c.isLong() {
		return c.longPromptCost(u, inLongPool)
	}
	cost := c.loadCost(u, inLongPool)
	if inLongPool {
		cost += c.part(quetzalroad.CostPool, c.separator.longPoolLoad)
	}
	return cost
}

// slowFactor is the multiple of the usual latency up to which an upstream is not slow.
const slowFactor = 2

const (
	// outlierSlowness is the slowness from which an upstream's load counts as higher.
	outlierSlowness = 1.8
	// outlierLoad is added to the load of a slow upstream, as this node knows only a few of the requests
	// that are held up there.
	outlierLoad = 0.3
)

// latencies tracks the usual latency of a pool.
func (s *Separator) latencies(inLongPool bool) *latencytracker.Tracker {
	if inLongPool {
		return &s.longPoolLatencies
	}
	return &s.shortPoolLatencies
}

// slowness returns the factor by which an upstream recently exceeded the latency that counts as slow in
// its pool, at least one.
func (c *chooser) slowness(e quetzalroad.LoadEstimate, inLongPool bool) float64 {
	latencies := c.separator.latencies(inLongPool)
	service := c.request.Service.Name
	usual := latencies.Median(service)
	latencies.Observe(service, e.InterTokenLatency)
	if usual <= 0 {
		return 1
	}
	return max(1, float64(e.InterTokenLatency)/(slowFactor*float64(usual)))
}

// loadCost returns an upstream's load relative to its maximum concurrency, plus the
// cost of another region. A random amount of up to one request is added, so that
// nodes with equal estimates don't all choose the same upstream.
func (c *chooser) loadCost(u quetzalroad.Upstream, inLongPool bool) float64 {
	s := c.separator
	e := s.loadTracker.Estimate(u.Name, c.now)
	slowness := c.slowness(e, inLongPool)
	load := (float64(e.Running) + s.random.Float64()) / float64(max(1, u.MaxConcurrency))
	cost := c.part(quetzalroad.CostLoad, load) + c.part(quetzalroad.CostSlowness, load*(slowness-1))
	if slowness >= outlierSlowness {
		cost += c.part(quetzalroad.CostSlowness, outlierLoad)
	}
	cost += c.part(quetzalroad.CostFullness, c.fullness(u, e))
	if u.Region != s.region {
		cost += c.part(quetzalroad.CostRegion, s.crossRegionLoad)
	}
	return cost + c.unusableCost(u.Name, e)
}

// nearlyFull is the share of an upstream's maximum concurrency from which its last report counts, although it is
// old: a request that finds no free slot waits for another one to end.
const nearlyFull = 0.7

// fullness returns the load by which an engine's last report exceeds nearlyFull. At the crest of short prompts a node
// sends few of them to each engine, and can't tell from those that an engine is full.
func (c *chooser) fullness(u quetzalroad.Upstream, e quetzalroad.LoadEstimate) float64 {
	if c.request.Model == "" {
		return 0
	}
	return fullnessWeight * max(0, float64(e.Occupancy)/float64(max(1, u.MaxConcurrency))-nearlyFull)
}

// fullnessWeight makes an engine with all slots taken cost as much as half a load more.
const fullnessWeight = 2

// longPromptCost returns the estimated work until a long prompt is prefilled, in prompt tokens at the
// usual pace, plus a random amount of up to one request.
func (c *chooser) longPromptCost(u quetzalroad.Upstream, inLongPool bool) float64 {
	s := c.separator
	e := s.loadTracker.Estimate(u.Name, c.now)
	prompt, held := c.weighedPrompt(), c.heldProbability(u.Name, e)
	engine := engineState{
		slots:     float64(u.MaxConcurrency),
		running:   float64(e.Running) + s.random.Float64(),
		occupancy: float64(e.Occupancy),
		slowness:  c.slowness(e, inLongPool),
	}
	queue := s.weighing.queue(engine)
	cost := c.part(quetzalroad.CostLoad, queue) + c.part(quetzalroad.CostSlowness, queue*(engine.slowness-1))
	cost += c.part(quetzalroad.CostFullness, s.weighing.slotWait(engine))
	cost += c.part(quetzalroad.CostUncachedPrompt, s.weighing.prefill(prompt, engine, held))
	if !inLongPool {
		cost += c.part(quetzalroad.CostPool, float64(s.shortPoolCost))
	}
	if u.Region != s.region {
		cost += c.part(quetzalroad.CostRegion, float64(s.crossRegionCost))
	}
	return cost + c.unusableCost(u.Name, e)
}

// weighedPrompt returns the lengths of the request's prompt.
func (c *chooser) weighedPrompt() weighedPrompt {
	shared := float64(c.request.SharedPromptTokens)
	return weighedPrompt{shared: shared, unshared: float64(c.request.PromptTokens) - shared, output: float64(c.request.MaxTokens)}
}

// heldProbability estimates the probability that an engine holds the request's shared tokens.
func (c *chooser) heldProbability(u quetzalroad.UpstreamName, e quetzalroad.LoadEstimate) float64 {
	if !slices.ContainsFunc(c.owners, func(o quetzalroad.Upstream) bool { return o.Name == u }) {
		return 0
	}
	if !c.separator.weighsMemory(c.request) {
		return 1
	}
	running := float64(max(e.Running, e.Occupancy))
	return c.separator.weighing.ownerProbability(c.request.Service.KVCacheTokens, c.weighedPrompt(), c.demand, running, c.longEngines)
}

// weighsMemory reports whether the memory of engines bounds what owners of prefixes hold.
func (s *Separator) weighsMemory(r *quetzalroad.Request) bool {
	return s.weighing.weight > 0 && r.Service.KVCacheTokens > 0
}
