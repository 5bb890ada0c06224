package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// inFlightLoss is the exit of an upstream with requests in flight.
type inFlightLoss struct {
	at time.Time
	// waves holds the wave of each segment of these requests.
	waves map[string]int
}

// lastAt returns when the exit, or the last refusal of a request with one of its segments, was.
func (l inFlightLoss) lastAt(refused map[string]time.Time) time.Time {
	last := l.at
	for id := range l.waves {
		if at := refused[id]; at.After(last) {
			last = at
		}
	}
	return last
}

// addInFlight adds the segments of requests that were in flight on an upstream to those that are known. Of
// each segment the higher wave counts.
func (e *evidence) addInFlight(l quetzalroad.UpstreamLoss) {
	e.init()
	known, ok := e.inFlight[l.Upstream]
	if !ok {
		known.waves = make(map[string]int, len(l.Segments))
	}
	if l.At.After(known.at) {
		known.at = l.At
	}
	for _, s := range l.Segments {
		known.waves[s.ID] = max(known.waves[s.ID], s.Wave)
	}
	e.inFlight[l.Upstream] = known
	e.trimInFlight()
}

// trimInFlight drops the oldest exits beyond maxLosses.
func (e *evidence) trimInFlight() {
	if len(e.inFlight) <= maxLosses {
		return
	}
	names := slices.SortedFunc(maps.Keys(e.inFlight), func(a, b quetzalroad.UpstreamName) int {
		return cmp.Or(e.inFlight[b].at.Compare(e.inFlight[a].at), cmp.Compare(a, b))
	})
	for _, u := range names[maxLosses:] {
		delete(e.inFlight, u)
	}
}

// sortedInFlight returns the exits and their segments in an order that doesn't depend on how they were learnt.
func (e *evidence) sortedInFlight() []quetzalroad.UpstreamLoss {
	var all []quetzalroad.UpstreamLoss
	for _, u := range slices.Sorted(maps.Keys(e.inFlight)) {
		known := e.inFlight[u]
		l := quetzalroad.UpstreamLoss{Upstream: u, At: known.at}
		for _, id := range slices.Sorted(maps.Keys(known.waves)) {
			l.Segments = append(l.Segments, quetzalroad.ExposedSegment{ID: id, Wave: known.waves[id]})
		}
		all = append(all, l)
	}
	return all
}

// directEvidence returns the evidence without the requests in flight and what disproves these alone.
func directEvidence(e quetzalroad.LossEvidence) quetzalroad.LossEvidence {
	listed := make(map[string]bool)
	for _, l := range e.Losses {
		for _, s := range l.Segments {
			listed[s.ID] = true
		}
	}
	e.InFlight = nil
	e.Sound = slices.DeleteFunc(slices.Clone(e.Sound), func(s quetzalroad.SoundSegment) bool { return !listed[s.ID] })
	return e
}

const (
	// inFlightDelay is how long requests that were in flight on an upstream that exited have to be answered
	// elsewhere, after which their segments are no suspects.
	inFlightDelay = time.Second
	// inFlightInterval is the minimum time between two notices that only requests in flight were recorded.
	inFlightInterval = 500 * time.Millisecond
)

// RecordInFlight implements quetzalroad.Quarantine. Each exit takes many requests with it. So a request as a
// whole counts once it was lost with two upstreams, and a segment if it was in flight on another upstream that
// exited, or after some time if it was in no complete response by then.
func (q *Quarantiner) RecordInFlight(now time.Time, u quetzalroad.UpstreamName, exposed []quetzalroad.ExposedSegment) {
	var urgent, later []quetzalroad.ExposedSegment
	table := q.table.Load()
	for _, s := range exposed {
		switch {
		case table.knows(s.ID) || quetzalroad.IsWholeRequest(s.ID) && q.recordLostAgain(now, u, s):
			urgent = append(urgent, s)
		case !quetzalroad.IsWholeRequest(s.ID):
			later = append(later, s)
		}
	}
	q.addInFlight(now, u, urgent)
	time.AfterFunc(inFlightDelay, func() { q.addInFlight(now, u, later) })
}

// recordLostAgain remembers that a request was lost with an upstream. If it was lost with another one before, it
// adds that loss to the evidence and returns true.
func (q *Quarantiner) recordLostAgain(now time.Time, u quetzalroad.UpstreamName, request quetzalroad.ExposedSegment) bool {
	first, again := q.lost.add(request.ID, lostRequest{upstream: u, wave: request.Wave, at: now})
	if !again {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evidence.addInFlight(quetzalroad.UpstreamLoss{Upstream: first.upstream, At: first.at, Segments: []quetzalroad.ExposedSegment{{ID: request.ID, Wave: first.wave}}})
	return true
}

// addInFlight adds the segments that were not lately seen in complete responses to the evidence.
func (q *Quarantiner) addInFlight(at time.Time, u quetzalroad.UpstreamName, exposed []quetzalroad.ExposedSegment) {
	exposed = slices.DeleteFunc(slices.Clone(exposed), func(s quetzalroad.ExposedSegment) bool { return q.provenSet(s.ID).contains(s.ID) })
	if len(exposed) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evidence.addInFlight(quetzalroad.UpstreamLoss{Upstream: u, Segments: exposed, At: at})
	now := time.Now()
	q.conclude(now)
	q.notifyOfInFlight(now)
}

// notifyOfInFlight gives notice of requests in flight, not too often. The caller holds the lock.
func (q *Quarantiner) notifyOfInFlight(now time.Time) {
	if q.noticePending {
		return
	}
	q.noticePending = true
	if delay := q.lastNotice.Add(inFlightInterval).Sub(now); delay > 0 {
		time.AfterFunc(delay, q.giveNotice)
		return
	}
	go q.giveNotice()
}

// giveNotice gives notice of requests in flight.
func (q *Quarantiner) giveNotice() {
	q.mu.Lock()
	q.noticePending, q.lastNotice = false, time.Now()
	q.mu.Unlock()
	q.notify()
}
