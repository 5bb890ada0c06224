// Package queuer admits requests first come, first served, up to the slots of the service. It is the
// baseline to compare the other admitters with.
package queuer

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotAdmitter, Name: "queuer",
		New: func() kernel.Component { return new(Queuer) },
	})
}

const (
	// shardCount is the number of shards of the queues.
	shardCount = 16
	// recheckInterval is how often a waiting request checks for slots freed by other nodes.
	recheckInterval = 50 * time.Millisecond
)

// waiter is one waiting request.
type waiter struct {
	tier quetzalroad.Tier
	// granted is closed when the request may run.
	granted chan struct{}
}

// serviceQueue is the queue of one service.
type serviceQueue struct {
	service quetzalroad.ServiceName
	mu      sync.Mutex
	// running counts the admitted requests; waiting holds the others in order of
	// arrival. Both are guarded by mu.
	running int
	waiting []*waiter
}

// shard holds the queues of the services that hash to it.
type shard struct {
	mu sync.Mutex
	// queues is guarded by mu and allocated on first use.
	queues map[quetzalroad.ServiceName]*serviceQueue
}

// Queuer is a first-come, first-served admitter.
type Queuer struct {
	capacity quetzalroad.CapacityEstimator
	shards   [shardCount]shard
}

// Declare implements kernel.Component.
func (q *Queuer) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (q *Queuer) Build(n *kernel.Node) error {
	q.capacity = n.CapacityEstimator
	n.Admitter = q
	return nil
}

func (q *Queuer) queue(s quetzalroad.ServiceName) *serviceQueue {
	sh := &q.shards[xxhash.Sum64String(string(s))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.queues == nil {
		sh.queues = make(map[quetzalroad.ServiceName]*serviceQueue)
	}
	queue := sh.queues[s]
	if queue == nil {
		queue = &serviceQueue{service: s}
		sh.queues[s] = queue
	}
	return queue
}

// Admit implements quetzalroad.Admitter.
func (q *Queuer) Admit(ctx context.Context, r *quetzalroad.Request) (quetzalroad.Admission, error) {
	queue := q.queue(r.Service.Name)
	w := &waiter{tier: r.Profile.Tier, granted: make(chan struct{})}
	queue.mu.Lock()
	queue.waiting = append(queue.waiting, w)
	queue.mu.Unlock()
	q.grant(queue)
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.granted:
			return &admission{queuer: q, queue: queue}, nil
		case <-ticker.C:
			q.grant(queue)
		case <-ctx.Done():
			return q.cancelWait(queue, w)
		}
	}
}

// cancelWait removes a waiter and refuses its request, or returns the admission if it was granted in the
// meantime.
func (q *Queuer) cancelWait(queue *serviceQueue, w *waiter) (quetzalroad.Admission, error) {
	queue.mu.Lock()
	for i, other := range queue.waiting {
		if other == w {
			queue.waiting = append(queue.waiting[:i:i], queue.waiting[i+1:]...)
			queue.mu.Unlock()
			return nil, quetzalroad.NewRefusal(quetzalroad.ReasonTimeout, "the request waited too long", time.Second)
		}
	}
	queue.mu.Unlock()
	return &admission{queuer: q, queue: queue}, nil
}

// grant admits waiting requests while slots are free.
func (q *Queuer) grant(queue *serviceQueue) {
	c := q.capacity.Capacity(time.Now(), queue.service)
	queue.mu.Lock()
	defer queue.mu.Unlock()
	for len(queue.waiting) > 0 && queue.running < c.MaxConcurrency-c.Unattributed {
		close(queue.waiting[0].granted)
		queue.waiting = queue.waiting[1:]
		queue.running++
	}
}

// QueueLengths implements quetzalroad.Admitter.
func (q *Queuer) QueueLengths() [quetzalroad.MaxTiers]int {
	var counts [quetzalroad.MaxTiers]int
	for _, queue := range q.queues() {
		queue.mu.Lock()
		for _, w := range queue.waiting {
			counts[w.tier]++
		}
		queue.mu.Unlock()
	}
	return counts
}

func (q *Queuer) queues() []*serviceQueue {
	var all []*serviceQueue
	for i := range q.shards {
		sh := &q.shards[i]
		sh.mu.Lock()
		for _, queue := range sh.queues {
			all = append(all, queue)
		}
		sh.mu.Unlock()
	}
	return all
}

// Demand implements quetzalroad.Admitter; the baseline reports nothing.
func (*Queuer) Demand() []quetzalroad.ServiceDemand { return nil }

// UpdatePeer implements quetzalroad.Admitter.
func (*Queuer) UpdatePeer(quetzalroad.NodeName, time.Time, []quetzalroad.ServiceDemand) {}

// RemovePeer implements quetzalroad.Admitter.
func (*Queuer) RemovePeer(quetzalroad.NodeName) {}

// Headroom implements quetzalroad.Admitter; the baseline reports nothing.
func (*Queuer) Headroom(time.Time) []quetzalroad.ServiceHeadroom { return nil }

type admission struct {
	queuer *Queuer
	queue  *serviceQueue
}

// Preempted implements quetzalroad.Admission; requests are never preempted.
func (a *admission) Preempted() <-chan struct{} { return nil }

// Resume implements quetzalroad.Admission.
func (a *admission) Resume(context.Context) error { return nil }

// Release implements quetzalroad.Admission.
func (a *admission) Release(int) {
	a.queue.mu.Lock()
	a.queue.running--
	a.queue.mu.Unlock()
	a.queuer.grant(a.queue)
}
