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
	// count is the number of upstreams in all shards, so that without one no lock is taken.
	count  atomic.Int64
	shards [shardCount]pauseShard
}

// pauseShard holds the upstreams whose names hash to it.
type pauseShard struct {
	// Padding keeps the locks of different shards on separate cache lines.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// until holds the end of each pause. It is guarded by mu and allocated on first use.
	until map[quetzalroad.UpstreamName]time.Time
}

func (p *pauses) shard(u quetzalroad.UpstreamName) *pauseShard {
	return &p.shards[xxhash.Sum64String(string(u))%shardCount]
}

// add begins a pause, or extends it, and reports whether it is a new one. It forgets those that have ended.
func (p *pauses) add(now time.Time, u quetzalroad.UpstreamName, until time.Time) bool {
	sh := p.shard(u)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.until == nil {
		sh.until = make(map[quetzalroad.UpstreamName]time.Time)
	}
	before := len(sh.until)
	for name, end := range sh.until {
		if !end.After(now) {
			delete(sh.until, name)
		}
	}
	end, paused := sh.until[u]
	if until.After(end) {
		sh.until[u] = until
	}
	p.count.Add(int64(len(sh.until) - before))
	return !paused
}

// rest returns how long an upstream's pause lasts; zero if it has none.
func (p *pauses) rest(now time.Time, u quetzalroad.UpstreamName) time.Duration {
	if p.count.Load() == 0 {
		return 0
	}
	sh := p.shard(u)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	end, paused := sh.until[u]
	if !paused {
		return 0
	}
	if !end.After(now) {
		delete(sh.until, u)
		p.count.Add(-1)
		return 0
	}
	return end.Sub(now)
}
