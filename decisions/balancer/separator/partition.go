package separator

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// partitionShards is the number of shards that hold the partitions.
const partitionShards = 8

// partitionShard holds the partitions of the services that hash to it.
type partitionShard struct {
	mu sync.Mutex
	// partitions is guarded by mu and allocated on first use.
	partitions map[quetzalroad.ServiceName]*partition
}

// partition divides a service's engines into a short pool and a long pool. In
// the order that all nodes share, the short pool comes first.
type partition struct {
	// shortShare is the share of the engines in the short pool, and shortCount
	// their number, at least one and less than all.
	shortShare float64
	shortCount int
	// local is the recent work of this node, decaying exponentially, and updatedAt is
	// when the decay was last applied.
	local     quetzalroad.ServiceMix
	updatedAt time.Time
	// peers is the recent work of other nodes as of peersAt.
	peers   quetzalroad.ServiceMix
	peersAt time.Time
	// prefixes are those of recent long prompts.
	prefixes prefixHistory
	// order holds the engines that fingerprint identifies. It is not modified
	// once it is set, because callers use it without the lock.
	order       []quetzalroad.Upstream
	fingerprint uint64
	// source is the slice of candidates that order was last compared with.
	source []quetzalroad.Upstream
	// groups are those of order with groupedCount engines in the short pool; nil if the order changed.
	groups       *engineGroups
	groupedCount int
}

// decay applies the exponential decay up to now.
func (p *partition) decay(now time.Time, timeConstant time.Duration) {
	age := now.Sub(p.updatedAt)
	if age <= 0 {
		return
	}
	factor := math.Exp(-age.Seconds() / timeConstant.Seconds())
	p.local = scale(p.local, factor)
	p.updatedAt = now
}

func scale(m quetzalroad.ServiceMix, factor float64) quetzalroad.ServiceMix {
	m.ShortWork *= factor
	m.LongWork *= factor
	m.Requests *= factor
	return m
}

// peerMixLifetime is the age up to which the work of other nodes counts.
const peerMixLifetime = 3 * time.Second

// mix returns the recent work of this node and, as far as it is known, of others.
func (p *partition) mix(now time.Time) quetzalroad.ServiceMix {
	m := p.local
	if now.Sub(p.peersAt) < peerMixLifetime {
		m.ShortWork += p.peers.ShortWork
		m.LongWork += p.peers.LongWork
		m.Requests += p.peers.Requests
	}
	return m
}

// interleaveDataCentres returns the engines in an order that is the same on all
// nodes that know the same engines. The data centres alternate in it, so that
// each has engines in both pools.
func interleaveDataCentres(candidates []quetzalroad.Upstream) []quetzalroad.Upstream {
	order := slices.Clone(candidates)
	slices.SortFunc(order, func(a, b quetzalroad.Upstream) int {
		return compareRanks(rank(a), rank(b))
	})
	counts := make(map[quetzalroad.DataCentre]int)
	position := make(map[quetzalroad.UpstreamName]int, len(order))
	for _, u := range order {
		position[u.Name] = counts[u.DataCentre]
		counts[u.DataCentre]++
	}
	slices.SortStableFunc(order, func(a, b quetzalroad.Upstream) int {
		if diff := position[a.Name] - position[b.Name]; diff != 0 {
			return diff
		}
		return compareRanks(dataCentreRank(a), dataCentreRank(b))
	})
	return order
}

// fingerprintOf identifies a set of engines and their revisions in any order.
func fingerprintOf(candidates []quetzalroad.Upstream) uint64 {
	var fingerprint uint64
	for _, u := range candidates {
		fingerprint += mixBits(rank(u) ^ uint64(u.Revision))
	}
	return fingerprint
}

