package prioritizer

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// holdTimeSmoothing is the weight of a new observation in the average hold time.
const holdTimeSmoothing = 0.1

// tierCounts counts requests by tier.
type tierCounts = [quetzalroad.MaxTiers]int

// peerDemand is the last demand reported by a peer.
type peerDemand struct {
	receivedAt time.Time
	requests   tierCounts
}

// queue is the admission queue of one service.
type queue struct {
	service     quetzalroad.ServiceName
	prioritizer *Prioritizer

	mu sync.Mutex
	// The fields below are guarded by mu. The running requests of all tiers don't
	// exceed the node's quota, except those already running when it shrank.
	tiers [quetzalroad.MaxTiers]tier
	// preempting counts the preempted requests that still hold their slots.
	preempting int
	// peers is the demand reported by the other nodes of the data centre.
	peers map[quetzalroad.NodeName]peerDemand
	// recheckScheduled is true while a recheck timer is pending.
	recheckScheduled bool
}

func (q *queue) demand() tierCounts {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.demandLocked()
}

func (q *queue) demandLocked() tierCounts {
	var counts tierCounts
	for i := range q.tiers {
		t := &q.tiers[i]
		counts[i] = t.running + t.floorRunning + t.waiting
	}
	return counts
}

func (q *queue) setPeerDemand(n quetzalroad.NodeName, d peerDemand) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.peers == nil {
		q.peers = make(map[quetzalroad.NodeName]peerDemand)
	}
	q.peers[n] = d
}

// admit assigns a slot to a request and returns true, or enqueues it and returns false. It refuses the
// request if the queue is full or an interactive request would miss its target.
func (q *queue) admit(now time.Time, w *waiter) (bool, error) {
	c := q.prioritizer.capacity.Capacity(now, q.service)
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &q.tiers[w.tier()]
	if q.admitImmediatelyLocked(now, c, w) {
		return true, nil
	}
	if err := q.evictIfFullLocked(w); err != nil {
		return false, err
	}
	w.cost = q.prioritizer.cost(w.request)
	q.enqueueLocked(w)
	t.recordPeak(now)
	q.scheduleLocked(now, c)
	if w.state != stateWaiting {
		return true, nil
	}
	if !w.request.Profile.Interactive {
		return false, nil
	}
	wait := q.predictWaitLocked(w)
	budget := q.prioritizer.waitBudget(w.request)
	if wait <= budget {
		return false, nil
	}
	t.remove(w)
	w.state = stateInactive
	q.checkRefusalInvariantsLocked(w, quetzalroad.ReasonTargetUnreachable)
	return false, targetUnreachable(wait - budget)
}

// admitImmediatelyLocked assigns a slot if no request waits and the quota isn't
// used up. The team isn't charged for a slot that would otherwise be idle.
func (q *queue) admitImmediatelyLocked(now time.Time, c quetzalroad.Capacity, w *waiter) bool {
	if q.waitingAtOrAboveLocked(quetzalroad.LowestTier) > 0 {
		return false
	}
	quota := q.quotaLocked(now, c)
	if q.runningLocked()+q.reserveLocked(now, w, quota) >= quota.slots {
		return false
	}
	t := &q.tiers[w.tier()]
	t.preemptible = w.request.Profile.Preemptible
	q.assignSlotLocked(now, t, w)
	t.recordPeak(now)
	return true
}

// assignSlotLocked assigns a slot of a tier to a request.
func (q *queue) assignSlotLocked(now time.Time, t *tier, w *waiter) {
	t.running++
	t.grants++
	w.state = stateRunning
	w.startedAt = now
	if w.request.Profile.Preemptible && !w.request.Profile.Interactive {
		if w.preempted == nil {
			w.preempted = make(chan struct{})
		}
		t.preemptibleRunning = append(t.preemptibleRunning, w)
	}
}

