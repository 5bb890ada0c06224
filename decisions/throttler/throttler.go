// Package throttler keeps the requests of all nodes to an upstream within the rate that it states in its
// responses, without messages for each request.
//
// Each node takes a share of the rate and keeps to it with a token bucket. If there are so many nodes
// that a share would be too small to be of use, only some nodes, the owners of the
// upstream, get such a share. They are chosen by rendezvous hashing, so that all nodes agree on them as
// far as they know the same nodes. The others get a small rest of the rate, from which they learn that
// the limit has changed or ended.
package throttler

import (
	"expvar"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotThrottler, Name: "throttler", Default: true,
		New: func() kernel.Component { return new(Throttler) },
	})
}

// shardCount is the number of shards of the upstreams with limits.
const shardCount = 16

// Throttler implements quetzalroad.Throttler. Declare describes its settings.
type Throttler struct {
	node           *kernel.Node
	logger         *slog.Logger
	minOwnerRate   float64
	minRate        float64
	gossipLifetime time.Duration
	urgentTime     time.Duration
	// limited counts the upstreams that state a limit, so that without one no lock is taken.
	limited atomic.Int64
	shards  [shardCount]shard
	pauses  pauses
	refused refusals
}

// shard holds the upstreams whose names hash to it.
type shard struct {
	// Padding keeps the locks of different shards on separate cache lines.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// upstreams is guarded by mu and allocated on first use. It holds those that state a limit, or lately
	// did.
	upstreams map[quetzalroad.UpstreamName]*upstreamState
}

// upstreamState is what a node knows about one upstream's limit.
type upstreamState struct {
	limit quetzalroad.RateLimit
	// toldAt is when a response told the limit, to this node or to another one.
	toldAt time.Time
	bucket bucket
	// sharedBy is the list of nodes for which the bucket's rate was computed.
	sharedBy []quetzalroad.NodeName
}

// Declare implements kernel.Component.
func (t *Throttler) Declare(s *configloader.Section) {
	s.Float("owner-rate", &t.minOwnerRate, 0.3, 0.001, 1000, "Least share of an upstream's stated limit, in requests a second, that is worth a node's while. If there are too many nodes for that, fewer of them send to the upstream.")
	s.Float("least-rate", &t.minRate, 0.2, 0.001, 1000, "Rate, in requests a second over all nodes, at which an upstream is tried that states a lower limit, to find out whether it still does.")
	s.Duration("told-for", &t.gossipLifetime, 5*time.Second, time.Millisecond, time.Minute, "How long a node tells its peers of a limit after it was told it.")
	s.Duration("urgent-for", &t.urgentTime, time.Second, time.Millisecond, time.Minute, "How long less urgent requests get no part of a limit after a more urgent one was refused for want of it.")
}

// Build implements kernel.Component.
func (t *Throttler) Build(n *kernel.Node) error {
	t.node = n
	t.logger = n.Logger
	n.Throttler = t
	n.Vars.Set("rate-limited-upstreams", expvar.Func(func() any { return t.limited.Load() }))
	n.Vars.Set("paused-upstreams", expvar.Func(func() any { return t.pauses.count(time.Now()) }))
	return nil
}

func (t *Throttler) shard(u quetzalroad.UpstreamName) *shard {
	return &t.shards[xxhash.Sum64String(string(u))%shardCount]
}

// UpdateLimit implements quetzalroad.Throttler.
func (t *Throttler) UpdateLimit(now time.Time, u quetzalroad.UpstreamName, l quetzalroad.RateLimit) {
	if !l.IsSet && !t.HasLimits() {
		return
	}
	t.update(now, u, l, now)
}

// UpdatePeerLimits implements quetzalroad.Throttler.
func (t *Throttler) UpdatePeerLimits(now time.Time, limits []quetzalroad.UpstreamLimit) {
	for _, l := range limits {
		t.update(now, l.Upstream, l.Limit, now.Add(-l.Age))
	}
}

// update takes over what an upstream told at a time, unless it told something else later.
func (t *Throttler) update(now time.Time, u quetzalroad.UpstreamName, l quetzalroad.RateLimit, toldAt time.Time) {
	sh := t.shard(u)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.upstreams[u]
	if s == nil {
		if !l.IsSet {
			return
		}
		s = new(upstreamState)
		sh.add(now, u, s, t)
	}
	if toldAt.Before(s.toldAt) {
		return
	}
	s.toldAt = toldAt
	if s.limit == l {
		return
	}
	t.logger.Info("rate limit of upstream changed", "upstream", string(u), "limited", l.IsSet, "per-second", l.PerSecond, "before", s.limit.PerSecond, "age", now.Sub(toldAt))
	t.countLimited(s.limit, l)
	s.limit = l
	s.sharedBy = nil
}

// countLimited keeps the number of upstreams that state a limit.
func (t *Throttler) countLimited(before, after quetzalroad.RateLimit) {
	switch {
	case after.IsSet && !before.IsSet:
		t.limited.Add(1)
	case before.IsSet && !after.IsSet:
		t.limited.Add(-1)
	}
}

