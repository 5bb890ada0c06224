package quarantiner

import (
	"slices"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// Expose implements quetzalroad.Quarantine. A segment that is repeated is listed where it stands first.
func (q *Quarantiner) Expose(segments []quetzalroad.PromptSegment) []quetzalroad.ExposedSegment {
	exposed := make([]quetzalroad.ExposedSegment, 0, len(segments))
	seen := make(map[string]struct{}, len(segments))
	table := q.table.Load()
	for _, s := range segments {
		key := segmentKey(s.ID)
		if _, repeated := seen[key]; repeated {
			continue
		}
		seen[key] = struct{}{}
		exposed = append(exposed, quetzalroad.ExposedSegment{ID: key, Wave: 1 + q.knownWave(table, key)})
	}
	return exposed
}

// knownWave returns the highest wave of the exits under a segment that this node knows of; zero if there is none.
func (q *Quarantiner) knownWave(table *segmentTable, segment string) int {
	if table.knows(segment) || !quetzalroad.IsWholeRequest(segment) {
		return table.wave(segment)
	}
	return q.lost.wave(segment)
}

// RecordLoss implements quetzalroad.Quarantine.
func (q *Quarantiner) RecordLoss(now time.Time, u quetzalroad.UpstreamName, exposed []quetzalroad.ExposedSegment) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.exits.add(now, u, q.alertTime) {
		q.notify()
	}
	if len(exposed) == 0 {
		return
	}
	q.evidence.addLoss(quetzalroad.UpstreamLoss{Upstream: u, Segments: exposed, At: now})
	q.conclude(now)
}

// provenSet returns the set that holds a segment if it was lately seen in a complete response.
func (q *Quarantiner) provenSet(id string) *provenSegments {
	if quetzalroad.IsWholeRequest(id) {
		return &q.provenRequests
	}
	return &q.proven
}

// RecordExit implements quetzalroad.Quarantine.
func (q *Quarantiner) RecordExit(now time.Time, u quetzalroad.UpstreamName) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.exits.add(now, u, q.alertTime) {
		q.notify()
	}
}

// RecordComplete implements quetzalroad.Quarantine.
func (q *Quarantiner) RecordComplete(now time.Time, segments []quetzalroad.PromptSegment) {
	for _, s := range segments {
		key := segmentKey(s.ID)
		q.provenSet(key).add(key)
	}
	table := q.table.Load()
	if table == nil {
		return
	}
	disproves := func(s quetzalroad.PromptSegment) bool {
		state, suspected := table.segments[segmentKey(s.ID)]
		return suspected && state.suspicious && (!state.proven || state.sound < state.wave)
	}
	if !slices.ContainsFunc(segments, disproves) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	waves := q.evidence.waves()
	for _, s := range segments {
		if wave := waves[segmentKey(s.ID)]; wave > 0 {
			q.evidence.markSound(segmentKey(s.ID), wave)
		}
	}
	q.conclude(now)
}
