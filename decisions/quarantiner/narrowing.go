package quarantiner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// maxEvidenceBytes bounds the segments of the evidence that a node keeps and sends, as callers choose how
	// many they name.
	maxEvidenceBytes = 16 << 10
	// segmentOverheadBytes is what a segment takes besides its id.
	segmentOverheadBytes = 4
)

// segmentWeight is how much speaks for keeping a segment in the evidence.
type segmentWeight struct {
	// upstreams counts the upstreams that exited under the segment, and direct those that were beginning to
	// respond to it. Both are zero for a segment that a complete response disproves.
	upstreams, direct int
	// proven reports whether a response with the segment was ever complete.
	proven bool
	// occurrences is how often the segment is listed.
	occurrences int
}

// narrow drops segments until the evidence takes no more than maxEvidenceBytes. What crashes upstreams is
// common to losses, wherever it stands in the prompts, and not in complete responses, so that those stay that
// were in none, and under which the most upstreams exited. Requests as a whole identify losses and stay too.
func (e *evidence) narrow() {
	weights := e.weigh()
	size := 0
	for id, w := range weights {
		size += w.occurrences * (len(id) + segmentOverheadBytes)
	}
	if size <= maxEvidenceBytes {
		return
	}
	dropped := make(map[string]bool)
	for _, id := range slices.SortedFunc(maps.Keys(weights), func(a, b string) int { return compareWeights(a, b, weights) }) {
		if size <= maxEvidenceBytes {
			break
		}
		if quetzalroad.IsWholeRequest(id) && weights[id].direct > 0 {
			continue
		}
		size -= weights[id].occurrences * (len(id) + segmentOverheadBytes)
		dropped[id] = true
	}
	e.drop(dropped)
}

// compareWeights orders segments by which is dropped first. Nodes with the same evidence drop the same ones.
func compareWeights(a, b string, weights map[string]segmentWeight) int {
	return cmp.Or(
		compareProven(weights[a].proven, weights[b].proven),
		cmp.Compare(weights[a].upstreams, weights[b].upstreams),
		cmp.Compare(weights[a].direct, weights[b].direct),
		cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)),
	)
}

// compareProven orders proven segments before others.
func compareProven(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// weigh returns the weight of each segment.
func (e *evidence) weigh() map[string]segmentWeight {
	weights := make(map[string]segmentWeight)
	upstreams := make(map[string]map[quetzalroad.UpstreamName]bool)
	count := func(u quetzalroad.UpstreamName, id string, wave, direct int) {
		w := weights[id]
		w.occurrences++
		disproved, proven := e.sound[id]
		w.proven = proven
		if !proven || wave > disproved {
			if upstreams[id] == nil {
				upstreams[id] = make(map[quetzalroad.UpstreamName]bool)
			}
			upstreams[id][u] = true
			w.upstreams = len(upstreams[id])
			w.direct += direct
		}
		weights[id] = w
	}
	for _, l := range e.losses {
		for _, s := range l.Segments {
			count(l.Upstream, s.ID, s.Wave, 1)
		}
	}
	for u, l := range e.inFlight {
		for id, wave := range l.waves {
			count(u, id, wave, 0)
		}
	}
	return weights
}

// drop removes segments from all losses, and losses that have none left.
func (e *evidence) drop(ids map[string]bool) {
	for key, l := range e.losses {
		l.Segments = slices.DeleteFunc(slices.Clone(l.Segments), func(s quetzalroad.ExposedSegment) bool { return ids[s.ID] })
		e.losses[key] = l
		if len(l.Segments) == 0 {
			delete(e.losses, key)
		}
	}
	for u, l := range e.inFlight {
		maps.DeleteFunc(l.waves, func(id string, _ int) bool { return ids[id] })
		if len(l.waves) == 0 {
			delete(e.inFlight, u)
		}
	}
}
