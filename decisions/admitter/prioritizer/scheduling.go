package prioritizer

import (
	"fmt"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// recheckInterval is how often a queue with waiting requests checks for slots that other nodes freed.
const recheckInterval = 20 * time.Millisecond

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
