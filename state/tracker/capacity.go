package tracker

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
)

// viewLifetime is how long a view of a service's upstreams is cached. It bounds
// the delay until a drain takes effect on this node.
const viewLifetime = 20 * time.Millisecond

// viewShards is the number of shards of the view cache.
const viewShards = 16

// view holds a service's candidates and capacity at one time. It is not modified once it is stored.
type view struct {
	builtAt       time.Time
	appliedOffset quetzalroad.Offset
	candidates    []quetzalroad.Upstream
	capacity      quetzalroad.Capacity
}

// viewCache caches one view for each service. The zero value is empty.
type viewCache struct {
	shards [viewShards]viewShard
}

type viewShard struct {
	// Padding keeps the locks of different shards on separate cache lines.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// views is guarded by mu and allocated on first use.
	views map[quetzalroad.ServiceName]*view
}

func (c *viewCache) shard(s quetzalroad.ServiceName) *viewShard {
	return &c.shards[xxhash.Sum64String(string(s))%viewShards]
}

func (sh *viewShard) lookup(now time.Time, appliedOffset quetzalroad.Offset, s quetzalroad.ServiceName) *view {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	v := sh.views[s]
	if v == nil || v.appliedOffset != appliedOffset || now.Sub(v.builtAt) >= viewLifetime || now.Before(v.builtAt) {
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

// cachedView returns a view of a service that is less than viewLifetime old.
func (t *Tracker) cachedView(now time.Time, s quetzalroad.ServiceName) *view {
	sh := t.views.shard(s)
	appliedOffset := t.directory.AppliedOffset()
	if v := sh.lookup(now, appliedOffset, s); v != nil {
		return v
	}
	v := t.buildView(now, s)
	v.appliedOffset = appliedOffset
	sh.store(s, v)
	return v
}

// Capacity implements quetzalroad.CapacityEstimator.
func (t *Tracker) Capacity(now time.Time, s quetzalroad.ServiceName) quetzalroad.Capacity {
	return t.cachedView(now, s).capacity
}

// Candidates implements quetzalroad.CapacityEstimator.
func (t *Tracker) Candidates(now time.Time, s quetzalroad.ServiceName, exclude []quetzalroad.UpstreamName) []quetzalroad.Upstream {
	all := t.cachedView(now, s).candidates
	if len(exclude) == 0 {
		return all
	}
	var remaining []quetzalroad.Upstream
	for _, u := range all {
		if !slices.Contains(exclude, u.Name) {
			remaining = append(remaining, u)
		}
	}
	return remaining
}

// candidate is an upstream with its load estimate when a view was built.
type candidate struct {
	upstream quetzalroad.Upstream
	estimate quetzalroad.LoadEstimate
}

// buildView selects the candidates among the nearest usable upstreams, leaving
// out suspect ones as far as maxSuspectShare allows.
func (t *Tracker) buildView(now time.Time, s quetzalroad.ServiceName) *view {
	v := &view{builtAt: now}
	for _, c := range t.withoutSuspects(t.nearest(now, t.directory.UpstreamsOf(s))) {
		v.candidates = append(v.candidates, c.upstream)
		v.capacity.MaxConcurrency += c.upstream.MaxConcurrency
		v.capacity.Unattributed += max(0, c.estimate.Running-c.estimate.LocalRunning-c.estimate.PeerRunning)
	}
	return v
}

// nearest returns the usable upstreams of this data centre, else of the rest of its
// region, else of other regions. The first two are passed over if all their upstreams
// are suspect, and are returned together if other regions have none.
func (t *Tracker) nearest(now time.Time, all []quetzalroad.Upstream) []candidate {
	if t.scope == scopeAll {
		return t.usable(now, all, func(quetzalroad.Upstream) bool { return true })
	}
	local := t.usable(now, all, func(u quetzalroad.Upstream) bool { return u.DataCentre == t.dataCentre })
	if anyHealthy(local) {
		return local
	}
	regional := t.usable(now, all, func(u quetzalroad.Upstream) bool { return u.DataCentre != t.dataCentre && u.Region == t.region })
	if anyHealthy(regional) {
		return regional
	}
	remote := t.usable(now, all, func(u quetzalroad.Upstream) bool { return u.Region != t.region })
	if len(remote) > 0 {
		return remote
	}
	return append(local, regional...)
}

// usable returns the matching upstreams that are neither draining nor leaving.
func (t *Tracker) usable(now time.Time, all []quetzalroad.Upstream, match func(quetzalroad.Upstream) bool) []candidate {
	var list []candidate
	for _, u := range all {
		if u.Draining || !match(u) || (t.drainer != nil && t.drainer.HasPendingDrain(u.Name)) {
			continue
		}
		if e := t.Estimate(u.Name, now); !e.Leaving {
			list = append(list, candidate{upstream: u, estimate: e})
		}
	}
	return list
}

func anyHealthy(candidates []candidate) bool {
	for _, c := range candidates {
		if !c.estimate.Suspect {
			return true
		}
	}
	return false
}

func (t *Tracker) withoutSuspects(all []candidate) []candidate {
	removable := int(t.maxSuspectShare * float64(len(all)))
	var kept []candidate
	for _, c := range all {
		if removable > 0 && c.estimate.Suspect {
			removable--
			continue
		}
		kept = append(kept, c)
	}
	return kept
}
