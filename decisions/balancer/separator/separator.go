// Package separator keeps long prompts off the engines that serve short ones, because each prefill
// chunk of a long prompt delays every token of the other requests on its engine.
//
// Some of a service's engines, the long pool, serve long prompts; their number follows the recent
// mix of requests, of this node and of others. Rendezvous hashing assigns each prefix to an engine of
// this pool, the same on all nodes, and one that many requests have to several. They get the long
// prompts with it unless prefilling the prefix again on a less busy engine is faster. Short prompts go
// mostly to the other engines, chosen by region and load. Plain services have no pools and are chosen
// by region and load alone.
//
// Loads are known late, and alike on all nodes. So engines are compared that were sampled at random;
// and an engine whose latency is above the usual counts as more loaded.
package separator

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/decisions/latencytracker"
	"github.com/quetzalroad/quetzalroad/decisions/randomizer"
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
	settings
	random randomizer.Randomizer
	// The usual latencies of the pools differ, because only the long pool prefills long prompts.
	shortPoolLatencies latencytracker.Tracker
	longPoolLatencies  latencytracker.Tracker
	shards             [partitionShards]partitionShard
}

// settings are what a Separator is built from. They are read-only after Build.
type settings struct {
	loadTracker quetzalroad.LoadTracker
	// throttler is nil if rate limits of engines are not known.
	throttler        quetzalroad.Throttler
	region           quetzalroad.Region
	longPromptTokens int
	mixTimeConstant  time.Duration
	outputTokenCost  int
	stepCost         int
	longWeight       float64
	requestCost      int
	slotCost         int
	weighing         weighing
	shortPoolCost    int
	crossRegionCost  int
	crossRegionLoad  float64
	longPoolLoad     float64
	seed             int
	sampleSize       int
}

// Declare implements kernel.Component.
func (s *Separator) Declare(c *configloader.Section) {
	c.Int("long-prompt", &s.longPromptTokens, 2500, 1, 10000000, "Length in tokens from which a prompt counts as long.")
	c.Duration("mix-memory", &s.mixTimeConstant, 20*time.Second, 100*time.Millisecond, time.Hour, "Time constant of the exponential decay of the recent mix of long and short prompts, which determines the sizes of the pools of engines.")
	c.Int("token-cost", &s.outputTokenCost, 0, 0, 10000, "Work of a token to be generated, in prompt tokens; zero to divide step-cost by the engines' maximum concurrency.")
	c.Int("step-cost", &s.stepCost, 450, 0, 1000000, "Work of one step of an engine, in which each running request generates a token, in prompt tokens.")
	c.Float("reading-weight", &s.longWeight, 2, 0.01, 100, "Weight of the work of long prompts, relative to that of short ones, when the engines are divided.")
	c.Int("seed", &s.seed, 0, 0, 1<<30, "Seed of the random choices, for reproducible measurements; zero for a random seed.")
	c.Int("choices", &s.sampleSize, 2, 1, 1000, "Number of engines that are sampled at random and compared in each group of engines of one pool, near or far. Nodes that compare them all choose the same one at once.")
	c.Int("request-cost", &s.requestCost, 1500, 0, 10000000, "Cost to a long prompt of each request already running on an engine, in prompt tokens.")
	c.Float("hold-weight", &s.weighing.weight, 0, 0, 1, "How much a lack of room, memory or pace counts against the owner of a long prompt's prefix; zero to count only the requests that are known to run there.")
	c.Int("slot-cost", &s.slotCost, 1000, 0, 10000000, "Cost to a long prompt of each request that waits for a slot according to an engine's last report, in prompt tokens.")
	c.Float("busy-share", &s.weighing.busyShare, 0.5, 0, 10, "Share of an engine's slots that are taken from which long steps mean that it prefills slowly.")
	c.Float("slow-limit", &s.weighing.slowLimit, 2, 1, 100, "Highest factor by which prefilling counts as slower on an engine with long steps; one to disregard it.")
	c.Int("mix-cost", &s.shortPoolCost, 30000, 0, 10000000, "Added cost of a long prompt on an engine for short ones, in prompt tokens.")
	c.Int("far-cost", &s.crossRegionCost, 1000, 0, 10000000, "Added cost of a long prompt in another region, in prompt tokens.")
	c.Float("far-running", &s.crossRegionLoad, 0.06, 0, 10, "Added cost of other work in another region, as a share of an upstream's maximum concurrency.")
	c.Float("mix-running", &s.longPoolLoad, 0.35, 0, 10, "Added cost of a short prompt on an engine for long ones, as a share of its maximum concurrency.")
}

// Build implements kernel.Component.
func (s *Separator) Build(n *kernel.Node) error {
	s.loadTracker = n.LoadTracker
	s.throttler = n.Throttler
	s.region = n.Region
	s.random.SetSeed(s.seed)
	s.weighing.requestCost, s.weighing.slotCost = float64(s.requestCost), float64(s.slotCost)
	n.Balancer = s
	n.MixTracker = s
	return nil
}

// Choose implements quetzalroad.Balancer.
func (s *Separator) Choose(now time.Time, r *quetzalroad.Request, candidates []quetzalroad.Upstream) quetzalroad.Upstream {
	if len(candidates) == 1 {
		return candidates[0]
	}
	c := chooser{separator: s, now: now, request: r}
	if r.Model == "" {
		return c.cheapestOf(candidates)
	}
	return c.chooseAmong(c.groupCandidates(candidates))
}

// groupCandidates adds the request to the recent mix and divides the engines as that demands.
func (c *chooser) groupCandidates(candidates []quetzalroad.Upstream) *engineGroups {
	s, r := c.separator, c.request
	s.observe(c.now, r, candidates[0].MaxConcurrency)
	if s.hasLimits() {
		candidates, c.limited = s.splitLimited(c.now, candidates)
	}
	groups := s.groupEngines(c.now, r.Service.Name, candidates)
	if r.PromptTokens >= s.longPromptTokens {
		c.findOwners(groups.longPool)
	}
	return groups
}

// findOwners sets the owners of the request's prefix, and what tells whether they still hold it.
func (c *chooser) findOwners(longPool []quetzalroad.Upstream) {
	s, r := c.separator, c.request
	share := s.prefixShare(c.now, r)
	c.owners = prefixOwners(r.PrefixHash, share, longPool)
	if s.weighsMemory(r) {
		c.demand, c.longEngines = s.prefixDemand(c.now, r.Service.Name), len(longPool)
		c.demand.share = share
	}
}
