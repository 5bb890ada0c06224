package activitypublisher

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// peerShardCount is the number of shards of the demand at other nodes.
	peerShardCount = 8
	// peerLifetime is the age up to which the demand at another node counts. Nodes send it every
	// 0.5 s by default, so that a few lost messages don't lower the sum.
	peerLifetime = 2 * time.Second
)

// peerDemand holds the last demand at each of the nodes that this one reads the log for. The zero value is empty.
type peerDemand struct {
	shards [peerShardCount]peerShard
}

// peerShard holds the demand at the nodes whose names hash to it.
type peerShard struct {
	mu sync.Mutex
	// entries is guarded by mu and allocated on first use.
	entries map[quetzalroad.NodeName]peerEntry
}

type peerEntry struct {
	received time.Time
	demand   []quetzalroad.ServiceActivity
}

func (p *peerDemand) update(n quetzalroad.NodeName, received time.Time, demand []quetzalroad.ServiceActivity) {
	sh := &p.shards[xxhash.Sum64String(string(n))%peerShardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.entries == nil {
		sh.entries = make(map[quetzalroad.NodeName]peerEntry)
	}
	sh.entries[n] = peerEntry{received: received, demand: demand}
}

// addTo adds the demand to a sum. It drops that of nodes that have not reported lately.
func (p *peerDemand) addTo(sum demandSum, now time.Time) {
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for n, e := range sh.entries {
			if now.Sub(e.received) > peerLifetime {
				delete(sh.entries, n)
				continue
			}
			sum.add(e.demand)
		}
		sh.mu.Unlock()
	}
}
