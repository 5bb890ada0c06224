// Package queuer admits requests first come first served, up to the slots of
// the service. It is the plain baseline of the admitters.
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
	// recheck is how often waiting requests look for room that other nodes
	// left.
	recheck = 50 * time.Millisecond
)

// waiter is one waiting request.
type waiter struct {
	tier quetzalroad.Tier
	// granted is closed when the request may run.
	granted chan struct{}
}

// queue is the queue of one service.
type queue struct {
	service quetzalroad.ServiceName
	mu      sync.Mutex
	// running counts the admitted requests, waiting holds the others in order
	// of arrival. Both are guarded by mu.
	running int
	waiting []*waiter
}

// shard holds the queues of the services that hash to it.
type shard struct {
	mu sync.Mutex
	// queues is guarded by mu and made on first use.
	queues map[quetzalroad.ServiceName]*queue
}

// Queuer is the part that admits.
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

func (q *Queuer) queue(s quetzalroad.ServiceName) *queue {
	sh := &q.shards[xxhash.Sum64String(string(s))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.queues == nil {
		sh.queues = make(map[quetzalroad.ServiceName]*queue)
	}
	one := sh.queues[s]
	if one == nil {
		one = &queue{service: s}
		sh.queues[s] = one
	}
	return one
}

// Admit implements quetzalroad.Admitter.
func (q *Queuer) Admit(ctx context.Context, r *quetzalroad.Request) (quetzalroad.Admission, error) {
	one := q.queue(r.Service.Name)
	w := &waiter{tier: r.Profile.Tier, granted: make(chan struct{})}
	one.mu.Lock()
	one.waiting = append(one.waiting, w)
	one.mu.Unlock()
	q.grant(one)
	ticker := time.NewTicker(recheck)
	defer ticker.Stop()
	for {
		select {
		case <-w.granted:
			return &admission{queuer: q, queue: one}, nil
		case <-ticker.C:
			q.grant(one)
		case <-ctx.Done():
			return q.leave(one, w)
		}
	}
}

// leave takes a waiter out, unless it was granted in the meantime.
func (q *Queuer) leave(one *queue, w *waiter) (quetzalroad.Admission, error) {
	one.mu.Lock()
	for i, have := range one.waiting {
		if have == w {
			one.waiting = append(one.waiting[:i:i], one.waiting[i+1:]...)
			one.mu.Unlock()
			return nil, quetzalroad.NewRefusal(quetzalroad.ReasonTimeout, "the request waited too long", time.Second)
		}
	}
	one.mu.Unlock()
	return &admission{queuer: q, queue: one}, nil
}

func (q *Queuer) grant(one *queue) {
	c := q.capacity.Capacity(time.Now(), one.service)
	one.mu.Lock()
	defer one.mu.Unlock()
	for len(one.waiting) > 0 && one.running < c.MaxConcurrency-c.Unattributed {
		close(one.waiting[0].granted)
		one.waiting = one.waiting[1:]
		one.running++
	}
}

// QueueLengths implements quetzalroad.Admitter.
func (q *Queuer) QueueLengths() [quetzalroad.MaxTiers]int {
	var counts [quetzalroad.MaxTiers]int
	for _, one := range q.queues() {
		one.mu.Lock()
		for _, w := range one.waiting {
			counts[w.tier]++
		}
		one.mu.Unlock()
	}
	return counts
}

func (q *Queuer) queues() []*queue {
	var all []*queue
	for i := range q.shards {
		sh := &q.shards[i]
		sh.mu.Lock()
		for _, one := range sh.queues {
			all = append(all, one)
		}
		sh.mu.Unlock()
	}
	return all
}

// Demand implements quetzalroad.Admitter; the baseline tells nothing.
func (*Queuer) Demand() []quetzalroad.ServiceDemand { return nil }

// UpdatePeer implements quetzalroad.Admitter.
func (*Queuer) UpdatePeer(quetzalroad.NodeName, time.Time, []quetzalroad.ServiceDemand) {}

// RemovePeer implements quetzalroad.Admitter.
func (*Queuer) RemovePeer(quetzalroad.NodeName) {}

// Headroom implements quetzalroad.Admitter; the baseline tells nothing.
func (*Queuer) Headroom(time.Time) []quetzalroad.ServiceHeadroom { return nil }

type admission struct {
	queuer *Queuer
	queue  *queue
}

// Preempted implements quetzalroad.Admission; nothing is ever paused.
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
