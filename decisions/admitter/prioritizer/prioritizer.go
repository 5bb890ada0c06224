// Package prioritizer admits requests by tier.
//
// Higher tiers are served first, and some slots are reserved for them; if those are not enough,
// preemptible requests of lower tiers are preempted. Lower tiers that wait too long run on floor
// slots, which come on top of the regular slots and take none of them. Within a tier, teams share the
// slots by weight, measured in tokens; within a team, the request whose first token is due earliest is
// served first. Interactive requests that can't meet their target are refused at once.
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

// shardCount is the number of shards of the queues.
const shardCount = 16

// settings holds the settings of the queues, which Declare describes.
type settings struct {
	floorShare   float64
	floorAfter   time.Duration
	waitShare    float64
	reserveShare float64
	maxQueued    int
	staticShare  float64
	peerLifetime time.Duration
}

// shard holds the queues of the services that hash to it.
type shard struct {
	// The padding keeps locks used by different cores in different cache lines.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// queues is guarded by mu and allocated on first use.
	queues map[quetzalroad.ServiceName]*queue
}

// Prioritizer is an admitter with a priority queue for each service.
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
	s.Float("floor-share", &p.settings.floorShare, 0.04, 0, 0.5, "Additional slots for requests that have waited too long, as a share of the service's slots.")
	s.Duration("floor-after", &p.settings.floorAfter, 2*time.Second, 10*time.Millisecond, time.Hour, "Wait after which a request may use one of the additional slots of floor-share.")
	s.Float("wait-share", &p.settings.waitShare, 0.6, 0.01, 1, "Share of its first-token target that an interactive request may spend waiting.")
	s.Float("reserve-share", &p.settings.reserveShare, 0.3, 0, 0.9, "Largest share of the slots reserved for higher tiers.")
	s.Int("max-queued", &p.settings.maxQueued, 10000, 1, 1000000, "Maximum number of waiting requests of a service.")
	s.Float("static-share", &p.settings.staticShare, 0.25, 0.01, 1, "Share of the slots divided evenly between the nodes of a data centre, regardless of demand.")
	s.Duration("peer-lifetime", &p.settings.peerLifetime, 30*time.Second, 100*time.Millisecond, time.Minute, "How long the demand reported by a peer is used, unless the peer is removed earlier.")
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

// cost returns the number of tokens that a request is charged against its team's share.
func (p *Prioritizer) cost(r *quetzalroad.Request) float64 {
	return float64(1 + r.PromptTokens + p.lengths.Remaining(r, 0))
}

// waitBudget returns how much longer a request may wait: an interactive one for a share of its target
// from its arrival. It returns zero for others, which wait until their context ends.
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

// UpdatePeer implements quetzalroad.Admitter. A service missing from the report has no
// demand on the peer.
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

// Headroom implements quetzalroad.Admitter. Slots that preemptible requests hold or wait
// for count as free, as these requests can be preempted.
func (p *Prioritizer) Headroom(now time.Time) []quetzalroad.ServiceHeadroom {
	var headroom []quetzalroad.ServiceHeadroom
	for _, q := range p.queues() {
		c := p.capacity.Capacity(now, q.service)
		headroom = append(headroom, quetzalroad.ServiceHeadroom{Service: q.service, Free: q.availableSlots(now, c)})
	}
	return headroom
}

// admission is the slot of one request.
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
