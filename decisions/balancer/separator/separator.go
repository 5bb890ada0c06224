// Package separator keeps long prompts off the engines that serve short ones, because each prefill
// chunk of a long prompt delays every token of the other requests on its engine.
//
// Some of a service's engines, the long pool, serve long prompts; their number follows the recent
// mix of requests. Rendezvous hashing assigns each prefix to an engine of this pool, the same on
// all nodes, which gets the long prompts with it unless prefilling the prefix again on a less busy
// engine is faster. Short prompts go mostly to the other engines, chosen by region and load. Plain
// services have no pools and are chosen by region and load alone.
package separator

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotBalancer, Name: "separator",
		New: func() kernel.Component { return new(Separator) },
	})
}

// Separator is a balancer that keeps long and short prompts on separate engines. Declare describes
// its settings.
type Separator struct {
	loadTracker      quetzalroad.LoadTracker
	dataCentre       quetzalroad.DataCentre
	region           quetzalroad.Region
	longPromptTokens int
	mixTimeConstant  time.Duration
	outputTokenCost  int
	longWeight       float64
	requestCost      int
	shortPoolCost    int
	crossRegionCost  int
	crossRegionLoad  float64
	longPoolLoad     float64
	shards           [partitionShards]partitionShard
}

// Declare implements kernel.Component.
func (s *Separator) Declare(c *configloader.Section) {
	c.Int("long-prompt", &s.longPromptTokens, 2500, 1, 10000000, "Length in tokens from which a prompt counts as long.")
	c.Duration("mix-memory", &s.mixTimeConstant, 20*time.Second, 100*time.Millisecond, time.Hour, "Time constant of the exponential decay of the recent mix of long and short prompts, which determines the sizes of the pools of engines.")
	c.Int("token-cost", &s.outputTokenCost, 7, 0, 10000, "Work of a token to be generated, in prompt tokens.")
	c.Float("reading-weight", &s.longWeight, 2, 0.01, 100, "Weight of the work of long prompts, relative to that of short ones, when the engines are divided.")
	c.Int("request-cost", &s.requestCost, 1500, 0, 10000000, "Cost to a long prompt of each request already running on an engine, in prompt tokens.")
	c.Int("mix-cost", &s.shortPoolCost, 30000, 0, 10000000, "Added cost of a long prompt on an engine for short ones, in prompt tokens.")
	c.Int("far-cost", &s.crossRegionCost, 1000, 0, 10000000, "Added cost of a long prompt in another region, in prompt tokens.")
	c.Float("far-running", &s.crossRegionLoad, 0.06, 0, 10, "Added cost of other work in another region, as a share of an upstream's maximum concurrency.")
	c.Float("mix-running", &s.longPoolLoad, 0.35, 0, 10, "Added cost of a short prompt on an engine for long ones, as a share of its maximum concurrency.")
}

// Build implements kernel.Component.
func (s *Separator) Build(n *kernel.Node) error {
	s.loadTracker = n.LoadTracker
	s.dataCentre = n.DataCentre
	s.region = n.Region
	n.Balancer = s
	return nil
}

// suspectCost exceeds all other costs, so that a suspect upstream is chosen last.
const suspectCost = 1e9

// Choose implements quetzalroad.Balancer.
func (s *Separator) Choose(now time.Time, r *quetzalroad.Request, candidates []quetzalroad.Upstream) quetzalroad.Upstream {
	if len(candidates) == 1 {
		return candidates[0]
	}
	if r.Model == "" {
		return s.cheapest(candidates, func(_ int, u quetzalroad.Upstream) float64 { return s.loadCost(now, u) })
	}
	s.observe(now, r)
	order, shortCount := s.partitionEngines(now, r.Service.Name, candidates)
	if r.PromptTokens < s.longPromptTokens {
		return s.cheapest(order, func(i int, u quetzalroad.Upstream) float64 {
			cost := s.loadCost(now, u)
			if i >= shortCount {
				cost += s.longPoolLoad
			}
			return cost
		})
	}
	owner := prefixOwner(r, order[shortCount:])
	return s.cheapest(order, func(i int, u quetzalroad.Upstream) float64 {
		cost := s.longPromptCost(now, u)
		if u.Name != owner {
			cost += float64(r.SharedPromptTokens)
		}
		if i < shortCount {
			cost += float64(s.shortPoolCost)
		}
		return cost
	})
}

// cheapest returns the candidate with the lowest cost, which is a function of its index and itself.
func (*Separator) cheapest(candidates []quetzalroad.Upstream, cost func(int, quetzalroad.Upstream) float64) quetzalroad.Upstream {
	best := candidates[0]
	lowest := cost(0, best)
	for i, u := range candidates[1:] {
		if c := cost(i+1, u); c < lowest {
			best, lowest = u, c
		}
	}
	return best
}

// loadCost returns an upstream's load relative to its maximum concurrency, plus the
// cost of another region. A random amount of up to one request is added, so that
// nodes with equal estimates don't all choose the same upstream.
func (s *Separator) loadCost(now time.Time, u quetzalroad.Upstream) float64 {
	e := s.loadTracker.Estimate(u.Name, now)
	cost := (float64(e.Running) + rand.Float64()) / float64(max(1, u.MaxConcurrency))
	if u.Region != s.region {
		cost += s.crossRegionLoad
	}
	if e.Suspect {
		cost += suspectCost
	}
	return cost
}

// longPromptCost returns the estimated work ahead of a long prompt, in prompt
// tokens, plus a random amount of up to one request.
func (s *Separator) longPromptCost(now time.Time, u quetzalroad.Upstream) float64 {
	e := s.loadTracker.Estimate(u.Name, now)
	cost := (float64(e.Running) + rand.Float64()) * float64(s.requestCost)
	if u.Region != s.region {
		cost += float64(s.crossRegionCost)
	}
	if e.Suspect {
		cost += suspectCost
	}
	return cost
}

// prefixOwner returns the engine of the long pool that caches a prompt's shared
// prefix: the one with the highest hash of both (rendezvous hashing), so that
// adding or removing an engine moves only that engine's share of the prefixes.
func prefixOwner(r *quetzalroad.Request, longPool []quetzalroad.Upstream) quetzalroad.UpstreamName {
	var best quetzalroad.UpstreamName
	var highest uint64
	for _, u := range longPool {
		if h := mixBits(xxhash.Sum64String(string(u.Name)) ^ r.PrefixHash); best == "" || h > highest {
			best, highest = u.Name, h
		}
	}
	return best
}

// mixBits mixes the bits of a hash, or of two hashes combined by XOR.
func mixBits(h uint64) uint64 {
	const multiplier = 0x9E3779B97F4A7C15
	h *= multiplier
	h ^= h >> 32
	h *= multiplier
	return h ^ h>>29
}
