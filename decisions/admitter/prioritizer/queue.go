package prioritizer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// recheck is how often a queue with waiting requests looks for room that came
// free elsewhere.
const recheck = 20 * time.Millisecond

// holdGain is the weight of a new observation of how long a place is held.
const holdGain = 0.1

// tierCounts counts requests by tier.
type tierCounts = [quetzalroad.MaxTiers]int

// peerDemand is the demand on a peer.
type peerDemand struct {
	at     time.Time
	wanted tierCounts
}

// queue is the queue of one service.
type queue struct {
	service quetzalroad.ServiceName
	owner   *Prioritizer

	mu sync.Mutex
	// The fields below are guarded by mu. Sums over tiers never pass the
	// node's part of the slots, but for what was running when it shrank.
	tiers [quetzalroad.MaxTiers]tier
	// pausing counts the requests told to give back their place.
	pausing int
	// peers is the demand on the other nodes of the data centre.
	peers map[quetzalroad.NodeName]peerDemand
	// armed tells that a recheck is due.
	armed bool
}

func (q *queue) wanted() tierCounts {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.wantedLocked()
}

func (q *queue) wantedLocked() tierCounts {
	var counts tierCounts
	for i := range q.tiers {
		t := &q.tiers[i]
		counts[i] = t.running + t.floor + t.waiting
	}
	return counts
}

func (q *queue) setPeer(n quetzalroad.NodeName, t peerDemand) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.peers == nil {
		q.peers = make(map[quetzalroad.NodeName]peerDemand)
	}
	q.peers[n] = t
}

// enter gives a request a place, which it tells, or puts it into the queue, or
// refuses it where waiting can't help.
func (q *queue) enter(now time.Time, w *waiter) (bool, error) {
	c := q.owner.capacity.Capacity(now, q.service)
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &q.tiers[w.tier()]
	if q.passLocked(now, c, w) {
		return true, nil
	}
	if err := q.makeSpaceLocked(w); err != nil {
		return false, err
	}
	w.cost = q.owner.cost(w.request)
	q.pushLocked(w)
	t.notePeak(now)
	q.dispatchLocked(now, c)
	if w.state != stateWaiting {
		return true, nil
	}
	if !w.request.Profile.Interactive {
		return false, nil
	}
	wait := q.predictLocked(w)
	budget := q.owner.patience(w.request)
	if wait <= budget {
		return false, nil
	}
	t.remove(w)
	w.state = stateOut
	q.checkRefusalLocked(w, quetzalroad.ReasonTargetUnreachable)
	return false, unreachable(wait - budget)
}

// passLocked gives a place at once where nobody waits and there is room. What
// a team takes from idle room isn't charged to it.
func (q *queue) passLocked(now time.Time, c quetzalroad.Capacity, w *waiter) bool {
	if q.waitingAboveLocked(quetzalroad.LowestTier) > 0 {
		return false
	}
	r := q.roomLocked(now, c)
	if q.runningLocked()+q.reserveLocked(now, w, r) >= r.slots {
		return false
	}
	t := &q.tiers[w.tier()]
	t.preemptible = w.request.Profile.Preemptible
	q.placeLocked(now, t, w)
	t.notePeak(now)
	return true
}

// placeLocked gives a place of a tier to a request.
func (q *queue) placeLocked(now time.Time, t *tier, w *waiter) {
	t.running++
	t.grants++
	w.state = stateRunning
	w.started = now
	if w.request.Profile.Preemptible && !w.request.Profile.Interactive {
		if w.paused == nil {
			w.paused = make(chan struct{})
		}
		t.pausable = append(t.pausable, w)
	}
}

func unreachable(over time.Duration) *quetzalroad.Refusal {
	after := max(time.Second, over.Round(time.Second))
	return quetzalroad.NewRefusal(quetzalroad.ReasonTargetUnreachable, "the target can't be met at the moment", after)
}

// reenter puts a paused request back into its line.
func (q *queue) reenter(now time.Time, w *waiter) error {
	c := q.owner.capacity.Capacity(now, q.service)
	q.mu.Lock()
	defer q.mu.Unlock()
	w.cost = 0
	q.pushLocked(w)
	q.dispatchLocked(now, c)
	return nil
}

