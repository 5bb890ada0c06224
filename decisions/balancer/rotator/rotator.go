// Package rotator chooses upstreams by round robin. It is the baseline against
// which the other balancers are compared.
package rotator

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotBalancer, Name: "rotator",
		New: func() kernel.Component { return new(Rotator) },
	})
}

// shardCount is the number of shards of the counters.
const shardCount = 16

// shard holds the counters of the services that hash to it.
type shard struct {
	mu sync.Mutex
	// counts holds the number of choices made for each service, guarded by mu.
	counts map[quetzalroad.ServiceName]int
}

// Rotator is a round-robin balancer. The zero value is ready for use.
type Rotator struct {
	shards [shardCount]shard
}

// Declare implements kernel.Component.
func (r *Rotator) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (r *Rotator) Build(n *kernel.Node) error {
	n.Balancer = r
	return nil
}

// Choose implements quetzalroad.Balancer.
func (r *Rotator) Choose(_ time.Time, request *quetzalroad.Request, candidates []quetzalroad.Upstream) quetzalroad.Upstream {
	name := request.Service.Name
	sh := &r.shards[xxhash.Sum64String(string(name))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.counts == nil {
		sh.counts = make(map[quetzalroad.ServiceName]int)
	}
	count := sh.counts[name]
	sh.counts[name] = count + 1
	return candidates[count%len(candidates)]
}
