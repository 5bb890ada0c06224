// Package aggregator sums up the observations that nodes send to one of them.
package aggregator

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// lifetime is the age up to which a node's observations count. It is some times the interval at
// which nodes send them.
const lifetime = 2 * time.Second

// shardCount is the number of shards of the observations.
const shardCount = 8

// Aggregator holds the last observations of each node. The zero value is empty.
type Aggregator struct {
	shards [shardCount]shard
}

// shard holds the observations of the nodes whose names hash to it.
type shard struct {
	mu sync.Mutex
	// entries is guarded by mu and allocated on first use.
	entries map[quetzalroad.NodeName]entry
}

type entry struct {
	at           time.Time
	observations quetzalroad.Observations
}

// Update replaces the observations of a node.
func (a *Aggregator) Update(n quetzalroad.NodeName, now time.Time, o quetzalroad.Observations) {
	sh := &a.shards[xxhash.Sum64String(string(n))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.entries == nil {
		sh.entries = make(map[quetzalroad.NodeName]entry)
	}
	sh.entries[n] = entry{at: now, observations: o}
}

// Sum returns the sum of the mixes, the mean of the latencies, the last load reports and the last limits
// over all nodes but one. It drops observations that are too old.
func (a *Aggregator) Sum(now time.Time, except quetzalroad.NodeName) quetzalroad.Observations {
	s := summer{now: now, mixes: make(map[quetzalroad.ServiceName]quetzalroad.ServiceMix), upstreams: make(map[quetzalroad.UpstreamName]upstreamTotal), limits: make(map[quetzalroad.UpstreamName]quetzalroad.UpstreamLimit)}
	for i := range a.shards {
		sh := &a.shards[i]
		sh.mu.Lock()
		for n, e := range sh.entries {
			switch {
			case now.Sub(e.at) > lifetime:
				delete(sh.entries, n)
			case n != except:
				s.add(e)
			}
		}
		sh.mu.Unlock()
	}
	return s.observations()
}

// upstreamTotal sums up what nodes saw of an upstream.
type upstreamTotal struct {
	latencySum   time.Duration
	latencyCount int
	// occupancy is that of the report measured last, at measuredAt; zero if there is none.
	occupancy  int
	measuredAt time.Time
}

// summer sums up observations.
type summer struct {
	now       time.Time
	mixes     map[quetzalroad.ServiceName]quetzalroad.ServiceMix
	upstreams map[quetzalroad.UpstreamName]upstreamTotal
	// limits holds what was told last of each upstream.
	limits map[quetzalroad.UpstreamName]quetzalroad.UpstreamLimit
}

func (s *summer) add(e entry) {
	for _, l := range e.observations.Limits {
		l.Age += s.now.Sub(e.at)
		if known, ok := s.limits[l.Upstream]; !ok || l.Age < known.Age {
			s.limits[l.Upstream] = l
		}
	}
	for _, m := range e.observations.Mixes {
		total := s.mixes[m.Service]
		total.Service = m.Service
		total.ShortWork += m.ShortWork
		total.LongWork += m.LongWork
		total.Requests += m.Requests
		s.mixes[m.Service] = total
	}
	for _, o := range e.observations.Upstreams {
		total := s.upstreams[o.Upstream]
		if o.InterTokenLatency > 0 {
			total.latencySum += o.InterTokenLatency
			total.latencyCount++
		}
		if measuredAt := e.at.Add(-o.ReportAge); o.ReportAge > 0 && measuredAt.After(total.measuredAt) {
			total.occupancy, total.measuredAt = o.Occupancy, measuredAt
		}
		s.upstreams[o.Upstream] = total
	}
}

// observations returns the totals, sorted by name.
func (s *summer) observations() quetzalroad.Observations {
	var o quetzalroad.Observations
	for _, m := range s.mixes {
		o.Mixes = append(o.Mixes, m)
	}
	for u, total := range s.upstreams {
		observation := quetzalroad.UpstreamObservation{Upstream: u}
		if total.latencyCount > 0 {
			observation.InterTokenLatency = total.latencySum / time.Duration(total.latencyCount)
		}
		if !total.measuredAt.IsZero() {
			observation.Occupancy, observation.ReportAge = total.occupancy, s.now.Sub(total.measuredAt)
		}
		o.Upstreams = append(o.Upstreams, observation)
	}
	for _, l := range s.limits {
		o.Limits = append(o.Limits, l)
	}
	slices.SortFunc(o.Limits, func(a, b quetzalroad.UpstreamLimit) int { return cmp.Compare(a.Upstream, b.Upstream) })
	slices.SortFunc(o.Mixes, func(a, b quetzalroad.ServiceMix) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(o.Upstreams, func(a, b quetzalroad.UpstreamObservation) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return o
}
