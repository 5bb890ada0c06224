package tracker

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
)

// viewLifetime is how long a view of a service's upstreams is used again. It
// bounds how late a drain takes hold on this node.
const viewLifetime = 20 * time.Millisecond

// viewShards is the number of shards of the cache of views.
const viewShards = 16

// view is what a node sees of a service's upstreams at one time. It is not
// changed once it is stored.
type view struct {
	at         time.Time
	applied    quetzalroad.Offset
	candidates []quetzalroad.Upstream
	capacity   quetzalroad.Capacity
}

// viewCache keeps one view a service, in shards. The zero value is empty.
type viewCache struct {
	shards [viewShards]viewShard
}

type viewShard struct {
	// Shards that several cores lock share no cache line.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// views is guarded by mu and made on first use.
	views map[quetzalroad.ServiceName]*view
}

func (c *viewCache) shard(s quetzalroad.ServiceName) *viewShard {
	return &c.shards[xxhash.Sum64String(string(s))%viewShards]
}

func (sh *viewShard) fresh(now time.Time, applied quetzalroad.Offset, s quetzalroad.ServiceName) *view {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	v := sh.views[s]
	if v == nil || v.applied != applied || now.Sub(v.at) >= viewLifetime || now.Before(v.at) {
		return nil
	}
	return v
}

func (sh *viewShard) store(s quetzalroad.ServiceName, v *view) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.views == nil {
		sh.views = make(map[quetzalroad.ServiceName]*view)
	}
	sh.views[s] = v
}

// view gives a view of a service that is at most viewLifetime old.
func (t *Tracker) view(now time.Time, s quetzalroad.ServiceName) *view {
	sh := t.views.shard(s)
	applied := t.directory.AppliedOffset()
	if v := sh.fresh(now, applied, s); v != nil {
		return v
	}
	v := t.look(now, s)
	v.applied = applied
	sh.store(s, v)
	return v
}

// Capacity implements quetzalroad.CapacityEstimator.
func (t *Tracker) Capacity(now time.Time, s quetzalroad.ServiceName) quetzalroad.Capacity {
	return t.view(now, s).capacity
}

// Candidates implements quetzalroad.CapacityEstimator.
func (t *Tracker) Candidates(now time.Time, s quetzalroad.ServiceName, exclude []quetzalroad.UpstreamName) []quetzalroad.Upstream {
	all := t.view(now, s).candidates
	if len(exclude) == 0 {
		return all
	}
	var left []quetzalroad.Upstream
	for _, u := range all {
		if !slices.Contains(exclude, u.Name) {
			left = append(left, u)
		}
	}
	return left
}

// seen is an upstream as it looked when a view was formed.
type seen struct {
	upstream quetzalroad.Upstream
	estimate quetzalroad.LoadEstimate
}

// look forms a view: the nearest place that has usable upstreams, less the
// suspect ones as far as the share allows.
func (t *Tracker) look(now time.Time, s quetzalroad.ServiceName) *view {
	v := &view{at: now}
	for _, x := range t.withoutSuspects(t.nearest(now, t.directory.UpstreamsOf(s))) {
		v.candidates = append(v.candidates, x.upstream)
		v.capacity.MaxConcurrency += x.upstream.MaxConcurrency
		v.capacity.Unattributed += max(0, x.estimate.Running-x.estimate.LocalRunning-x.estimate.PeerRunning)
	}
	return v
}

// nearest gives the usable upstreams of this data centre, else of the region,
// else of all.
func (t *Tracker) nearest(now time.Time, all []quetzalroad.Upstream) []seen {
	if t.reach == reachAll {
		return t.ring(now, all, func(quetzalroad.Upstream) bool { return true })
	}
	here := t.ring(now, all, func(u quetzalroad.Upstream) bool { return u.DataCentre == t.place })
	if anySound(here) {
		return here
	}
	region := t.ring(now, all, func(u quetzalroad.Upstream) bool { return u.DataCentre != t.place && u.Region == t.region })
	if anySound(region) {
		return region
	}
	far := t.ring(now, all, func(u quetzalroad.Upstream) bool { return u.Region != t.region })
	if len(far) > 0 {
		return far
	}
	return append(here, region...)
}

// ring gives the usable upstreams that are in some places.
func (t *Tracker) ring(now time.Time, all []quetzalroad.Upstream, in func(quetzalroad.Upstream) bool) []seen {
	var some []seen
	for _, u := range all {
		if u.Draining || !in(u) || (t.drains != nil && t.drains.HasPendingDrain(u.Name)) {
			continue
		}
		if e := t.Estimate(u.Name, now); !e.Leaving {
			some = append(some, seen{upstream: u, estimate: e})
		}
	}
	return some
}

func anySound(ring []seen) bool {
	for _, x := range ring {
		if !x.estimate.Suspect {
			return true
		}
	}
	return false
}

func (t *Tracker) withoutSuspects(all []seen) []seen {
	allowed := int(t.suspectMax * float64(len(all)))
	var left []seen
	for _, x := range all {
		if allowed > 0 && x.estimate.Suspect {
			allowed--
			continue
		}
		left = append(left, x)
	}
	return left
}
