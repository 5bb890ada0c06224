// Package estimator chooses the upstream with the lowest estimated cost among a few random ones.
// The cost combines the estimated number of requests there with the inter-token latency that this
// node observed recently, so that a slow upstream gets less work before its report shows it.
// Requests with the same prompt prefix go to the same upstream as long as its load allows.
// Preemptible work is kept off a share of the upstreams, which other work tends to choose.
package estimator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/decisions/latencytracker"
	"github.com/quetzalroad/quetzalroad/decisions/randomizer"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotBalancer, Name: "estimator", Default: true,
		New: func() kernel.Component { return new(Estimator) },
	})
}

// Estimator is a balancer that compares estimated costs. Declare describes its settings.
type Estimator struct {
	settings
	latencies latencytracker.Tracker
	random    randomizer.Randomizer
}

// settings are what an Estimator is built from. They are read-only after Build.
type settings struct {
	loadTracker    quetzalroad.LoadTracker
	sampleSize     int
	affinityLimit  float64
	symmetryWeight float64
	reservedShare  float64
	seed           int
}

// Declare implements kernel.Component.
func (e *Estimator) Declare(s *configloader.Section) {
	s.Int("choices", &e.sampleSize, 8, 1, 64, "Number of upstreams that are sampled at random and compared.")
	s.Float("affinity", &e.affinityLimit, 0.75, 0, 1, "Load, as a share of an upstream's maximum concurrency, below which requests are routed by prompt prefix.")
	s.Float("alike", &e.symmetryWeight, 0.6, 0, 1, "Weight of the assumption that peers spread their work like this node, against the loads they report.")
	s.Int("seed", &e.seed, 0, 0, 1<<30, "Seed of the random choices, for reproducible measurements; zero for a random seed.")
	s.Float("short-share", &e.reservedShare, 0.34, 0, 0.9, "Share of the upstreams that preemptible work does not use.")
}

// Build implements kernel.Component.
func (e *Estimator) Build(n *kernel.Node) error {
	e.loadTracker = n.LoadTracker
	e.random.SetSeed(e.seed)
	n.Balancer = e
	return nil
}

// Choose implements quetzalroad.Balancer.
func (e *Estimator) Choose(now time.Time, r *quetzalroad.Request, candidates []quetzalroad.Upstream) quetzalroad.Upstream {
	if len(candidates) == 1 {
		return candidates[0]
	}
	low, high := e.eligibleRange(r, len(candidates))
	medianLatency := e.latencies.Median(r.Service.Name)
	best := candidates[low+e.random.IntN(high-low)]
	lowest := e.cost(now, r, best, medianLatency)
	if preferred, ok := e.prefixUpstream(now, r, candidates[low:high], medianLatency); ok {
		return preferred
	}
	for range e.sampleSize - 1 {
		u := candidates[low+e.random.IntN(high-low)]
		c := e.cost(now, r, u, medianLatency)
		if c < lowest {
			best = u
			lowest = c
		}
	}
	return best
}

// eligibleRange returns the range of the candidates that a request may use. Preemptible work may
// not use the first ones, which are the same on all nodes because candidates are in order of name.
// Other work may use them all and tends to choose the first ones because of their lower load.
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

// prefixUpstream returns the upstream that rendezvous hashing assigns to a
// request's prompt prefix, unless it is suspect, slow or too loaded.
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
	// hashMultiplier mixes the bits of two hashes combined by XOR.
	hashMultiplier = 0x9E3779B97F4A7C15
	// slowFactor is the multiple of the median latency that counts as slow.
	slowFactor = 2
	// suspectPenalty is added for a suspect upstream, so that it is chosen last.
	suspectPenalty = 1000
	// overloadPenalty is the added weight of each request beyond the maximum concurrency.
	overloadPenalty = 4
)

func isSlow(estimate quetzalroad.LoadEstimate, medianLatency time.Duration) bool {
	return medianLatency > 0 && estimate.InterTokenLatency > slowFactor*medianLatency
}

// expectedRunning returns the expected number of requests on an upstream. The
// loads that peers report are late, and nodes that all follow them choose the
// same upstream at once; each peer probably has about as much work there as this
// node. The result is a weighted mean of the two estimates.
func (e *Estimator) expectedRunning(estimate quetzalroad.LoadEstimate) float64 {
	symmetric := float64(estimate.LocalRunning * estimate.ReportingPeers)
	reported := float64(estimate.PeerRunning)
	return float64(estimate.Running) - reported + e.symmetryWeight*symmetric + (1-e.symmetryWeight)*reported
}

// costParts are the amounts that add up to the cost of an upstream.
type costParts struct {
	load, overload, slowness, suspect float64
}

func (p costParts) total() float64 {
	return p.load + p.overload + p.slowness + p.suspect
}

// cost observes the latency of an upstream and returns its cost.
func (e *Estimator) cost(now time.Time, r *quetzalroad.Request, u quetzalroad.Upstream, medianLatency time.Duration) float64 {
	estimate := e.loadTracker.Estimate(u.Name, now)
	e.latencies.Observe(r.Service.Name, estimate.InterTokenLatency)
	return e.costParts(estimate, u, medianLatency).total()
}

// costParts returns the expected load of an upstream relative to its maximum concurrency,
// times the squared ratio of its latency to the service's median where it is slower.
func (e *Estimator) costParts(estimate quetzalroad.LoadEstimate, u quetzalroad.Upstream, medianLatency time.Duration) costParts {
	maxConcurrency := float64(max(1, u.MaxConcurrency))
	running := e.expectedRunning(estimate) + 1
	p := costParts{load: running / maxConcurrency}
	if excess := running - float64(u.MaxConcurrency); excess > 0 {
		p.overload = overloadPenalty * excess / maxConcurrency
	}
	if medianLatency > 0 && estimate.InterTokenLatency > 0 {
		ratio := float64(estimate.InterTokenLatency) / float64(medianLatency)
		p.slowness = (p.load + p.overload) * (max(1, ratio*ratio) - 1)
	}
	if estimate.Suspect {
		p.suspect = suspectPenalty
	}
	return p
}
