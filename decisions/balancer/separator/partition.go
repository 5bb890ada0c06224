package separator

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// partitionShards is the number of shards of the divisions.
const partitionShards = 8

// partitionShard holds the divisions of the services that hash to it.
type partitionShard struct {
	mu sync.Mutex
	// partitions is guarded by mu and made on first use.
	partitions map[quetzalroad.ServiceName]*partition
}

// partition is which part of a service's engines is left to short prompts. In
// the engines' common order these are the first ones.
type partition struct {
	// shortShare is the part of the engines left to short prompts, and writers their
	// number, at least one and less than all.
	shortShare float64
	shortCount int
	// longWork and writing are the work that came lately with long and short
	// prompts, in prompt tokens, fading with time. Neither is negative.
	longWork, shortWork float64
	// requestCount counts the requests in them, fading alike.
	requestCount float64
	// at is when they were brought up to date.
	updatedAt time.Time
	// order is that of the engines whose names give mark. It is not changed once
	// it is set, as choices go on with it.
	order       []quetzalroad.Upstream
	fingerprint uint64
}

// decay brings the work up to a time.
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

// interleaveDataCentres gives the engines in an order that all nodes that know the same
// engines share. The data centres take turns, so that each has some of either
// kind.
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

// fingerprintOf tells sets of engines apart, and states of one, whatever their order.
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

// rank orders the engines of a data centre by chance, the same on all nodes.
func rank(u quetzalroad.Upstream) uint64 {
	return mixBits(xxhash.Sum64String(string(u.Name)))
}

func dataCentreRank(u quetzalroad.Upstream) uint64 {
	return mixBits(xxhash.Sum64String(string(u.DataCentre)))
}

// partitionEngines gives the engines in their order and how many of them, from the first
// on, are left to short prompts. All nodes see like demand, so that they divide
// the engines alike without telling each other.
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

// observe notes a request that came.
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
	// minRequestCount is how many requests must have come lately for their mix to
	// tell anything.
	minRequestCount = 10
	// shareStep is the part of the engines by which the division is moved at a time,
	// and slack how far demand must be from it before it is: nodes that see
	// the same demand a little differently mostly divide the engines alike.
	shareStep       = 0.1
	shareHysteresis = 0.12
	// initialShortShare is the part left to short prompts before demand is known, when
	// no engine holds any part of a prompt yet.
	initialShortShare = 0.15
)

// adjust moves a division of n engines to what demand asks for.
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
