package estimator

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// latencyShards is the number of shards of the usual token times.
	latencyShards = 16
	// medianStep is by which share the usual time moves towards an observation.
	// Moving by a fixed step whatever the distance makes it a running median,
	// which a few slow upstreams don't shift.
	medianStep = 0.02
)

// latencyCache keeps the usual token time of each service. The zero value is
// empty.
type latencyCache struct {
	shards [latencyShards]latencyShard
}

type latencyShard struct {
	// Shards that several cores lock share no cache line.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// medians is guarded by mu and made on first use; its values are positive.
	medians map[quetzalroad.ServiceName]time.Duration
}

func (c *latencyCache) shard(s quetzalroad.ServiceName) *latencyShard {
	return &c.shards[xxhash.Sum64String(string(s))%latencyShards]
}

// median gives the usual token time of a service; zero where none was seen.
func (c *latencyCache) median(s quetzalroad.ServiceName) time.Duration {
	sh := c.shard(s)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.medians[s]
}

// observe takes a token time seen on one of the service's upstreams.
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
