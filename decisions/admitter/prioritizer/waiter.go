package prioritizer

import (
	"container/heap"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// waiterState is the admission state of a request.
type waiterState int

const (
	// stateInactive applies before a request is enqueued and after it has ended.
	stateInactive waiterState = iota
	stateWaiting
	// stateRunning means that the request holds a slot of the node's quota.
	stateRunning
	// stateFloor means that the request holds a floor slot.
	stateFloor
	// statePreempting means that the request is preempted and still holds its slot.
	statePreempting
)

// waiter is one request in a queue. All fields except request, enqueuedAt and cost
// are guarded by the queue's lock.
type waiter struct {
	request    *quetzalroad.Request
	enqueuedAt time.Time
	// cost is the number of tokens charged to the team when the request leaves the queue for a slot;
	// zero for an immediate admission and after a preemption.
	cost  float64
	state waiterState
	// decided is closed when the request is assigned a slot or evicted, and replaced each time it waits.
	decided chan struct{}
	// refusal is set before decided is closed if the request was evicted.
	refusal *quetzalroad.Refusal
	// preempted is closed when the request must release its slot. It is replaced with each new slot
	// and nil while the request can't be preempted.
	preempted chan struct{}
	// startedAt is when the request was last assigned a slot.
	startedAt time.Time
	// index is its position in its team's heap while it waits.
	index int
	// grantsBelowAtEnqueue is the number of grants to lower tiers when the request was enqueued.
	grantsBelowAtEnqueue uint64
}

func (w *waiter) tier() quetzalroad.Tier {
	return min(max(w.request.Profile.Tier, 0), quetzalroad.LowestTier)
}

// teamQueue holds the waiting requests of one team in a tier, by first-token deadline.
type teamQueue struct {
	team quetzalroad.TeamName
	// virtualTime is the work charged to the team, divided by its weight.
	virtualTime float64
	waiters     deadlineHeap
	// index is the queue's position among the tier's active queues while it has waiters.
	index int
}

// teamQueueHeap is a heap with the least virtual time at the root.
type teamQueueHeap []*teamQueue

// Len implements heap.Interface.
func (h teamQueueHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h teamQueueHeap) Less(i, j int) bool {
	if h[i].virtualTime != h[j].virtualTime {
		return h[i].virtualTime < h[j].virtualTime
	}
	return h[i].team < h[j].team
}

// Swap implements heap.Interface.
func (h teamQueueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *teamQueueHeap) Push(x any) {
	q := x.(*teamQueue)
	q.index = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *teamQueueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// deadlineHeap is a heap with the earliest first-token deadline at the root.
type deadlineHeap []*waiter

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool {
	return firstTokenDeadline(h[i]).Before(firstTokenDeadline(h[j]))
}

// firstTokenDeadline returns when a request's first token is due.
func firstTokenDeadline(w *waiter) time.Time {
	return w.request.Arrived.Add(w.request.Profile.FirstTokenTarget)
}

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// tier is one tier of a queue. All its fields are guarded by the queue's lock.
type tier struct {
	// running counts the slots held, excluding floor slots.
	running int
	// floorRunning counts the floor slots held.
	floorRunning int
	// waiting counts the waiters of all team queues.
	waiting int
	// teamQueues holds the queues by team; one that becomes empty is removed, unless
	// its virtual time is ahead of the tier's.
	teamQueues map[quetzalroad.TeamName]*teamQueue
	// active holds the team queues with waiters.
	active teamQueueHeap
	// arrivals holds the waiters in order of arrival; those that no longer wait are
	// removed when they reach the front.
	arrivals []*waiter
	// virtualTime is the virtual time of the last team queue served; it never decreases.
	virtualTime float64
	// holdTime is a moving average of how long a slot is held.
	holdTime time.Duration
	// peak is the recent maximum number of running and waiting requests, which
	// decays with time.
	peak   float64
	peakAt time.Time
	// grants counts the slots assigned, excluding floor slots.
	grants uint64
	// preemptibleRunning holds the running requests that may be preempted, in the
	// order in which they started.
	preemptibleRunning []*waiter
	// preemptible reports whether the request that entered the tier last was preemptible.
	preemptible bool
	// lastServed is when a request of the tier last ended or was assigned a floor slot.
	lastServed time.Time
}

// push adds a waiter to its team's queue.
func (t *tier) push(w *waiter) {
	if t.teamQueues == nil {
		t.teamQueues = make(map[quetzalroad.TeamName]*teamQueue)
	}
	name := w.request.Team.Name
	q := t.teamQueues[name]
	if q == nil {
		q = &teamQueue{team: name}
		t.teamQueues[name] = q
	}
	if len(q.waiters) == 0 {
		q.virtualTime = max(q.virtualTime, t.virtualTime)
		heap.Push(&t.active, q)
	}
	heap.Push(&q.waiters, w)
	t.trimArrivals()
	t.arrivals = append(t.arrivals, w)
	t.waiting++
}

// trimArrivals removes the waiters at the front of arrivals that no longer wait.
func (t *tier) trimArrivals() {
	for len(t.arrivals) > 0 && t.arrivals[0].state != stateWaiting {
		t.arrivals[0] = nil
		t.arrivals = t.arrivals[1:]
	}
}

// remove removes a waiter from its team's queue.
func (t *tier) remove(w *waiter) {
	q := t.teamQueues[w.request.Team.Name]
	heap.Remove(&q.waiters, w.index)
	t.waiting--
	t.deactivateIfEmpty(q)
}

// deactivateIfEmpty removes an empty queue from the active ones, and deletes it
// unless its virtual time is ahead of the tier's.
func (t *tier) deactivateIfEmpty(q *teamQueue) {
	if len(q.waiters) > 0 {
		return
	}
	heap.Remove(&t.active, q.index)
	if q.virtualTime <= t.virtualTime {
		delete(t.teamQueues, q.team)
	}
}

// next returns the waiter to serve next, from the queue with the least virtual
// time. The tier must have waiting requests.
func (t *tier) next() *waiter {
	return t.active[0].waiters[0]
}

// pop removes the next waiter and charges its team.
func (t *tier) pop() *waiter {
	q := t.active[0]
	w := heap.Pop(&q.waiters).(*waiter)
	t.waiting--
	t.virtualTime = max(t.virtualTime, q.virtualTime)
	q.virtualTime += w.cost / weight(w.request.Team)
	if len(q.waiters) > 0 {
		heap.Fix(&t.active, q.index)
	} else {
		t.deactivateIfEmpty(q)
	}
	return w
}

// adjustCharge adds delta tokens to what a team was charged.
func (t *tier) adjustCharge(team quetzalroad.Team, delta float64) {
	q := t.teamQueues[team.Name]
	if q == nil {
		return
	}
	q.virtualTime += delta / weight(team)
	if len(q.waiters) > 0 {
		heap.Fix(&t.active, q.index)
	}
}

func weight(t quetzalroad.Team) float64 {
	return float64(max(1, t.Weight))
}

// longestWait returns the longest current wait in the tier.
func (t *tier) longestWait(now time.Time) time.Duration {
	t.trimArrivals()
	if len(t.arrivals) == 0 {
		return 0
	}
	return now.Sub(t.arrivals[0].enqueuedAt)
}

// makesProgress reports whether the tier needs no floor slot: it was served within the given time, holds
// a slot that can't be preempted or is being preempted, or has run a preemptible request for that time.
// A slot that is assigned and soon lost to preemption doesn't count as progress.
func (t *tier) makesProgress(now time.Time, within time.Duration) bool {
	if now.Sub(t.lastServed) < within || t.running > len(t.preemptibleRunning) {
		return true
	}
	return len(t.preemptibleRunning) > 0 && now.Sub(t.preemptibleRunning[0].startedAt) >= within
}

// peakHalfLife is the time after which a past peak has decayed to half.
const peakHalfLife = 8 * time.Second

// recordPeak updates the recent peak of running and waiting requests.
func (t *tier) recordPeak(now time.Time) {
	t.peak = max(t.decayedPeak(now), float64(t.running+t.waiting))
	t.peakAt = now
}

// decayedPeak returns the peak divided by one plus its age in half-lives, or zero after eight of them.
func (t *tier) decayedPeak(now time.Time) float64 {
	age := now.Sub(t.peakAt)
	if age > 8*peakHalfLife {
		return 0
	}
	return t.peak / (1 + float64(age)/float64(peakHalfLife))
}