func (q *queue) pushLocked(w *waiter) {
	w.granted = make(chan struct{})
	w.paused = nil
	w.state = stateWaiting
	w.grantsBelow = q.grantsBelowLocked(w.tier())
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

// makeSpaceLocked keeps the queue within its bound. A newcomer takes the
// place of the last waiter of a lower tier, else it is refused.
func (q *queue) makeSpaceLocked(w *waiter) error {
	waiting := 0
	for i := range q.tiers {
		waiting += q.tiers[i].waiting
	}
	if waiting < q.owner.policy.maxQueued {
		return nil
	}
	for i := quetzalroad.LowestTier; i > w.tier(); i-- {
		if victim := q.tiers[i].last(); victim != nil {
			q.tiers[i].remove(victim)
			victim.state = stateOut
			victim.refusal = queueFull()
			close(victim.granted)
			return nil
		}
	}
	return queueFull()
}

func queueFull() *quetzalroad.Refusal {
	return quetzalroad.NewRefusal(quetzalroad.ReasonQueueFull, "too many requests are waiting", time.Second)
}

// last gives the waiter with the latest deadline of the longest line.
func (t *tier) last() *waiter {
	var longest *line
	for _, l := range t.active {
		if longest == nil || len(l.heap) > len(longest.heap) {
			longest = l
		}
	}
	if longest == nil {
		return nil
	}
	latest := longest.heap[0]
	for _, w := range longest.heap {
		if dueOf(latest).Before(dueOf(w)) {
			latest = w
		}
	}
	return latest
}

// wait waits for a place. A positive patience bounds the wait.
func (q *queue) wait(ctx context.Context, w *waiter, patience time.Duration) error {
	select {
	case <-w.granted:
		return q.granted(w)
	default:
	}
	var expired <-chan time.Time
	if patience > 0 {
		timer := time.NewTimer(patience)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.granted:
		return q.granted(w)
	case <-expired:
		return q.leave(w, unreachable(0))
	case <-ctx.Done():
		return q.leave(w, leaving(ctx))
	}
}

func (q *queue) granted(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.refusal != nil {
		return w.refusal
	}
	return nil
}

// leaving tells a caller that left from a request that ran out of time.
func leaving(ctx context.Context) *quetzalroad.Refusal {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return quetzalroad.NewRefusal(quetzalroad.ReasonTimeout, "the request waited too long", time.Second)
	}
	return quetzalroad.NewRefusal(quetzalroad.ReasonCallerDisconnected, "the caller left while waiting", 0)
}

// leave takes a waiter out, unless it got a place in the meantime.
func (q *queue) leave(w *waiter, refusal *quetzalroad.Refusal) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.refusal != nil {
		return w.refusal
	}
	if w.state != stateWaiting {
		return nil
	}
	q.tiers[w.tier()].remove(w)
	w.state = stateOut
	q.checkRefusalLocked(w, refusal.Reason)
	return refusal
}

// checkRefusalLocked asserts that no lower tier got a place while a request
// waited that is now refused, and that none holds one that could be paused.
func (q *queue) checkRefusalLocked(w *waiter, reason quetzalroad.RefusalReason) {
	if got := q.grantsBelowLocked(w.tier()) - w.grantsBelow; got > 0 {
		q.owner.recorder.RecordViolation("higher-tier-not-shed-for-lower",
			fmt.Sprintf("request %s of tier %d refused (%s) while %d places of %s went to lower tiers", w.request.ID, w.tier(), reason, got, q.service))
	}
	if reason != quetzalroad.ReasonTargetUnreachable {
		return
	}
	if free := q.pausableLocked(w.tier()) - q.waitingAboveLocked(w.tier()); free > 0 {
		q.owner.recorder.RecordViolation("lower-tier-paused-before-shedding",
			fmt.Sprintf("request %s of tier %d refused while %d places of %s could be paused", w.request.ID, w.tier(), free, q.service))
	}
}

// pausableLocked counts the places of lower tiers that can still be paused.
func (q *queue) pausableLocked(t quetzalroad.Tier) int {
	sum := 0
	for i := t + 1; i <= quetzalroad.LowestTier; i++ {
		sum += len(q.tiers[i].pausable)
	}
	return sum
}

// waitingAboveLocked counts the requests of a tier and those above it that
// wait.
func (q *queue) waitingAboveLocked(t quetzalroad.Tier) int {
	sum := 0
	for i := quetzalroad.Tier(0); i <= t; i++ {
		sum += q.tiers[i].waiting
	}
	return sum
}

