package intaker

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// entry is what the ledger knows of one request.
type entry struct {
	tier quetzalroad.Tier
	// arrival orders the requests by when they first held something.
	arrival uint64
	// held is what the request holds, and wanted what it waits for in addition; zero if it doesn't wait.
	held   int
	wanted int
	// receivedBy is when the request has to have arrived; zero if that isn't known.
	receivedBy time.Time
	// progressAt is when the request last grew.
	progressAt time.Time
	// received is set once the whole request has arrived, and evicted once it has to give way.
	received bool
	evicted  bool
	// granted has room for one value, and receives it when the wait of the request ends because of others: what it
	// waits for was granted, or it has to give way.
	granted chan struct{}
	// interrupt ends the read of a request that has to give way.
	interrupt func()
}

// ledger decides which requests fit into the memory, which wait and which give way. It does no I/O and doesn't wait.
// It is not safe for concurrent use.
type ledger struct {
	// capacity is what all requests may hold together.
	capacity int
	// stallAfter is the time without progress after which a request that is being received gives way to any other.
	stallAfter time.Duration

	held     int
	arrivals uint64
	// entries are those of the requests that hold something.
	entries map[*entry]struct{}
	// waiting are those that wait, the first to be served first.
	waiting []*entry
}

// grow grants a request more bytes if they fit and no other request waits that comes first. Otherwise the request
// waits, unless it holds so much that it can never fit.
func (l *ledger) grow(now time.Time, e *entry, bytes int) (granted, possible bool) {
	if e.held+bytes > l.capacity {
		return false, false
	}
	if e.arrival == 0 {
		l.arrivals++
		e.arrival, e.progressAt = l.arrivals, now
	}
	e.wanted = bytes
	if (len(l.waiting) == 0 || compareEntries(e, l.waiting[0]) < 0) && l.held+bytes <= l.capacity {
		l.grant(now, e)
		return true, true
	}
	i, _ := slices.BinarySearchFunc(l.waiting, e, compareEntries)
	l.waiting = slices.Insert(l.waiting, i, e)
	return false, true
}

func (l *ledger) grant(now time.Time, e *entry) {
	l.held += e.wanted
	e.held += e.wanted
	e.wanted = 0
	e.progressAt = now
	if l.entries == nil {
		l.entries = make(map[*entry]struct{})
	}
	l.entries[e] = struct{}{}
}

// compareEntries orders requests by their urgency, and those of a tier by their arrival.
func compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.arrival, b.arrival))
}

// shrink returns bytes that a request holds.
func (l *ledger) shrink(e *entry, bytes int) {
	l.held -= bytes
	e.held -= bytes
	if e.held == 0 {
		delete(l.entries, e)
	}
}

// stopWaiting ends the wait of a request.
func (l *ledger) stopWaiting(e *entry) {
	if i := slices.Index(l.waiting, e); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
	e.wanted = 0
}

// advance grants what fits to the waiting requests, the first ones first, and returns those. If the first one that
// doesn't fit can't be served by waiting, it also returns the requests that give way to it.
func (l *ledger) advance(now time.Time) (granted, evicted []*entry) {
	for len(l.waiting) > 0 {
		first := l.waiting[0]
		if l.held+first.wanted > l.capacity {
			return granted, l.evictFor(now, first)
		}
		l.waiting = l.waiting[1:]
		l.grant(now, first)
		granted = append(granted, first)
	}
	return granted, nil
}

// evictFor chooses the requests that give way, so that a request will fit once they are gone: those that are stalled,
// then those of less urgent tiers, the latest first. Requests of the same tier only do if all wait for each other.
func (l *ledger) evictFor(now time.Time, e *entry) []*entry {
	missing := l.held + e.wanted - l.capacity
	var candidates []*entry
	blocked := l.isBlocked(now)
	for other := range l.entries {
		switch {
		case other == e:
		case other.evicted:
			missing -= other.held
		case !other.received && (l.isStalled(now, other) || other.tier > e.tier || (blocked && compareEntries(e, other) < 0)):
			candidates = append(candidates, other)
		}
	}
	slices.SortFunc(candidates, func(a, b *entry) int {
		stalledA, stalledB := l.isStalled(now, a), l.isStalled(now, b)
		if stalledA != stalledB {
			if stalledA {
				return -1
			}
			return 1
		}
		return compareEntries(b, a)
	})
	for i, candidate := range candidates {
		if missing <= 0 {
			return candidates[:i]
		}
		candidate.evicted = true
		missing -= candidate.held
		if candidate.wanted > 0 {
			l.stopWaiting(candidate)
			candidate.granted <- struct{}{}
		}
	}
	return candidates
}

// isStalled reports whether a request that is being received has made no progress, although it doesn't wait.
func (l *ledger) isStalled(now time.Time, e *entry) bool {
	return !e.received && e.wanted == 0 && now.Sub(e.progressAt) >= l.stallAfter
}

// isBlocked reports whether no request that holds memory will return it without that others give way.
func (l *ledger) isBlocked(now time.Time) bool {
	for e := range l.entries {
		if e.received || e.evicted || (e.wanted == 0 && !l.isStalled(now, e)) {
			return false
		}
	}
	return true
}

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused request is asked to come again.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// unknownHold is the time for which a request is taken to hold its memory if it has arrived, or states no end.
	unknownHold = 2 * time.Second
)

// retryAfter returns the time after which a number of bytes is expected to be free: when enough of the requests that
// hold memory have ended.
func (l *ledger) retryAfter(now time.Time, bytes int) time.Duration {
	type hold struct {
		until time.Duration
		bytes int
	}
	var holds []hold
	for e := range l.entries {
		until := unknownHold
		if !e.received && !e.receivedBy.IsZero() {
			until = e.receivedBy.Sub(now)
		}
		if l.isStalled(now, e) || e.evicted {
			until = 0
		}
		holds = append(holds, hold{until, e.held})
	}
	slices.SortFunc(holds, func(a, b hold) int { return cmp.Compare(a.until, b.until) })
	missing, after := l.held+bytes-l.capacity, time.Duration(0)
	for _, h := range holds {
		if missing <= 0 {
			break
		}
		missing -= h.bytes
		after = h.until
	}
	return min(max(after, minRetryAfter), maxRetryAfter)
}
