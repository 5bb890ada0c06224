package throttler

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
)

// pauses holds the upstreams that asked this node to send them nothing for a time. The zero value is empty.
type pauses struct {
	// latestEnd is when the last of all pauses ends, so that without one no lock is taken; nil before the first.
	latestEnd atomic.Pointer[time.Time]
	shards    [shardCount]pauseShard
}

// pauseShard holds the upstreams whose keys hash to it.
type pauseShard struct {
	// Padding keeps the locks of different shards on separate cache lines.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// until holds the end of each pause by the upstream's key: an upstream that is started again is still to be
	// left alone. It is guarded by mu and allocated on first use.
	until map[string]time.Time
}

func (p *pauses) shard(u quetzalroad.UpstreamName) *pauseShard {
	return &p.shards[xxhash.Sum64String(u.Key())%shardCount]
}

// add begins a pause, or extends it, and reports whether it is a new one. It forgets those that have ended.
func (p *pauses) add(now time.Time, u quetzalroad.UpstreamName, until time.Time) bool {
	sh := p.shard(u)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.until == nil {
		sh.until = make(map[string]time.Time)
	}
	for key, end := range sh.until {
		if !end.After(now) {
			delete(sh.until, key)
		}
	}
	end, paused := sh.until[u.Key()]
	if until.After(end) {
		sh.until[u.Key()] = until
	}
	p.extend(until)
	return !paused
}

// extend sets the end of the last pause if it is later than the one before.
func (p *pauses) extend(until time.Time) {
	for {
		latest := p.latestEnd.Load()
		if latest != nil && !until.After(*latest) || p.latestEnd.CompareAndSwap(latest, &until) {
			return
		}
	}
}

// hasAny reports whether any pause lasts.
func (p *pauses) hasAny(now time.Time) bool {
	latest := p.latestEnd.Load()
	return latest != nil && latest.After(now)
}

// count returns the number of pauses that last.
func (p *pauses) count(now time.Time) int {
	count := 0
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for _, end := range sh.until {
			if end.After(now) {
				count++
			}
		}
		sh.mu.Unlock()
	}
	return count
}

// rest returns how long an upstream's pause lasts; zero if it has none.
func (p *pauses) rest(now time.Time, u quetzalroad.UpstreamName) time.Duration {
	if !p.hasAny(now) {
		return 0
	}
	sh := p.shard(u)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return max(0, sh.until[u.Key()].Sub(now))
}
