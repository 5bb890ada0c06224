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
	// longWork and shortWork are the recent work of long and short prompts, in
	// prompt tokens, decaying exponentially. Neither is negative.
	longWork, shortWork float64
	// requestCount counts the requests in them and decays likewise.
	requestCount float64
	// updatedAt is when the decay was last applied.
	updatedAt time.Time
	// order holds the engines that fingerprint identifies. It is not modified
	// once it is set, because callers use it without the lock.
	order       []quetzalroad.Upstream
	fingerprint uint64
}

// decay applies the exponential decay up to now.
func (p *partition) decay(now time.Time, timeConstant time.Duration) {
	age := now.Sub(p.updatedAt)
	if age <= 0 {
		return
	}
	factor := math.Exp(-age.Seconds() / timeConstant.Seconds())
	p.longWork *= factor
	p.shortWork *= factor
	p.requestCount *= factor
	p.updatedAt = now
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
	fingerprint := fingerprintOf(candidates)
	var order []quetzalroad.Upstream
	shortCount := 0
	s.withPartition(service, func(p *partition) {
		if p.fingerprint != fingerprint || len(p.order) != len(candidates) {
			p.order, p.fingerprint = interleaveDataCentres(candidates), fingerprint
		}
		order = p.order
		p.decay(now, s.mixTimeConstant)
		p.adjust(len(order), s.longWeight)
		shortCount = p.shortCount
	})
	return order, shortCount
}

// observe adds a request to the recent mix of its service.
func (s *Separator) observe(now time.Time, r *quetzalroad.Request) {
	work := float64(max(0, r.PromptTokens-r.SharedPromptTokens) + s.outputTokenCost*r.MaxTokens)
	s.withPartition(r.Service.Name, func(p *partition) {
		p.decay(now, s.mixTimeConstant)
		p.requestCount++
		if r.PromptTokens < s.longPromptTokens {
			p.shortWork += work
		} else {
			p.longWork += work
		}
	})
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
	// initialShortShare is the short pool's share before demand is known, when
	// no engine has cached any prefix yet.
	initialShortShare = 0.15
)

// adjust determines from the recent demand how many of engineCount engines form the short pool.
func (p *partition) adjust(engineCount int, longWeight float64) {
	if p.shortShare == 0 {
		p.shortShare = initialShortShare
	}
	if weightedLongWork := longWeight * p.longWork; p.requestCount >= minRequestCount {
		target := p.shortWork / (p.shortWork + weightedLongWork)
		if math.Abs(target-p.shortShare) > shareHysteresis {
			p.shortShare = min(max(shareStep, shareStep*math.Round(target/shareStep)), 1-shareStep)
		}
	}
	p.shortCount = int(math.Round(p.shortShare * float64(engineCount)))
	p.shortCount = min(max(1, p.shortCount), engineCount-1)
}
