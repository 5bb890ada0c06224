package quarantiner

import (
	"cmp"
	"slices"

	"github.com/quetzalroad/quetzalroad"
)

// defaultThresholds are those of the default settings.
var defaultThresholds = thresholds{upstreams: 3, waves: 2, manyUpstreams: 5, inFlightUpstreams: 5, inFlightWaves: 2}

// Summary is what the evidence says about one segment, for operators.
type Summary struct {
	Segment string
	// Upstreams and Waves count the losses that no complete response disproves.
	Upstreams, Waves int
	// Proven reports whether a response with the segment was ever complete.
	Proven bool
	// Quarantined reports whether nodes with the default settings refuse requests with the segment.
	Quarantined bool
}

// Summarize combines the evidence of several nodes, and lists the segments that it speaks against, the
// most suspect first.
func Summarize(all []quetzalroad.LossEvidence) []Summary {
	combined := combine(all)
	exported := combined.export()
	quarantined := attribute(exported, combined.sound, defaultThresholds)
	var summaries []Summary
	for id, s := range suspects(slices.Concat(exported.Losses, exported.InFlight), combined.sound) {
		summaries = append(summaries, Summary{Segment: id, Upstreams: len(s.upstreams), Waves: len(s.waves), Proven: s.proven, Quarantined: quarantined[id] > 0})
	}
	slices.SortFunc(summaries, func(a, b Summary) int {
		if a.Quarantined != b.Quarantined {
			if a.Quarantined {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Upstreams, a.Upstreams), cmp.Compare(a.Segment, b.Segment))
	})
	return summaries
}

// Lift returns evidence that disproves all losses under a segment that are known to the given evidence,
// and false if there are none.
func Lift(all []quetzalroad.LossEvidence, segment string) (quetzalroad.LossEvidence, bool) {
	combined := combine(all)
	wave := combined.waves()[segment]
	if wave == 0 {
		return quetzalroad.LossEvidence{}, false
	}
	lifted := quetzalroad.LossEvidence{Sound: []quetzalroad.SoundSegment{{ID: segment, Wave: wave}}}
	lacksSegment := func(l quetzalroad.UpstreamLoss) bool {
		return !slices.ContainsFunc(l.Segments, func(s quetzalroad.ExposedSegment) bool { return s.ID == segment })
	}
	lifted.Losses = slices.DeleteFunc(combined.sortedLosses(), lacksSegment)
	lifted.InFlight = slices.DeleteFunc(combined.sortedInFlight(), lacksSegment)
	return lifted, true
}

func combine(all []quetzalroad.LossEvidence) *evidence {
	combined := new(evidence)
	for _, e := range all {
		combined.merge(e)
	}
	return combined
}
