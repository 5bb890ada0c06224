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
	return candidates[r.turn(request.Service.Name, 1)%len(candidates)]
}

// turn returns the number of choices made for a service, and adds to it.
func (r *Rotator) turn(name quetzalroad.ServiceName, added int) int {
	sh := &r.shards[xxhash.Sum64String(string(name))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.counts == nil {
		sh.counts = make(map[quetzalroad.ServiceName]int)
	}
	count := sh.counts[name]
	sh.counts[name] = count + added
	return count
}

// ExplainChoice implements quetzalroad.ChoiceExplainer.
func (r *Rotator) ExplainChoice(_ time.Time, request *quetzalroad.Request, candidates []quetzalroad.Upstream) quetzalroad.ChoiceExplanation {
	next := r.turn(request.Service.Name, 0) % len(candidates)
	x := quetzalroad.ChoiceExplanation{Draws: 1}
	for i, u := range candidates {
		c := quetzalroad.CandidateCost{Upstream: u, CanBeChosen: i == next}
		if c.CanBeChosen {
			c.Chance = 1
		}
		x.Candidates = append(x.Candidates, c)
	}
	return x
}
