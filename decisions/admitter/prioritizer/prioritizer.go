// Package prioritizer admits requests by tier.
//
// Higher tiers go first and find room that lower ones may not take; where it
// isn't enough, preemptible work of lower tiers is paused for them. Lower
// tiers that wait too long run on a floor of extra places that take no room
// from anybody. In a tier, teams share by weight in tokens; in a team, the
// earliest deadline goes first. Interactive work that can't make its target
// is refused at once.
package prioritizer

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotAdmitter, Name: "prioritizer", Default: true,
		New: func() kernel.Component { return new(Prioritizer) },
	})
}

// shardCount is the number of shards that lead to the queues.
const shardCount = 16

// settings holds the settings of the queues.
type settings struct {
	floorShare   float64
	floorAfter   time.Duration
	waitShare    float64
	reserveShare float64
	maxQueued    int
	staticShare  float64
	peerLifetime time.Duration
}

// shard leads to the queues of the services that hash to it.
type shard struct {
	// Shards that several cores lock share no cache line.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// queues is guarded by mu and made on first use.
	queues map[quetzalroad.ServiceName]*queue
}

// Prioritizer is the part that admits.
type Prioritizer struct {
	settings settings
	name     quetzalroad.NodeName
	capacity quetzalroad.CapacityEstimator
	lengths  quetzalroad.LengthEstimator
	recorder quetzalroad.Recorder
	shards   [shardCount]shard
}

// Declare implements kernel.Component.
func (p *Prioritizer) Declare(s *configloader.Section) {
	s.Float("floor-share", &p.settings.floorShare, 0.04, 0, 0.5, "Extra places, as a share of the slots, for work that has waited too long.")
	s.Duration("floor-after", &p.settings.floorAfter, 2*time.Second, 10*time.Millisecond, time.Hour, "Wait after which work may run on the floor.")
	s.Float("wait-share", &p.settings.waitShare, 0.6, 0.01, 1, "Part of its target that interactive work may spend waiting.")
	s.Float("reserve-share", &p.settings.reserveShare, 0.3, 0, 0.9, "Largest part of the slots held free for a higher tier.")
	s.Int("max-queued", &p.settings.maxQueued, 10000, 1, 1000000, "Bound on the waiting requests of a service.")
	s.Float("static-share", &p.settings.staticShare, 0.25, 0.01, 1, "Part of the slots that the nodes of a data centre share evenly, whatever the demand.")
	s.Duration("peer-lifetime", &p.settings.peerLifetime, 30*time.Second, 100*time.Millisecond, time.Minute, "How long a peer's demand counts that was not forgotten before.")
}

// Build implements kernel.Component.
func (p *Prioritizer) Build(n *kernel.Node) error {
	p.name = n.Name
	p.capacity = n.CapacityEstimator
	p.lengths = n.LengthEstimator
	p.recorder = n.Recorder
	n.Admitter = p
	return nil
}

func (p *Prioritizer) queue(s quetzalroad.ServiceName) *queue {
	sh := &p.shards[xxhash.Sum64String(string(s))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.queues == nil {
		sh.queues = make(map[quetzalroad.ServiceName]*queue)
	}
	q := sh.queues[s]
	if q == nil {
		q = &queue{service: s, prioritizer: p}
		sh.queues[s] = q
	}
	return q
}

func (p *Prioritizer) queues() []*queue {
	var all []*queue
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for _, q := range sh.queues {
			all = append(all, q)
		}
		sh.mu.Unlock()
	}
	return all
}

// Admit implements quetzalroad.Admitter.
func (p *Prioritizer) Admit(ctx context.Context, r *quetzalroad.Request) (quetzalroad.Admission, error) {
	q := p.queue(r.Service.Name)
	now := time.Now()
	a := &admission{queue: q, waiter: waiter{request: r, enqueuedAt: now}}
	admitted, err := q.admit(now, &a.waiter)
	if err != nil {
		return nil, err
	}
	if admitted {
		p.recorder.ObserveQueueWait(r.Profile.Class, 0)
		return a, nil
	}
	if err := q.wait(ctx, &a.waiter, p.waitBudget(r)); err != nil {
		return nil, err
	}
	p.recorder.ObserveQueueWait(r.Profile.Class, time.Since(now))
	return a, nil
}

