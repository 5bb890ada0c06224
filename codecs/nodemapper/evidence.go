package nodemapper

import (
	"slices"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
)

const (
	// maxLosses, maxLossSegments and maxWave bound the evidence that is taken over from another node.
	maxLosses       = 256
	maxLossSegments = 8192
	maxWave         = 1 << 20
	// maxListedSegments is the number of segments beyond which earlier builds take no loss over.
	maxListedSegments = 64
)

func encodeEvidence(e *quetzalroad.LossEvidence) *peerwire.LossEvidence {
	if e == nil {
		return nil
	}
	message := new(peerwire.LossEvidence)
	message.Losses, message.InFlight = encodeLosses(e.Losses), encodeLosses(e.InFlight)
	for _, s := range e.Sound {
		message.Sound = append(message.Sound, &peerwire.SoundSegment{Segment: s.ID, Wave: uint32(s.Wave)})
	}
	for _, r := range e.Refused {
		message.Refused = append(message.Refused, &peerwire.RefusedSegment{Segment: r.ID, AtMs: r.At.UnixMilli()})
	}
	return message
}

func encodeLosses(losses []quetzalroad.UpstreamLoss) []*peerwire.UpstreamLoss {
	var encoded []*peerwire.UpstreamLoss
	for _, l := range losses {
		m := &peerwire.UpstreamLoss{Upstream: string(l.Upstream), AtMs: l.At.UnixMilli()}
		listed := min(len(l.Segments), maxListedSegments)
		m.Segments, m.Waves = encodeExposedSegments(l.Segments[:listed])
		m.MoreSegments, m.MoreWaves = encodeExposedSegments(l.Segments[listed:])
		encoded = append(encoded, m)
	}
	return encoded
}

func encodeExposedSegments(segments []quetzalroad.ExposedSegment) ([]string, []uint32) {
	var ids []string
	var waves []uint32
	for _, s := range segments {
		ids = append(ids, s.ID)
		waves = append(waves, uint32(s.Wave))
	}
	return ids, waves
}

// decodeEvidence leaves out losses that no node reports.
func decodeEvidence(message *peerwire.LossEvidence) *quetzalroad.LossEvidence {
	if message == nil {
		return nil
	}
	e := new(quetzalroad.LossEvidence)
	e.Losses, e.InFlight = decodeLosses(message.GetLosses()), decodeLosses(message.GetInFlight())
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

func decodeLosses(messages []*peerwire.UpstreamLoss) []quetzalroad.UpstreamLoss {
	var losses []quetzalroad.UpstreamLoss
	for _, m := range messages[:min(len(messages), maxLosses)] {
		ids, waves := slices.Concat(m.GetSegments(), m.GetMoreSegments()), slices.Concat(m.GetWaves(), m.GetMoreWaves())
		segments, ok := decodeExposedSegments(ids, waves)
		if !ok || m.GetUpstream() == "" {
			continue
		}
		losses = append(losses, quetzalroad.UpstreamLoss{Upstream: quetzalroad.UpstreamName(m.GetUpstream()), Segments: segments, At: time.UnixMilli(m.GetAtMs())})
	}
	return losses
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
