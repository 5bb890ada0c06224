package prioritizer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// recheckInterval is how often a queue with waiting requests checks for slots that other nodes freed.
const recheckInterval = 20 * time.Millisecond

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

// targetUnreachable returns the refusal of a request whose expected wait exceeds its budget by excess.
func targetUnreachable(excess time.Duration) *quetzalroad.Refusal {
	retryAfter := max(time.Second, excess.Round(time.Second))
	return quetzalroad.NewRefusal(quetzalroad.ReasonTargetUnreachable, "the target can't be met at the moment", retryAfter)
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

// evictIfFullLocked keeps the queue within max-queued: if it is full, it evicts a waiter of the lowest
// tier below the new request's that has one, or refuses the new request if there is none.
func (q *queue) evictIfFullLocked(w *waiter) error {
	waiting := 0
	for i := range q.tiers {
		waiting += q.tiers[i].waiting
	}
	if waiting < q.prioritizer.settings.maxQueued {
		return nil
	}
	for i := quetzalroad.LowestTier; i > w.tier(); i-- {
		if victim := q.tiers[i].evictionCandidate(); victim != nil {
			q.tiers[i].remove(victim)
			victim.state = stateInactive
			victim.refusal = queueFull()
			close(victim.decided)
			return nil
		}
	}
	return queueFull()
}

func queueFull() *quetzalroad.Refusal {
	return quetzalroad.NewRefusal(quetzalroad.ReasonQueueFull, "too many requests are waiting", time.Second)
}

// evictionCandidate returns the waiter with the latest deadline in the longest team queue.
func (t *tier) evictionCandidate() *waiter {
	var longest *teamQueue
	for _, q := range t.active {
		if longest == nil || len(q.waiters) > len(longest.waiters) {
			longest = q
		}
	}
	if longest == nil {
		return nil
	}
	latest := longest.waiters[0]
	for _, w := range longest.waiters {
		if firstTokenDeadline(latest).Before(firstTokenDeadline(w)) {
			latest = w
		}
	}
	return latest
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

// cancellationRefusal returns the refusal for a request that timed out or whose caller disconnected.
func cancellationRefusal(ctx context.Context) *quetzalroad.Refusal {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return quetzalroad.NewRefusal(quetzalroad.ReasonTimeout, "the request waited too long", time.Second)
	}
	return quetzalroad.NewRefusal(quetzalroad.ReasonCallerDisconnected, "the caller left while waiting", 0)
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

// checkRefusalInvariantsLocked records a violation if a lower tier was assigned a slot while the refused
// request waited, or if the target can't be met while lower tiers run requests that could be preempted.
func (q *queue) checkRefusalInvariantsLocked(w *waiter, reason quetzalroad.RefusalReason) {
	if grants := q.grantsBelowLocked(w.tier()) - w.grantsBelowAtEnqueue; grants > 0 {
		q.prioritizer.recorder.RecordViolation("higher-tier-not-shed-for-lower",
			fmt.Sprintf("request %s of tier %d refused (%s) while %d slots of %s were assigned to lower tiers", w.request.ID, w.tier(), reason, grants, q.service))
	}
	if reason != quetzalroad.ReasonTargetUnreachable {
		return
	}
	if preemptible := q.preemptibleBelowLocked(w.tier()) - q.waitingAtOrAboveLocked(w.tier()); preemptible > 0 {
		q.prioritizer.recorder.RecordViolation("lower-tier-paused-before-shedding",
			fmt.Sprintf("request %s of tier %d refused while %d running requests of %s could be preempted", w.request.ID, w.tier(), preemptible, q.service))
	}
}

// preemptibleBelowLocked counts the requests of tiers below t that can still be preempted.
func (q *queue) preemptibleBelowLocked(t quetzalroad.Tier) int {
	sum := 0
	for i := t + 1; i <= quetzalroad.LowestTier; i++ {
		sum += len(q.tiers[i].preemptibleRunning)
	}
	return sum
}

// waitingAtOrAboveLocked counts the waiting requests of tier t and the tiers above it.
func (q *queue) waitingAtOrAboveLocked(t quetzalroad.Tier) int {
	sum := 0
	for i := quetzalroad.Tier(0); i <= t; i++ {
		sum += q.tiers[i].waiting
	}
	return sum
}

// predictWaitLocked estimates the wait of an interactive request: the requests waiting in its tier and
// above, less the slots that preempted requests are about to release, divided by the rate at which
// slots become free. It returns zero if that rate is unknown.
func (q *queue) predictWaitLocked(w *waiter) time.Duration {
	ahead := q.waitingAtOrAboveLocked(w.tier()) - q.preempting
	if ahead <= 0 {
		return 0
	}
	var rate float64
	for i := range q.tiers {
		t := &q.tiers[i]
		if t.holdTime > 0 {
			rate += float64(t.running) / t.holdTime.Seconds()
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// scheduleLocked assigns slots while the quota allows, preempts requests of lower tiers where a higher
// tier needs their slots, and assigns floor slots.
func (q *queue) scheduleLocked(now time.Time, c quetzalroad.Capacity) {
	quota := q.quotaLocked(now, c)
	for q.grantNextLocked(now, quota) {
	}
	q.preemptLowerTiersLocked()
	for q.grantFloorLocked(now, quota) {
	}
	q.scheduleRecheckLocked()
}

// grantNextLocked assigns a slot to the highest tier with waiting requests, and reports whether it did.
// A lower tier gets none while a higher one waits.
func (q *queue) grantNextLocked(now time.Time, quota nodeQuota) bool {
	for i := range q.tiers {
		t := &q.tiers[i]
		if t.waiting == 0 {
			continue
		}
		next := t.next()
		if q.runningLocked()+q.reserveLocked(now, next, quota) >= quota.slots {
			return false
		}
		w := t.pop()
		q.assignSlotLocked(now, t, w)
		close(w.decided)
		return true
	}
	return false
}

// grantFloorLocked assigns a floor slot to the starved tier that was served least recently, and reports
// whether it did. The highest tier gets none, nor does a tier that makes progress without the floor.
func (q *queue) grantFloorLocked(now time.Time, quota nodeQuota) bool {
	used := 0
	for i := range q.tiers {
		used += q.tiers[i].floorRunning
	}
	if used >= quota.floorSlots {
		return false
	}
	t := q.mostStarvedLocked(now)
	if t == nil {
		return false
	}
	w := t.pop()
	t.floorRunning++
	t.lastServed = now
	w.state = stateFloor
	w.startedAt = now
	close(w.decided)
	return true
}

// mostStarvedLocked returns the least recently served of the tiers below the highest in which a request
// has waited for floor-after without the tier making progress, or nil.
func (q *queue) mostStarvedLocked(now time.Time) *tier {
	var starved *tier
	for i := 1; i < len(q.tiers); i++ {
		t := &q.tiers[i]
		minWait := q.prioritizer.settings.floorAfter
		if t.waiting == 0 || t.longestWait(now) < minWait || t.makesProgress(now, minWait) {
			continue
		}
		if starved == nil || t.lastServed.Before(starved.lastServed) {
			starved = t
		}
	}
	return starved
}

// preemptLowerTiersLocked preempts the most recently started preemptible requests of lower tiers until
// one is releasing its slot for each request waiting in a higher tier.
func (q *queue) preemptLowerTiersLocked() {
	for i := range q.tiers {
		t := quetzalroad.Tier(i)
		if q.tiers[i].waiting == 0 {
			continue
		}
		for q.preempting < q.waitingAtOrAboveLocked(t) {
			victim := q.popVictimLocked(t)
			if victim == nil {
				break
			}
			q.preemptVictimLocked(victim, t)
		}
	}
}

// popVictimLocked removes and returns the most recently started preemptible request of the lowest tier
// below t that has one, or nil.
func (q *queue) popVictimLocked(t quetzalroad.Tier) *waiter {
	for i := quetzalroad.LowestTier; i > t; i-- {
		candidates := q.tiers[i].preemptibleRunning
		if len(candidates) > 0 {
			victim := candidates[len(candidates)-1]
			q.tiers[i].preemptibleRunning = candidates[:len(candidates)-1]
			return victim
		}
	}
	return nil
}

func (q *queue) preemptVictimLocked(victim *waiter, beneficiary quetzalroad.Tier) {
	p := victim.request.Profile
	if victim.tier() <= beneficiary || !p.Preemptible || p.Interactive {
		q.prioritizer.recorder.RecordViolation("only-lower-preemptible-work-paused",
			fmt.Sprintf("request %s of tier %d preempted for tier %d", victim.request.ID, victim.tier(), beneficiary))
	}
	victim.state = statePreempting
	q.preempting++
	close(victim.preempted)
}

// scheduleRecheckLocked schedules another run of scheduleLocked while requests wait.
func (q *queue) scheduleRecheckLocked() {
	if q.recheckScheduled || q.waitingAtOrAboveLocked(quetzalroad.LowestTier) == 0 {
		return
	}
	q.recheckScheduled = true
	time.AfterFunc(recheckInterval, q.recheck)
}

func (q *queue) recheck() {
	now := time.Now()
	c := q.prioritizer.capacity.Capacity(now, q.service)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recheckScheduled = false
	q.scheduleLocked(now, c)
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
