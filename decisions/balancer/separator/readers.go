package separator

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// divisionShards is the number of shards of the divisions.
const divisionShards = 8

// divisionShard holds the divisions of the services that hash to it.
type divisionShard struct {
	mu sync.Mutex
	// divisions is guarded by mu and made on first use.
	divisions map[quetzalroad.ServiceName]*division
}

// division is which part of a service's engines is left to short prompts. In
// the engines' common order these are the first ones.
type division struct {
	// share is the part of the engines left to short prompts, and writers their
	// number, at least one and less than all.
	share   float64
	writers int
	// reading and writing are the work that came lately with long and short
	// prompts, in prompt tokens, fading with time. Neither is negative.
	reading, writing float64
	// seen counts the requests in them, fading alike.
	seen float64
	// at is when they were brought up to date.
	at time.Time
	// order is that of the engines whose names give mark. It is not changed once
	// it is set, as choices go on with it.
	order []quetzalroad.Upstream
	mark  uint64
}

// fade brings the work up to a time.
func (d *division) fade(now time.Time, memory time.Duration) {
	age := now.Sub(d.at)
	if age <= 0 {
		return
	}
	left := math.Exp(-age.Seconds() / memory.Seconds())
	d.reading *= left
	d.writing *= left
	d.seen *= left
	d.at = now
}

// ranked gives the engines in an order that all nodes that know the same
// engines share. The data centres take turns, so that each has some of either
// kind.
func ranked(candidates []quetzalroad.Upstream) []quetzalroad.Upstream {
	order := slices.Clone(candidates)
	slices.SortFunc(order, func(a, b quetzalroad.Upstream) int {
		return compare(rank(a), rank(b))
	})
	turns := make(map[quetzalroad.DataCentre]int)
	turn := make(map[quetzalroad.UpstreamName]int, len(order))
	for _, u := range order {
		turn[u.Name] = turns[u.DataCentre]
		turns[u.DataCentre]++
	}
	slices.SortStableFunc(order, func(a, b quetzalroad.Upstream) int {
		if d := turn[a.Name] - turn[b.Name]; d != 0 {
			return d
		}
		return compare(placeRank(a), placeRank(b))
	})
	return order
}

// markOf tells sets of engines apart, and states of one, whatever their order.
func markOf(candidates []quetzalroad.Upstream) uint64 {
	var mark uint64
	for _, u := range candidates {
		mark += spread(rank(u) ^ uint64(u.Revision))
	}
	return mark
}

func compare(a, b uint64) int {
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
	return spread(xxhash.Sum64String(string(u.Name)))
}

func placeRank(u quetzalroad.Upstream) uint64 {
	return spread(xxhash.Sum64String(string(u.DataCentre)))
}

// divide gives the engines in their order and how many of them, from the first
// on, are left to short prompts. All nodes see like demand, so that they divide
// the engines alike without telling each other.
func (s *Separator) divide(now time.Time, service quetzalroad.ServiceName, candidates []quetzalroad.Upstream) ([]quetzalroad.Upstream, int) {
	mark := markOf(candidates)
	var order []quetzalroad.Upstream
	writers := 0
	s.with(service, func(d *division) {
		if d.mark != mark || len(d.order) != len(candidates) {
			d.order, d.mark = ranked(candidates), mark
		}
		order = d.order
		d.fade(now, s.mixMemory)
		d.follow(len(order), s.readingWeight)
		writers = d.writers
	})
	return order, writers
}

// observe notes a request that came.
func (s *Separator) observe(now time.Time, r *quetzalroad.Request) {
	work := float64(max(0, r.PromptTokens-r.SharedPromptTokens) + s.tokenCost*r.MaxTokens)
	s.with(r.Service.Name, func(d *division) {
		d.fade(now, s.mixMemory)
		d.seen++
		if r.PromptTokens < s.longPrompt {
			d.writing += work
		} else {
			d.reading += work
		}
	})
}

func (s *Separator) with(service quetzalroad.ServiceName, f func(d *division)) {
	sh := &s.divisions[xxhash.Sum64String(string(service))%divisionShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.divisions == nil {
		sh.divisions = make(map[quetzalroad.ServiceName]*division)
	}
	d := sh.divisions[service]
	if d == nil {
		d = new(division)
		sh.divisions[service] = d
	}
	f(d)
}

const (
	// leastSeen is how many requests must have come lately for their mix to
	// tell anything.
	leastSeen = 10
	// step is the part of the engines by which the division is moved at a time,
	// and slack how far demand must be from it before it is: nodes that see
	// the same demand a little differently mostly divide the engines alike.
	step  = 0.1
	slack = 0.12
	// firstWriters is the part left to short prompts before demand is known, when
	// no engine holds any part of a prompt yet.
	firstWriters = 0.15
)

// follow moves a division of n engines to what demand asks for.
func (d *division) follow(n int, readingWeight float64) {
	if d.share == 0 {
		d.share = firstWriters
	}
	if reading := readingWeight * d.reading; d.seen >= leastSeen {
		wanted := d.writing / (d.writing + reading)
		if math.Abs(wanted-d.share) > slack {
			d.share = min(max(step, step*math.Round(wanted/step)), 1-step)
		}
	}
	d.writers = int(math.Round(d.share * float64(n)))
	d.writers = min(max(1, d.writers), n-1)
}