// cost is what a request is charged in its team's share, in tokens.
func (p *Prioritizer) cost(r *quetzalroad.Request) float64 {
	return float64(1 + r.PromptTokens + p.lengths.Remaining(r, 0))
}

// waitBudget is how long a request may wait: interactive work for a part of its
// target, other work as long as its caller does.
func (p *Prioritizer) waitBudget(r *quetzalroad.Request) time.Duration {
	if !r.Profile.Interactive {
		return 0
	}
	budget := time.Duration(p.settings.waitShare * float64(r.Profile.FirstTokenTarget))
	return max(time.Millisecond, budget-time.Since(r.Arrived))
}

// QueueLengths implements quetzalroad.Admitter.
func (p *Prioritizer) QueueLengths() [quetzalroad.MaxTiers]int {
	var counts [quetzalroad.MaxTiers]int
	for _, q := range p.queues() {
		q.mu.Lock()
		for t := range q.tiers {
			counts[t] += q.tiers[t].waiting
		}
		q.mu.Unlock()
	}
	return counts
}

// Demand implements quetzalroad.Admitter.
func (p *Prioritizer) Demand() []quetzalroad.ServiceDemand {
	var demand []quetzalroad.ServiceDemand
	for _, q := range p.queues() {
		if requests := q.demand(); requests != (tierCounts{}) {
			demand = append(demand, quetzalroad.ServiceDemand{Service: q.service, Requests: requests})
		}
	}
	return demand
}

// UpdatePeer implements quetzalroad.Admitter. A service that the peer does not name
// is not wanted there.
func (p *Prioritizer) UpdatePeer(n quetzalroad.NodeName, received time.Time, demand []quetzalroad.ServiceDemand) {
	requests := make(map[quetzalroad.ServiceName]tierCounts, len(demand))
	for _, d := range demand {
		requests[d.Service] = d.Requests
		p.queue(d.Service)
	}
	for _, q := range p.queues() {
		q.setPeerDemand(n, peerDemand{receivedAt: received, requests: requests[q.service]})
	}
}

// RemovePeer implements quetzalroad.Admitter.
func (p *Prioritizer) RemovePeer(n quetzalroad.NodeName) {
	for _, q := range p.queues() {
		q.mu.Lock()
		delete(q.peers, n)
		q.mu.Unlock()
	}
}

// Headroom implements quetzalroad.Admitter. What preemptible work holds or waits
// for counts as room, as it can be paused.
func (p *Prioritizer) Headroom(now time.Time) []quetzalroad.ServiceHeadroom {
	var headroom []quetzalroad.ServiceHeadroom
	for _, q := range p.queues() {
		c := p.capacity.Capacity(now, q.service)
		headroom = append(headroom, quetzalroad.ServiceHeadroom{Service: q.service, Free: q.availableSlots(now, c)})
	}
	return headroom
}

// admission is the place of one request.
type admission struct {
	queue  *queue
	waiter waiter
	once   sync.Once
}

// Preempted implements quetzalroad.Admission.
func (a *admission) Preempted() <-chan struct{} {
	return a.queue.preemptedChannel(&a.waiter)
}

// Resume implements quetzalroad.Admission.
func (a *admission) Resume(ctx context.Context) error {
	a.queue.releaseSlot(time.Now(), &a.waiter)
	if err := a.queue.requeue(time.Now(), &a.waiter); err != nil {
		return err
	}
	return a.queue.wait(ctx, &a.waiter, 0)
}

// Release implements quetzalroad.Admission.
func (a *admission) Release(tokens int) {
	a.once.Do(func() {
		now := time.Now()
		a.queue.adjustCharge(&a.waiter, float64(1+a.waiter.request.PromptTokens+tokens))
		a.queue.done(now, &a.waiter)
	})
}
