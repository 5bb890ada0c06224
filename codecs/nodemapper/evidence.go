package nodemapper

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
)

const (
	// maxLosses, maxLossSegments and maxWave bound the evidence that is taken over from another node.
	maxLosses       = 256
	maxLossSegments = 64
	maxWave         = 1 << 20
)

func encodeEvidence(e *quetzalroad.LossEvidence) *peerwire.LossEvidence {
	if e == nil {
		return nil
	}
	message := new(peerwire.LossEvidence)
	for _, l := range e.Losses {
		encoded := &peerwire.UpstreamLoss{Upstream: string(l.Upstream), AtMs: l.At.UnixMilli()}
		for _, s := range l.Segments {
			encoded.Segments = append(encoded.Segments, s.ID)
			encoded.Waves = append(encoded.Waves, uint32(s.Wave))
		}
		message.Losses = append(message.Losses, encoded)
	}
	for _, s := range e.Sound {
		message.Sound = append(message.Sound, &peerwire.SoundSegment{Segment: s.ID, Wave: uint32(s.Wave)})
	}
	for _, r := range e.Refused {
		message.Refused = append(message.Refused, &peerwire.RefusedSegment{Segment: r.ID, AtMs: r.At.UnixMilli()})
	}
	return message
}

// decodeEvidence leaves out losses that no node reports.
func decodeEvidence(message *peerwire.LossEvidence) *quetzalroad.LossEvidence {
	if message == nil {
		return nil
	}
	e := new(quetzalroad.LossEvidence)
	for _, l := range message.GetLosses()[:min(len(message.GetLosses()), maxLosses)] {
		segments, ok := decodeExposedSegments(l.GetSegments(), l.GetWaves())
		if !ok || l.GetUpstream() == "" {
			continue
		}
		e.Losses = append(e.Losses, quetzalroad.UpstreamLoss{Upstream: quetzalroad.UpstreamName(l.GetUpstream()), Segments: segments, At: time.UnixMilli(l.GetAtMs())})
	}
	for _, s := range message.GetSound() {
		if s.GetWave() <= maxWave {
			e.Sound = append(e.Sound, quetzalroad.SoundSegment{ID: s.GetSegment(), Wave: int(s.GetWave())})
		}
	}
	for _, r := range message.GetRefused() {
		e.Refused = append(e.Refused, quetzalroad.RefusedSegment{ID: r.GetSegment(), At: time.UnixMilli(r.GetAtMs())})
	}
	return e
}

func decodeExposedSegments(ids []string, waves []uint32) ([]quetzalroad.ExposedSegment, bool) {
	if len(ids) == 0 || len(ids) > maxLossSegments || len(ids) != len(waves) {
		return nil, false
	}
	segments := make([]quetzalroad.ExposedSegment, len(ids))
	for i, id := range ids {
		if waves[i] == 0 || waves[i] > maxWave {
			return nil, false
		}
		segments[i] = quetzalroad.ExposedSegment{ID: id, Wave: int(waves[i])}
	}
	return segments, true
}