func compareRanks(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// rank orders the engines of a data centre pseudo-randomly, alike on all nodes.
func rank(u quetzalroad.Upstream) uint64 {
	return mixBits(xxhash.Sum64String(string(u.Name)))
}

func dataCentreRank(u quetzalroad.Upstream) uint64 {
	return mixBits(xxhash.Sum64String(string(u.DataCentre)))
}

// partitionEngines returns the engines in their shared order and how many of
// them, from the first on, form the short pool. All nodes see similar demand, so
// they mostly choose the same pools without coordination.
func (s *Separator) partitionEngines(now time.Time, service quetzalroad.ServiceName, candidates []quetzalroad.Upstream) ([]quetzalroad.Upstream, int) {
	var order []quetzalroad.Upstream
	shortCount := 0
	s.withPartition(service, func(p *partition) {
		s.updatePartition(p, now, candidates)
		order, shortCount = p.order, p.shortCount
	})
	return order, shortCount
}

// groupEngines returns a service's engines by pool and region.
func (s *Separator) groupEngines(now time.Time, service quetzalroad.ServiceName, candidates []quetzalroad.Upstream) *engineGroups {
	var groups *engineGroups
	s.withPartition(service, func(p *partition) {
		s.updatePartition(p, now, candidates)
		if p.groups == nil || p.groupedCount != p.shortCount {
			p.groups, p.groupedCount = newEngineGroups(p.order, p.shortCount, s.region), p.shortCount
		}
		groups = p.groups
	})
	return groups
}

// isSameSlice reports whether two slices share their elements. Slices of candidates are not modified, so
// the elements need no comparison.
func isSameSlice(a, b []quetzalroad.Upstream) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// reorder sets the order of the engines unless they are the same as before.
func (p *partition) reorder(candidates []quetzalroad.Upstream) {
	p.source = candidates
	fingerprint := fingerprintOf(candidates)
	if p.fingerprint == fingerprint && len(p.order) == len(candidates) {
		return
	}
	p.order, p.fingerprint = interleaveDataCentres(candidates), fingerprint
	p.groups = nil
}

// updatePartition brings the order of the engines and the size of the short pool up to date.
func (s *Separator) updatePartition(p *partition, now time.Time, candidates []quetzalroad.Upstream) {
	if !isSameSlice(p.source, candidates) {
		p.reorder(candidates)
	}
	p.decay(now, s.mixTimeConstant)
	p.adjust(p.mix(now), len(p.order), s.longWeight)
}

// tokenCost returns the work of a token to be generated. While a request generates, it holds its
// share of an engine's steps: the fewer requests an engine runs at once, the more a token costs.
func (s *Separator) tokenCost(maxConcurrency int) float64 {
	if s.outputTokenCost > 0 {
		return float64(s.outputTokenCost)
	}
	return float64(s.stepCost) / float64(max(1, maxConcurrency))
}

// observe adds a request to the recent mix of its service.
func (s *Separator) observe(now time.Time, r *quetzalroad.Request, maxConcurrency int) {
	work := float64(max(0, r.PromptTokens-r.SharedPromptTokens)) + s.tokenCost(maxConcurrency)*float64(r.MaxTokens)
	s.withPartition(r.Service.Name, func(p *partition) {
		p.decay(now, s.mixTimeConstant)
		p.local.Requests++
		if r.PromptTokens < s.longPromptTokens {
			p.local.ShortWork += work
		} else {
			p.local.LongWork += work
			p.prefixes.add(now, r)
		}
	})
}

// prefixShare estimates the share of a request's prefix in the recent long prompts of its service.
func (s *Separator) prefixShare(now time.Time, r *quetzalroad.Request) float64 {
	share := 0.0
	s.withPartition(r.Service.Name, func(p *partition) { share = p.prefixes.share(now, r.PrefixHash) })
	return share
}

// prefixDemand describes the recent long prompts of a service, of this node and, by their number, of others.
func (s *Separator) prefixDemand(now time.Time, service quetzalroad.ServiceName) prefixDemand {
	var d prefixDemand
	s.withPartition(service, func(p *partition) {
		d = p.prefixes.demand(now)
		d.scale = p.mix(now).Requests / max(1, p.local.Requests)
	})
	return d
}

// LocalMix implements quetzalroad.MixTracker.
func (s *Separator) LocalMix(now time.Time) []quetzalroad.ServiceMix {
	var all []quetzalroad.ServiceMix
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for service, p := range sh.partitions {
			p.decay(now, s.mixTimeConstant)
			m := p.local
			m.Service = service
			all = append(all, m)
		}
		sh.mu.Unlock()
	}
	return all
}

// UpdatePeerMix implements quetzalroad.MixTracker.
func (s *Separator) UpdatePeerMix(received time.Time, mixes []quetzalroad.ServiceMix) {
	for _, m := range mixes {
		s.withPartition(m.Service, func(p *partition) {
			p.peers, p.peersAt = m, received
		})
	}
}

func (s *Separator) withPartition(service quetzalroad.ServiceName, f func(p *partition)) {
	sh := &s.shards[xxhash.Sum64String(string(service))%partitionShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.partitions == nil {
		sh.partitions = make(map[quetzalroad.ServiceName]*partition)
	}
	p := sh.partitions[service]
	if p == nil {
		p = new(partition)
		sh.partitions[service] = p
	}
	f(p)
}

const (
	// minRequestCount is how many recent requests are needed before the mix
	// is significant.
	minRequestCount = 10
	// shareStep is the granularity of shortShare. shareHysteresis is how far the
	// target must differ from shortShare to change it, so that nodes that see
	// slightly different demand mostly choose the same pools.
	shareStep       = 0.1
	shareHysteresis = 0.12
	// shareUncertainty is the uncertainty of the target share after one request. It falls with the
	// square root of their number.
	shareUncertainty = 1.2
	// initialShortShare is the short pool's share before demand is known, when
	// no engine has cached any prefix yet.
	initialShortShare = 0.15
)

// adjust determines from the recent demand how many of engineCount engines form the short pool.
func (p *partition) adjust(mix quetzalroad.ServiceMix, engineCount int, longWeight float64) {
	if p.shortShare == 0 {
		p.shortShare = initialShortShare
	}
	if weightedLongWork := longWeight * mix.LongWork; mix.Requests >= minRequestCount {
		target := mix.ShortWork / (mix.ShortWork + weightedLongWork)
		if math.Abs(target-p.shortShare) > max(shareHysteresis, shareUncertainty/math.Sqrt(mix.Requests)) {
			p.shortShare = min(max(shareStep, shareStep*math.Round(target/shareStep)), 1-shareStep)
		}
	}
	p.shortCount = int(math.Round(p.shortShare * float64(engineCount)))
	p.shortCount = min(max(1, p.shortCount), engineCount-1)
}
