package prioritizer

import (
	"container/heap"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// waiterState tells where a request stands.
type waiterState int

const (
	// stateInactive is before entering and after leaving.
	stateInactive waiterState = iota
	stateWaiting
	// stateRunning holds a place of its tier.
	stateRunning
	// stateFloor holds a place of the floor.
	stateFloor
	// statePreempting holds a place and was told to give it back.
	statePreempting
)

// waiter is one request in a queue. Its fields but for request, enqueued and
// cost are guarded by the queue's lock.
type waiter struct {
	request    *quetzalroad.Request
	enqueuedAt time.Time
	// cost is what was charged to the team, in tokens.
	cost  float64
	state waiterState
	// decided is closed when the request gets a place or is evicted, and made
	// anew each time it waits.
	decided chan struct{}
	// refusal is set before granted is closed where the request was evicted.
	refusal *quetzalroad.Refusal
	// preempted is closed when the request has to give up its place, and made
	// anew with each place.
	preempted chan struct{}
	// startedAt is when it last got a place.
	startedAt time.Time
	// index is its position in its team's heap while it waits.
	index int
	// grantsBelowAtEnqueue is the number of grants to lower tiers when it began to
	// wait.
	grantsBelowAtEnqueue uint64
}

func (w *waiter) tier() quetzalroad.Tier {
	return min(max(w.request.Profile.Tier, 0), quetzalroad.LowestTier)
}

// teamQueue is the waiting requests of one team in a tier, by deadline.
type teamQueue struct {
	team quetzalroad.TeamName
	// virtualTime is the work charged to the team, divided by its weight.
	virtualTime float64
	waiters     deadlineHeap
	// index is the line's position among the tier's active lines while its
	// heap isn't empty.
	index int
}

// teamQueueHeap is a heap whose first member has the least work charged.
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

// deadlineHeap is a heap whose first member has the earliest deadline.
type deadlineHeap []*waiter

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool {
	return firstTokenDeadline(h[i]).Before(firstTokenDeadline(h[j]))
}

// firstTokenDeadline is when a request's first token is due, which orders a team's work.
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
	// running counts the places held, without the floor's.
	running int
	// floorRunning counts the places held on the floor.
	floorRunning int
	// waiting counts the members of all lines.
	waiting int
	// teamQueues holds the teams; an idle one is dropped once its virtual time is
	// behind the tier's.
	teamQueues map[quetzalroad.TeamName]*teamQueue
	// active holds the lines that have work waiting.
	active teamQueueHeap
	// arrivals holds the waiters in the order of coming; those that wait no
	// more are dropped when they reach the front.
	arrivals []*waiter
	// virtualTime is the virtual time of the last line served; it never falls.
	virtualTime float64
	// holdTime is a moving mean of how long a place is held.
	holdTime time.Duration
	// peak is the recent largest number of requests running or waiting, which
	// fades with time.
	peak   float64
	peakAt time.Time
	// grants counts the places given, without the floor's.
	grants uint64
	// preemptibleRunning are the running requests that may be paused, the last started
	// at the end.
	preemptibleRunning []*waiter
	// preemptible tells that the tier's last request could be paused.
	preemptible bool
	// lastServed is when a request of the tier last ended, or got a place of the
	// floor.
	lastServed time.Time
}

// push adds a waiter to its team's line.
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

// trimArrivals drops those at the front of the arrivals that wait no more.
func (t *tier) trimArrivals() {
	for len(t.arrivals) > 0 && t.arrivals[0].state != stateWaiting {
		t.arrivals[0] = nil
		t.arrivals = t.arrivals[1:]
	}
}

// remove takes a waiter out of its line.
func (t *tier) remove(w *waiter) {
	q := t.teamQueues[w.request.Team.Name]
	heap.Remove(&q.waiters, w.index)
	t.waiting--
	t.deactivateIfEmpty(q)
}

// deactivateIfEmpty takes a line without work out of the active ones, and forgets it where
// it has no work charged ahead of the others.
func (t *tier) deactivateIfEmpty(q *teamQueue) {
	if len(q.waiters) > 0 {
		return
	}
	heap.Remove(&t.active, q.index)
	if q.virtualTime <= t.virtualTime {
		delete(t.teamQueues, q.team)
	}
}

// next gives the waiter to be served next, from the line with the least work
// charged. The tier has work waiting.
func (t *tier) next() *waiter {
	return t.active[0].waiters[0]
}

// pop takes the next waiter and charges its team.
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

// adjustCharge corrects what a team was charged.
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

// longestWait gives the longest wait in the tier.
func (t *tier) longestWait(now time.Time) time.Duration {
	t.trimArrivals()
	if len(t.arrivals) == 0 {
		return 0
	}
	return now.Sub(t.arrivals[0].enqueuedAt)
}

// makesProgress tells that the tier is served without the floor: a request ended
// lately, or one runs that wasn't paused for a while. A place that is given and
// taken back at once is no progress.
func (t *tier) makesProgress(now time.Time, within time.Duration) bool {
	if now.Sub(t.lastServed) < within || t.running > len(t.preemptibleRunning) {
		return true
	}
	return len(t.preemptibleRunning) > 0 && now.Sub(t.preemptibleRunning[0].startedAt) >= within
}

// peakHalfLife is how fast a past peak fades.
const peakHalfLife = 8 * time.Second

// recordPeak keeps the recent peak of running and waiting requests.
func (t *tier) recordPeak(now time.Time) {
	t.peak = max(t.decayedPeak(now), float64(t.running+t.waiting))
	t.peakAt = now
}

// decayedPeak gives the peak as it has faded.
func (t *tier) decayedPeak(now time.Time) float64 {
	age := now.Sub(t.peakAt)
	if age > 8*peakHalfLife {
		return 0
	}
	return t.peak / (1 + float64(age)/float64(peakHalfLife))
}
