package prioritizer

import (
	"context"
	"fmt"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// targetUnreachable returns the refusal of a request whose expected wait exceeds its budget by excess.
func targetUnreachable(excess time.Duration) *quetzalroad.Refusal {
	retryAfter := max(time.Second, excess.Round(time.Second))
	return quetzalroad.NewRefusal(quetzalroad.ReasonTargetUnreachable, "the target can't be met at the moment", retryAfter)
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

// cancellationRefusal returns the refusal for a request that timed out or whose caller disconnected.
func cancellationRefusal(ctx context.Context) *quetzalroad.Refusal {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return quetzalroad.NewRefusal(quetzalroad.ReasonTimeout, "the request waited too long", time.Second)
	}
	return quetzalroad.NewRefusal(quetzalroad.ReasonCallerDisconnected, "the caller left while waiting", 0)
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
