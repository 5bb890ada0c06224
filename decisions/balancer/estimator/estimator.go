// Package estimator chooses the upstream with the least estimated cost among a
// few random ones. The cost joins the estimated number of requests there with
// the token time that this node saw lately, so that a slow upstream gets less
// before its report tells. Requests with the same prompt prefix go to the same
// upstream as long as its load allows. Long work is kept off a share of the
// upstreams, which short work prefers.
package estimator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotBalancer, Name: "estimator", Default: true,
		New: func() kernel.Component { return new(Estimator) },
	})
}

// Estimator is the part that chooses.
type Estimator struct {
	loadTracker    quetzalroad.LoadTracker
	sampleSize     int
	affinityLimit  float64
	symmetryWeight float64
	reservedShare  float64
	seed           int
	latencies      latencyCache
	random         randomSource
}

// Declare implements kernel.Component.
func (e *Estimator) Declare(s *configloader.Section) {
	s.Int("choices", &e.sampleSize, 8, 1, 64, "How many upstreams are drawn at random and compared.")
	s.Float("affinity", &e.affinityLimit, 0.75, 0, 1, "Load, as a share of an upstream's slots, up to which a request follows its prompt prefix.")
	s.Float("alike", &e.symmetryWeight, 0.6, 0, 1, "Weight of the assumption that peers' work is spread like this node's, against what they told.")
	s.Int("seed", &e.seed, 0, 0, 1<<30, "Seed of the random choices, for measurements; zero for none.")
	s.Float("short-share", &e.reservedShare, 0.34, 0, 0.9, "Share of the upstreams that preemptible work leaves to interactive work.")
}

// Build implements kernel.Component.
func (e *Estimator) Build(n *kernel.Node) error {
	e.loadTracker = n.LoadTracker
	e.random.setSeed(e.seed)
	n.Balancer = e
	return nil
}

// Choose implements quetzalroad.Balancer.
func (e *Estimator) Choose(now time.Time, r *quetzalroad.Request, candidates []quetzalroad.Upstream) quetzalroad.Upstream {
	if len(candidates) == 1 {
		return candidates[0]
	}
	low, high := e.eligibleRange(r, len(candidates))
	medianLatency := e.latencies.median(r.Service.Name)
	best := candidates[low+e.random.intN(high-low)]
	lowest := e.cost(now, r, best, medianLatency)
	if preferred, ok := e.prefixUpstream(now, r, candidates[low:high], medianLatency); ok {
		return preferred
	}
	for range e.sampleSize - 1 {
		u := candidates[low+e.random.intN(high-low)]
		c := e.cost(now, r, u, medianLatency)
		if c < lowest {
			best = u
			lowest = c
		}
	}
	return best
}

// eligibleRange gives the part of the candidates that a request may use. Candidates
// are in order of name, the same on all nodes, so the first ones are left to
// interactive work without any agreement. Interactive work may use them all
// and prefers the ones left to it by their lower load.
func (e *Estimator) eligibleRange(r *quetzalroad.Request, count int) (low, high int) {
	if !r.Profile.Preemptible {
		return 0, count
	}
	low = int(e.reservedShare * float64(count))
	if low >= count {
		low = count - 1
	}
	return low, count
}

// prefixUpstream gives the upstream that a request's prefix leads to, if its load
// allows.
func (e *Estimator) prefixUpstream(now time.Time, r *quetzalroad.Request, candidates []quetzalroad.Upstream, medianLatency time.Duration) (quetzalroad.Upstream, bool) {
	if r.PrefixHash == 0 || e.affinityLimit == 0 {
		return quetzalroad.Upstream{}, false
	}
	best := candidates[0]
	var highest uint64
	for _, u := range candidates {
		h := xxhash.Sum64String(string(u.Name)) ^ r.PrefixHash
		h *= hashMultiplier
		h ^= h >> 32
		if h >= highest {
			best = u
			highest = h
		}
	}
	estimate := e.loadTracker.Estimate(best.Name, now)
	if estimate.Suspect || e.expectedRunning(estimate) >= e.affinityLimit*float64(best.MaxConcurrency) || isSlow(estimate, medianLatency) {
		return quetzalroad.Upstream{}, false
	}
	return best, true
}

const (
	// mix spreads the bits of two joined hashes.
	hashMultiplier = 0x9E3779B97F4A7C15
	// slowFactor is how many times the usual token time counts as slow.
	slowFactor = 2
	// suspectPenalty makes a suspect upstream a last resort.
	suspectPenalty = 1000
	// overloadPenalty weighs each request beyond the slots.
	overloadPenalty = 4
)

func isSlow(estimate quetzalroad.LoadEstimate, medianLatency time.Duration) bool {
	return medianLatency > 0 && estimate.InterTokenLatency > slowFactor*medianLatency
}

// expectedRunning gives the number of requests on an upstream. What peers told is
// late, and nodes that all follow it run to the same upstream together; what
// they have there is likely much like this node's own. The truth is taken to
// lie between.
func (e *Estimator) expectedRunning(estimate quetzalroad.LoadEstimate) float64 {
	symmetric := float64(estimate.LocalRunning * estimate.ReportingPeers)
	reported := float64(estimate.PeerRunning)
	return float64(estimate.Running) - reported + e.symmetryWeight*symmetric + (1-e.symmetryWeight)*reported
}

// cost is the estimated load of an upstream relative to its slots, times its
// slowness relative to the service's usual token time.
func (e *Estimator) cost(now time.Time, r *quetzalroad.Request, u quetzalroad.Upstream, medianLatency time.Duration) float64 {
	estimate := e.loadTracker.Estimate(u.Name, now)
	e.latencies.observe(r.Service.Name, estimate.InterTokenLatency)
	running := e.expectedRunning(estimate) + 1
	if excess := running - float64(u.MaxConcurrency); excess > 0 {
		running += overloadPenalty * excess
	}
	cost := running / float64(max(1, u.MaxConcurrency))
	if medianLatency > 0 && estimate.InterTokenLatency > 0 {
		ratio := float64(estimate.InterTokenLatency) / float64(medianLatency)
		cost *= max(1, ratio*ratio)
	}
	if estimate.Suspect {
		cost += suspectPenalty
	}
	return cost
}
