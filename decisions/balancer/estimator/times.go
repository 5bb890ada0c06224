package estimator

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// timeShards is the number of shards of the usual token times.
	timeShards = 16
	// timeStep is by which share the usual time moves towards an observation.
	// Moving by a fixed step whatever the distance makes it a running median,
	// which a few slow upstreams don't shift.
	timeStep = 0.02
)

// timeCache keeps the usual token time of each service. The zero value is
// empty.
type timeCache struct {
	shards [timeShards]timeShard
}

type timeShard struct {
	// Shards that several cores lock share no cache line.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// median is guarded by mu and made on first use; its values are positive.
	median map[quetzalroad.ServiceName]time.Duration
}

func (c *timeCache) shard(s quetzalroad.ServiceName) *timeShard {
	return &c.shards[xxhash.Sum64String(string(s))%timeShards]
}

// usual gives the usual token time of a service; zero where none was seen.
func (c *timeCache) usual(s quetzalroad.ServiceName) time.Duration {
	sh := c.shard(s)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.median[s]
}

// learn takes a token time seen on one of the service's upstreams.
func (c *timeCache) learn(s quetzalroad.ServiceName, seen time.Duration) {
	if seen <= 0 {
		return
	}
	sh := c.shard(s)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old := sh.median[s]
	switch {
	case old == 0:
		if sh.median == nil {
			sh.median = make(map[quetzalroad.ServiceName]time.Duration)
		}
		sh.median[s] = seen
	case seen > old:
		sh.median[s] = old + time.Duration(timeStep*float64(old))
	case seen < old:
		sh.median[s] = old - time.Duration(timeStep*float64(old))
	}
}
