package quarantiner

import (
	"cmp"
	"slices"

	"github.com/quetzalroad/quetzalroad"
)

// thresholds are what it takes to quarantine a segment.
type thresholds struct {
	// upstreams and waves are the least numbers of upstreams that exited under a segment, and of the
	// waves of their losses. Upstreams that exit all at once, whatever the cause, make up a single wave.
	upstreams, waves int
	// manyUpstreams replaces upstreams for a segment that was seen to be sound, and both numbers for
	// one that never was.
	manyUpstreams int
}

// suspect is what speaks against one segment.
type suspect struct {
	id        string
	upstreams map[quetzalroad.UpstreamName]bool
	waves     map[int]bool
	// depth is the latest position of the segment in a prompt.
	depth int
	// proven reports whether a response with the segment was ever complete.
	proven bool
}

func (s *suspect) exceeds(t thresholds) bool {
	several, many := len(s.upstreams) >= t.upstreams, len(s.upstreams) >= t.manyUpstreams
	recurring := len(s.waves) >= t.waves
	if s.proven {
		return many && recurring
	}
	return many || several && recurring
}

// compareSuspects orders suspects by who is to be blamed first: one that was never sound, then the one
// with the most upstreams, then the most specific one, which is the last in the prompt.
func compareSuspects(a, b *suspect) int {
	if a.proven != b.proven {
		if b.proven {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(len(b.upstreams), len(a.upstreams)), cmp.Compare(b.depth, a.depth), cmp.Compare(a.id, b.id))
}

// attribute returns the segments to quarantine, with the number of upstreams that exited under each.
// Segments that crash upstreams come with sound ones. So the worst suspect is taken first, and its
// losses no longer speak against the others.
func attribute(losses []quetzalroad.UpstreamLoss, sound map[string]int, t thresholds) map[string]int {
	quarantined := make(map[string]int)
	for {
		var worst *suspect
		for _, s := range suspects(losses, sound) {
			if s.exceeds(t) && (worst == nil || compareSuspects(s, worst) < 0) {
				worst = s
			}
		}
		if worst == nil {
			return quarantined
		}
		quarantined[worst.id] = len(worst.upstreams)
		losses = slices.DeleteFunc(slices.Clone(losses), func(l quetzalroad.UpstreamLoss) bool {
			return slices.ContainsFunc(l.Segments, func(s quetzalroad.ExposedSegment) bool { return s.ID == worst.id })
		})
	}
}

// suspects collects what speaks against each segment: the losses that no complete response disproves.
func suspects(losses []quetzalroad.UpstreamLoss, sound map[string]int) map[string]*suspect {
	all := make(map[string]*suspect)
	for _, l := range losses {
		for depth, segment := range l.Segments {
			disproved, proven := sound[segment.ID]
			if segment.Wave <= disproved {
				continue
			}
			s := all[segment.ID]
			if s == nil {
				s = &suspect{id: segment.ID, upstreams: make(map[quetzalroad.UpstreamName]bool), waves: make(map[int]bool), proven: proven}
				all[segment.ID] = s
			}
			s.upstreams[l.Upstream] = true
			s.waves[segment.Wave] = true
			s.depth = max(s.depth, depth)
		}
	}
	return all
}
