// Package latencytracker tracks the usual latency of each service, against which the latency of one
// upstream tells whether it is slow.
package latencytracker

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// latencyShards is the number of shards of the median latencies.
	latencyShards = 16
	// medianStep is the fraction of itself by which the median moves towards a sample.
	// A fixed step whatever the distance yields a running median, which a few
	// slow upstreams don't shift.
	medianStep = 0.02
)

// Tracker holds the median inter-token latency of each service. The zero value is empty.
type Tracker struct {
	shards [latencyShards]latencyShard
	// frozen is set if Observe has no effect.
	frozen bool
}

// Freeze sets the median of a service and makes Observe have no effect. Zero means that no median is known. It must
// be called before the tracker is shared.
func (t *Tracker) Freeze(s quetzalroad.ServiceName, median time.Duration) {
	t.Observe(s, median)
	t.frozen = true
}

type latencyShard struct {
	// Padding keeps the locks of different shards on separate cache lines.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// medians is guarded by mu and allocated on first use; its values are positive.
	medians map[quetzalroad.ServiceName]time.Duration
}

func (t *Tracker) shard(s quetzalroad.ServiceName) *latencyShard {
	return &t.shards[xxhash.Sum64String(string(s))%latencyShards]
}

// Median returns a service's median latency, or zero if none was observed.
func (t *Tracker) Median(s quetzalroad.ServiceName) time.Duration {
	sh := t.shard(s)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.medians[s]
}

// Observe updates the median with a latency of one of the service's upstreams. It ignores zero.
func (t *Tracker) Observe(s quetzalroad.ServiceName, sample time.Duration) {
	if sample <= 0 || t.frozen {
		return
	}
	sh := t.shard(s)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old := sh.medians[s]
	switch {
	case old == 0:
		if sh.medians == nil {
			sh.medians = make(map[quetzalroad.ServiceName]time.Duration)
		}
		sh.medians[s] = sample
	case sample > old:
		sh.medians[s] = old + time.Duration(medianStep*float64(old))
	case sample < old:
		sh.medians[s] = old - time.Duration(medianStep*float64(old))
	}
}
