// Package separator keeps the reading of long prompts away from the engines
// that generate for short ones, as each chunk of a prompt delays every token of
// the requests beside it.
//
// Some of a service's engines, the readers, take the long prompts; their number
// follows the mix of what came lately. Among them a request goes where the shared
// parts of its prompt lie, which all nodes find by the same hash, unless that
// engine is so busy that reading the parts again elsewhere is sooner done. Short prompts go to the other engines, the
// nearest first, by their load. Plain services are chosen by distance and load.
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

// Separator is the part that chooses.
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
	c.Int("long-prompt", &s.longPromptTokens, 2500, 1, 10000000, "Tokens from which a prompt counts as long.")
	c.Duration("mix-memory", &s.mixTimeConstant, 20*time.Second, 100*time.Millisecond, time.Hour, "How long the mix of long and short prompts that came is remembered, by which the engines are divided.")
	c.Int("token-cost", &s.outputTokenCost, 7, 0, 10000, "What a token to be generated counts as work, in prompt tokens.")
	c.Float("reading-weight", &s.longWeight, 2, 0.01, 100, "How much more room the work of long prompts gets than that of short ones.")
	c.Int("request-cost", &s.requestCost, 1500, 0, 10000000, "What a request on a reader counts against a long prompt, in prompt tokens.")
	c.Int("mix-cost", &s.shortPoolCost, 30000, 0, 10000000, "What a long prompt counts that is read beside short ones, in prompt tokens.")
	c.Int("far-cost", &s.crossRegionCost, 1000, 0, 10000000, "What the way to another region counts against a long prompt, in prompt tokens.")
	c.Float("far-running", &s.crossRegionLoad, 0.06, 0, 10, "What the way to another region counts against other work, as a share of an upstream's slots.")
	c.Float("mix-running", &s.longPoolLoad, 0.35, 0, 10, "What a reader counts against a short prompt, as a share of its slots.")
}

// Build implements kernel.Component.
func (s *Separator) Build(n *kernel.Node) error {
	s.loadTracker = n.LoadTracker
	s.dataCentre = n.DataCentre
	s.region = n.Region
	n.Balancer = s
	return nil
}

// suspectCost makes a suspect upstream a last resort.
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

// cheapest gives the candidate with the least cost.
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

// loadCost is an upstream's load as a share of its slots, with the way. Up to
// one request is added by chance, so that nodes which all see the same do not
// all choose the same.
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

// longPromptCost is what stands before a long prompt, in prompt tokens, with up to
// one request by chance.
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

// prefixOwner gives the reader where the shared parts of a prompt lie: the one with
// the highest hash of both, so that an engine's coming or going moves only its
// own share.
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

// mixBits mixes the bits of two joined hashes.
func mixBits(h uint64) uint64 {
	const multiplier = 0x9E3779B97F4A7C15
	h *= multiplier
	h ^= h >> 32
	h *= multiplier
	return h ^ h>>29
}
