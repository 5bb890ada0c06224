package tracker

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// viewLifetime is how long a view of a service's upstreams is used again. It
// bounds how late a drain takes hold on this node.
const viewLifetime = 10 * time.Millisecond

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
	applied := t.directory.Applied()
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

// look forms a view: the nearest place that has usable upstreams, less the
// suspect ones as far as the share allows.
func (t *Tracker) look(now time.Time, s quetzalroad.ServiceName) *view {
	v := &view{at: now}
	usable := t.nearest(now, t.directory.UpstreamsOf(s))
	v.candidates = t.withoutSuspects(now, usable)
	for _, u := range v.candidates {
		e := t.Estimate(u.Name, now)
		v.capacity.Slots += u.Slots
		v.capacity.Unexplained += max(0, e.Running-e.Own-e.Told)
	}
	return v
}

// nearest gives the usable upstreams of this data centre, else of the region,
// else of all.
func (t *Tracker) nearest(now time.Time, all []quetzalroad.Upstream) []quetzalroad.Upstream {
	var here, region, far []quetzalroad.Upstream
	for _, u := range all {
		switch {
		case u.Draining || t.drains.Marked(u.Name) || t.Estimate(u.Name, now).Leaving:
		case u.DataCentre == t.place:
			here = append(here, u)
		case u.Region == t.region:
			region = append(region, u)
		default:
			far = append(far, u)
		}
	}
	for _, ring := range [][]quetzalroad.Upstream{here, region} {
		if t.anySound(now, ring) {
			return ring
		}
	}
	if len(far) > 0 {
		return far
	}
	return append(here, region...)
}

func (t *Tracker) anySound(now time.Time, ring []quetzalroad.Upstream) bool {
	for _, u := range ring {
		if !t.Estimate(u.Name, now).Suspect {
			return true
		}
	}
	return false
}

func (t *Tracker) withoutSuspects(now time.Time, all []quetzalroad.Upstream) []quetzalroad.Upstream {
	allowed := int(t.suspectMax * float64(len(all)))
	var left []quetzalroad.Upstream
	for _, u := range all {
		if allowed > 0 && t.Estimate(u.Name, now).Suspect {
			allowed--
			continue
		}
		left = append(left, u)
	}
	return left
}
