package separator

import (
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

// division is how many of a service's engines are left to short prompts. In
// the engines' common order these are the first ones.
type division struct {
	// writers is at least one and less than the number of engines.
	writers int
	// moved is when it last changed.
	moved time.Time
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
// on, are left to short prompts. The number follows the demand, so that both
// kinds are equally full by their own measure.
func (s *Separator) divide(now time.Time, service quetzalroad.ServiceName, candidates []quetzalroad.Upstream) ([]quetzalroad.Upstream, int) {
	order := ranked(candidates)
	running := make([]float64, len(order))
	for i, u := range order {
		running[i] = float64(s.load.Estimate(u.Name, now).Running) / float64(max(1, u.Slots))
	}
	sh := &s.divisions[xxhash.Sum64String(string(service))%divisionShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.divisions == nil {
		sh.divisions = make(map[quetzalroad.ServiceName]*division)
	}
	d := sh.divisions[service]
	if d == nil {
		d = &division{writers: len(order) / 2}
		sh.divisions[service] = d
	}
	s.adjust(now, d, running)
	return order, d.writers
}

// adjust moves a division by one engine towards the one that demand asks for.
func (s *Separator) adjust(now time.Time, d *division, running []float64) {
	n := len(running)
	d.writers = min(max(1, d.writers), n-1)
	if now.Sub(d.moved) < s.moveEvery {
		return
	}
	var writing, reading float64
	for i, r := range running {
		if i < d.writers {
			writing += r
		} else {
			reading += r
		}
	}
	fullness := func(writers int) float64 {
		return max(writing/(s.writerFull*float64(writers)), reading/(s.readerFull*float64(n-writers)))
	}
	here := fullness(d.writers)
	if here < s.pressed {
		return
	}
	for _, other := range []int{d.writers - 1, d.writers + 1} {
		if other >= 1 && other < n && fullness(other) < here*moveGain {
			d.writers = other
			d.moved = now
			return
		}
	}
}

// moveGain is how much less full a division must be to be worth a move.
const moveGain = 0.85
