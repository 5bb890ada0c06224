package estimator

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

// latencyCache holds the median inter-token latency of each service. The zero
// value is empty.
type latencyCache struct {
	shards [latencyShards]latencyShard
}

type latencyShard struct {
	// Padding keeps the locks of different shards on separate cache lines.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// medians is guarded by mu and allocated on first use; its values are positive.
	medians map[quetzalroad.ServiceName]time.Duration
}

func (c *latencyCache) shard(s quetzalroad.ServiceName) *latencyShard {
	return &c.shards[xxhash.Sum64String(string(s))%latencyShards]
}

// median returns a service's median latency, or zero if none was observed.
func (c *latencyCache) median(s quetzalroad.ServiceName) time.Duration {
	sh := c.shard(s)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.medians[s]
}

// observe updates the median with a latency of one of the service's upstreams.
func (c *latencyCache) observe(s quetzalroad.ServiceName, sample time.Duration) {
	if sample <= 0 {
		return
	}
	sh := c.shard(s)
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