// predictLocked estimates the wait of an interactive request: what waits
// before it, less the places that are being given back, at the rate at which
// places come free.
func (q *queue) predictLocked(w *waiter) time.Duration {
	ahead := q.waitingAboveLocked(w.tier()) - q.pausing
	if ahead <= 0 {
		return 0
	}
	var rate float64
	for i := range q.tiers {
		t := &q.tiers[i]
		if t.hold > 0 {
			rate += float64(t.running) / t.hold.Seconds()
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// dispatchLocked gives places as long as there is room, asks for places back
// where a higher tier lacks them, and serves the floor.
func (q *queue) dispatchLocked(now time.Time, c quetzalroad.Capacity) {
	r := q.roomLocked(now, c)
	for q.grantNextLocked(now, r) {
	}
	q.pauseLocked()
	for q.grantFloorLocked(now, r) {
	}
	q.armLocked()
}

// grantNextLocked gives a place to the first tier that has work waiting. A
// lower tier gets none while a higher one waits.
func (q *queue) grantNextLocked(now time.Time, r room) bool {
	for i := range q.tiers {
		t := &q.tiers[i]
		if t.waiting == 0 {
			continue
		}
		head := t.head()
		if q.runningLocked()+q.reserveLocked(now, head, r) >= r.slots {
			return false
		}
		w := t.pop()
		q.placeLocked(now, t, w)
		close(w.granted)
		return true
	}
	return false
}

// grantFloorLocked gives a place of the floor to the tier below the first
// that has gone longest without being served. A tier that makes progress
// anyway needs no floor.
func (q *queue) grantFloorLocked(now time.Time, r room) bool {
	used := 0
	for i := range q.tiers {
		used += q.tiers[i].floor
	}
	if used >= r.floor {
		return false
	}
	t := q.starvingLocked(now)
	if t == nil {
		return false
	}
	w := t.pop()
	t.floor++
	t.servedAt = now
	w.state = stateFloor
	w.started = now
	close(w.granted)
	return true
}

func (q *queue) starvingLocked(now time.Time) *tier {
	var best *tier
	for i := 1; i < len(q.tiers); i++ {
		t := &q.tiers[i]
		after := q.owner.policy.floorAfter
		if t.waiting == 0 || t.oldest(now) < after || t.progresses(now, after) {
			continue
		}
		if best == nil || t.servedAt.Before(best.servedAt) {
			best = t
		}
	}
	return best
}

// pauseLocked asks the last started pausable requests of lower tiers for
// their places, one for each request waiting above them.
func (q *queue) pauseLocked() {
	for i := range q.tiers {
		t := quetzalroad.Tier(i)
		if q.tiers[i].waiting == 0 {
			continue
		}
		for q.pausing < q.waitingAboveLocked(t) {
			victim := q.victimLocked(t)
			if victim == nil {
				break
			}
			q.pauseVictimLocked(victim, t)
		}
	}
}

// victimLocked takes the last started request of the lowest tier below t that
// may be paused.
func (q *queue) victimLocked(t quetzalroad.Tier) *waiter {
	for i := quetzalroad.LowestTier; i > t; i-- {
		pausable := q.tiers[i].pausable
		if len(pausable) > 0 {
			victim := pausable[len(pausable)-1]
			q.tiers[i].pausable = pausable[:len(pausable)-1]
			return victim
		}
	}
	return nil
}

func (q *queue) pauseVictimLocked(victim *waiter, gainer quetzalroad.Tier) {
	p := victim.request.Profile
	if victim.tier() <= gainer || !p.Preemptible || p.Interactive {
		q.owner.recorder.RecordViolation("only-lower-preemptible-work-paused",
			fmt.Sprintf("request %s of tier %d paused for tier %d", victim.request.ID, victim.tier(), gainer))
	}
	victim.state = statePausing
	q.pausing++
	close(victim.paused)
}

// armLocked sees to another dispatch while requests wait.
func (q *queue) armLocked() {
	if q.armed || q.waitingAboveLocked(quetzalroad.LowestTier) == 0 {
		return
	}
	q.armed = true
	time.AfterFunc(recheck, q.recheck)
}

func (q *queue) recheck() {
	now := time.Now()
	c := q.owner.capacity.Capacity(now, q.service)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.armed = false
	q.dispatchLocked(now, c)
}

func (q *queue) pausedOf(w *waiter) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return w.paused
}

// settle corrects what a team was charged by what the request really took.
func (q *queue) settle(w *waiter, actual float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.cost == 0 {
		return
	}
	q.tiers[w.tier()].settle(w.request.Team, actual-w.cost)
}

// done frees the place of a request that ended.
func (q *queue) done(now time.Time, w *waiter) {
	q.mu.Lock()
	q.tiers[w.tier()].servedAt = now
	q.mu.Unlock()
	q.giveBack(now, w)
}

// giveBack frees the place of a request.
func (q *queue) giveBack(now time.Time, w *waiter) {
	c := q.owner.capacity.Capacity(now, q.service)
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &q.tiers[w.tier()]
	switch w.state {
	case stateRunning:
		t.running--
		t.unpausable(w)
	case statePausing:
		t.running--
		q.pausing--
	case stateFloor:
		t.floor--
	case stateOut, stateWaiting:
		return
	}
	w.state = stateOut
	held := now.Sub(w.started)
	if t.hold == 0 {
		t.hold = held
	} else {
		t.hold += time.Duration(holdGain * float64(held-t.hold))
	}
	q.dispatchLocked(now, c)
}

// unpausable takes a request that ended out of those that may be paused.
func (t *tier) unpausable(w *waiter) {
	for i, have := range t.pausable {
		if have == w {
			t.pausable = append(t.pausable[:i], t.pausable[i+1:]...)
			return
		}
	}
}