// maxStateAge is the age at which an upstream is forgotten of which nobody heard. It is gone, or no
// requests come.
const maxStateAge = 10 * time.Minute

// add adds an upstream and forgets those of which nobody heard for a long time.
func (sh *shard) add(now time.Time, u quetzalroad.UpstreamName, s *upstreamState, t *Throttler) {
	if sh.upstreams == nil {
		sh.upstreams = make(map[quetzalroad.UpstreamName]*upstreamState)
	}
	for name, other := range sh.upstreams {
		if now.Sub(other.toldAt) > maxStateAge {
			t.countLimited(other.limit, quetzalroad.RateLimit{})
			delete(sh.upstreams, name)
		}
	}
	sh.upstreams[u] = s
}

// withBucket calls f with the bucket of an upstream that states a limit, refilled, under its shard's lock.
// It returns false without calling f if the upstream states none.
func (t *Throttler) withBucket(now time.Time, u quetzalroad.UpstreamName, f func(b *bucket)) bool {
	if !t.HasLimits() {
		return false
	}
	nodes := t.nodes()
	sh := t.shard(u)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.upstreams[u]
	if s == nil || !s.limit.IsSet {
		return false
	}
	if !sameList(s.sharedBy, nodes) {
		s.sharedBy = nodes
		s.bucket.setShare(now, t.shareOf(u, s.limit, nodes), rand.Float64())
	}
	s.bucket.refill(now)
	f(&s.bucket)
	return true
}

// nodes returns the nodes that share the limits.
func (t *Throttler) nodes() []quetzalroad.NodeName {
	if t.node.Fleet != nil {
		if nodes := t.node.Fleet.Nodes(); len(nodes) > 0 {
			return nodes
		}
	}
	return []quetzalroad.NodeName{t.node.Name}
}

// sameList reports whether two lists are the same slice. A list of nodes is never modified.
func sameList(a, b []quetzalroad.NodeName) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// Pause implements quetzalroad.Throttler.
func (t *Throttler) Pause(now time.Time, u quetzalroad.UpstreamName, d time.Duration) {
	if d > 0 && t.pauses.add(now, u, now.Add(d)) {
		t.logger.Info("upstream asked for a pause", "upstream", string(u), "for", d)
	}
}

// HasLimits implements quetzalroad.Throttler.
func (t *Throttler) HasLimits() bool {
	return t.limited.Load() > 0 || t.pauses.hasAny(time.Now())
}

// State implements quetzalroad.Throttler.
func (t *Throttler) State(now time.Time, u quetzalroad.UpstreamName) quetzalroad.ThrottleState {
	if t.pauses.rest(now, u) > 0 {
		return quetzalroad.ThrottleExhausted
	}
	state := quetzalroad.ThrottleNone
	t.withBucket(now, u, func(b *bucket) {
		state = b.state()
	})
	return state
}

// Acquire implements quetzalroad.Throttler.
func (t *Throttler) Acquire(now time.Time, s quetzalroad.ServiceName, tier quetzalroad.Tier, u quetzalroad.UpstreamName) bool {
	if t.pauses.rest(now, u) > 0 {
		return false
	}
	granted := true
	t.withBucket(now, u, func(b *bucket) {
		granted = b.tokens >= 1 && !t.refused.hasMoreUrgent(now, s, tier, t.urgentTime)
		if granted {
			b.tokens--
		}
	})
	return granted
}

// pauseSpread is the fraction of a pause over which the return of refused requests is spread after it.
const pauseSpread = 4

// RetryAfter implements quetzalroad.Throttler.
func (t *Throttler) RetryAfter(now time.Time, s quetzalroad.ServiceName, tier quetzalroad.Tier, candidates []quetzalroad.Upstream) time.Duration {
	soonest, rate := maxRetryAfter, 0.0
	// soonestPause is the shortest pause of an upstream without a limit; zero if there is none.
	soonestPause := time.Duration(0)
	for _, u := range candidates {
		pause := t.pauses.rest(now, u.Name)
		limited := t.withBucket(now, u.Name, func(b *bucket) {
			soonest = min(soonest, max(b.untilToken(), pause))
			rate += b.rate
		})
		if !limited && pause > 0 && (soonestPause == 0 || pause < soonestPause) {
			soonestPause = pause
		}
	}
	if soonestPause > 0 && (rate <= 0 || soonestPause < soonest) {
		// A part of the time is random, so that requests don't come back at once.
		return soonestPause + rand.N(soonestPause/pauseSpread+1)
	}
	return t.refused.reserve(now, s, tier, soonest, rate)
}

// LocalLimits implements quetzalroad.Throttler.
func (t *Throttler) LocalLimits(now time.Time) []quetzalroad.UpstreamLimit {
	var limits []quetzalroad.UpstreamLimit
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for u, s := range sh.upstreams {
			if age := now.Sub(s.toldAt); age < t.gossipLifetime {
				limits = append(limits, quetzalroad.UpstreamLimit{Upstream: u, Limit: s.limit, Age: max(age, 0)})
			}
		}
		sh.mu.Unlock()
	}
	return limits
}
