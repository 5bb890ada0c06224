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
	// inFlightUpstreams and inFlightWaves replace them if all that speaks against a segment is that
	// requests with it were in flight on the upstreams.
	inFlightUpstreams, inFlightWaves int
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

// exceeds reports whether upstreams that were beginning to respond to requests with the segment exited often
// enough. All requests with the same content have no more than that content in common, so that few other
// requests are refused by mistake, and upstreams that exit at once are no excuse.
func (s *suspect) exceeds(t thresholds) bool {
	several, many := len(s.upstreams) >= t.upstreams, len(s.upstreams) >= t.manyUpstreams
	recurring := len(s.waves) >= t.waves
	if s.proven {
		return many && recurring
	}
	return many || several && (recurring || quetzalroad.IsWholeRequest(s.id))
}

// exceedsInFlight reports whether upstreams exited often enough with requests with the segment in flight. Of a
// segment that was seen to be sound that means nothing, as many requests with it are in flight at any time. The
// same request is in flight on few upstreams, so that less is enough.
func (s *suspect) exceedsInFlight(t thresholds) bool {
	if s.proven {
		return false
	}
	upstreams, waves := len(s.upstreams), len(s.waves)
	if quetzalroad.IsWholeRequest(s.id) {
		eachWithKnowledge := upstreams >= t.upstreams && waves >= upstreams
		return eachWithKnowledge || upstreams >= t.inFlightUpstreams-1 && waves >= t.inFlightWaves
	}
	return upstreams >= t.inFlightUpstreams && waves >= t.inFlightWaves
}

// compareSuspects orders suspects by who is to be blamed first: one that was never sound, then the one
// with the most upstreams, then the most specific one, which is the last in the prompt.
func compareSuspects(a, b *suspect) int {
	return cmp.Or(compareProven(b.proven, a.proven), cmp.Compare(len(b.upstreams), len(a.upstreams)), cmp.Compare(b.depth, a.depth), cmp.Compare(a.id, b.id))
}

// attribute returns the segments to quarantine, with the number of upstreams that exited under each.
// Segments that crash upstreams come with sound ones. So the worst suspect is taken first, and the exits of
// its upstreams no longer speak against the others. Then the exits that nothing explains so far are
// attributed to what the requests in flight have in common.
func attribute(e quetzalroad.LossEvidence, sound map[string]int, t thresholds) map[string]int {
	quarantined := make(map[string]int)
	losses := quarantineWorst(quarantined, e.Losses, sound, func(s *suspect) bool { return s.exceeds(t) })
	inFlight := withoutUpstreams(e.InFlight, func(u quetzalroad.UpstreamName) bool { return explains(quarantined, e.Losses, u) })
	quarantineWorst(quarantined, slices.Concat(losses, inFlight), sound, func(s *suspect) bool { return s.exceedsInFlight(t) })
	return quarantined
}

// quarantineWorst adds the worst suspect to those that are quarantined as long as one exceeds the thresholds,
// and returns the losses that none of them explains.
func quarantineWorst(quarantined map[string]int, losses []quetzalroad.UpstreamLoss, sound map[string]int, exceeds func(*suspect) bool) []quetzalroad.UpstreamLoss {
	for {
		var worst *suspect
		for _, s := range suspects(losses, sound) {
			if exceeds(s) && (worst == nil || compareSuspects(s, worst) < 0) {
				worst = s
			}
		}
		if worst == nil {
			return losses
		}
		quarantined[worst.id] = len(worst.upstreams)
		losses = withoutUpstreams(losses, func(u quetzalroad.UpstreamName) bool { return worst.upstreams[u] })
	}
}

func withoutUpstreams(losses []quetzalroad.UpstreamLoss, excluded func(quetzalroad.UpstreamName) bool) []quetzalroad.UpstreamLoss {
	return slices.DeleteFunc(slices.Clone(losses), func(l quetzalroad.UpstreamLoss) bool { return excluded(l.Upstream) })
}

// explains reports whether an upstream was beginning to respond to a request with a quarantined segment when
// it exited.
func explains(quarantined map[string]int, losses []quetzalroad.UpstreamLoss, u quetzalroad.UpstreamName) bool {
	return slices.ContainsFunc(losses, func(l quetzalroad.UpstreamLoss) bool {
		return l.Upstream == u && slices.ContainsFunc(l.Segments, func(s quetzalroad.ExposedSegment) bool { return quarantined[s.ID] > 0 })
	})
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