// requeue puts a preempted request back into its team's queue. The team isn't charged again.
func (q *queue) requeue(now time.Time, w *waiter) error {
	c := q.prioritizer.capacity.Capacity(now, q.service)
	q.mu.Lock()
	defer q.mu.Unlock()
	w.cost = 0
	q.enqueueLocked(w)
	q.scheduleLocked(now, c)
	return nil
}

func (q *queue) enqueueLocked(w *waiter) {
	w.decided = make(chan struct{})
	w.preempted = nil
	w.state = stateWaiting
	w.grantsBelowAtEnqueue = q.grantsBelowLocked(w.tier())
	t := &q.tiers[w.tier()]
	t.preemptible = w.request.Profile.Preemptible
	t.push(w)
}

func (q *queue) grantsBelowLocked(t quetzalroad.Tier) uint64 {
	var sum uint64
	for i := t + 1; i <= quetzalroad.LowestTier; i++ {
		sum += q.tiers[i].grants
	}
	return sum
}

// wait blocks until the request gets a slot, is evicted or its context ends. A positive maxWait bounds
// the wait.
func (q *queue) wait(ctx context.Context, w *waiter, maxWait time.Duration) error {
	select {
	case <-w.decided:
		return q.decision(w)
	default:
	}
	var expired <-chan time.Time
	if maxWait > 0 {
		timer := time.NewTimer(maxWait)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.decided:
		return q.decision(w)
	case <-expired:
		return q.cancelWait(w, targetUnreachable(0))
	case <-ctx.Done():
		return q.cancelWait(w, cancellationRefusal(ctx))
	}
}

// decision returns the refusal of a waiter that was evicted, or nil if it was assigned a slot.
func (q *queue) decision(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.refusal != nil {
		return w.refusal
	}
	return nil
}

// cancelWait removes a waiter and returns the refusal, unless the waiter was assigned a slot or evicted
// in the meantime.
func (q *queue) cancelWait(w *waiter, refusal *quetzalroad.Refusal) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.refusal != nil {
		return w.refusal
	}
	if w.state != stateWaiting {
		return nil
	}
	q.tiers[w.tier()].remove(w)
	w.state = stateInactive
	q.checkRefusalInvariantsLocked(w, refusal.Reason)
	return refusal
}

func (q *queue) preemptedChannel(w *waiter) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return w.preempted
}

// adjustCharge replaces the estimated cost by the actual one if the team was charged for the request.
func (q *queue) adjustCharge(w *waiter, actual float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.cost == 0 {
		return
	}
	q.tiers[w.tier()].adjustCharge(w.request.Team, actual-w.cost)
}

// done records that the tier was served and releases the slot of the request that ended.
func (q *queue) done(now time.Time, w *waiter) {
	q.mu.Lock()
	q.tiers[w.tier()].lastServed = now
	q.mu.Unlock()
	q.releaseSlot(now, w)
}

// releaseSlot frees the slot of a request and schedules the waiting requests.
func (q *queue) releaseSlot(now time.Time, w *waiter) {
	c := q.prioritizer.capacity.Capacity(now, q.service)
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &q.tiers[w.tier()]
	switch w.state {
	case stateRunning:
		t.running--
		t.removePreemptible(w)
	case statePreempting:
		t.running--
		q.preempting--
	case stateFloor:
		t.floorRunning--
	case stateInactive, stateWaiting:
		return
	}
	w.state = stateInactive
	held := now.Sub(w.startedAt)
	if t.holdTime == 0 {
		t.holdTime = held
	} else {
		t.holdTime += time.Duration(holdTimeSmoothing * float64(held-t.holdTime))
	}
	q.scheduleLocked(now, c)
}

// removePreemptible removes a request that ended from preemptibleRunning.
func (t *tier) removePreemptible(w *waiter) {
	for i, other := range t.preemptibleRunning {
		if other == w {
			t.preemptibleRunning = append(t.preemptibleRunning[:i], t.preemptibleRunning[i+1:]...)
			return
		}
	}
}
