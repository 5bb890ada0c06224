package quarantiner

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// maxLosses bounds the losses that a node keeps and sends; the latest ones stay.
	maxLosses = 64
	// maxLossSegments bounds the segments of a loss, as callers choose how many they name.
	maxLossSegments = 16
)

// lossKey identifies a loss, so that it counts once if several nodes report it.
type lossKey struct {
	upstream quetzalroad.UpstreamName
	// segments are the ids of the segments, joined.
	segments string
}

func keyOf(l quetzalroad.UpstreamLoss) lossKey {
	ids := make([]string, len(l.Segments))
	for i, s := range l.Segments {
		ids[i] = s.ID
	}
	return lossKey{upstream: l.Upstream, segments: strings.Join(ids, ",")}
}

// maxSegmentIDBytes is the longest id of a segment that is kept as it is.
const maxSegmentIDBytes = 64

// segmentKey returns the name of a segment in the evidence. Callers choose ids, which may be of any length.
func segmentKey(id string) string {
	if len(id) <= maxSegmentIDBytes && utf8.ValidString(id) {
		return id
	}
	return "hash-" + strconv.FormatUint(xxhash.Sum64String(id), 16)
}

// evidence holds losses and what disproves them. Merging is commutative and idempotent. The zero value
// is empty.
type evidence struct {
	losses map[lossKey]quetzalroad.UpstreamLoss
	// sound holds the highest wave that a complete response disproves, by segment of the losses.
	sound map[string]int
	// refused is when a request with a quarantined segment was last refused.
	refused map[string]time.Time
}

func (e *evidence) init() {
	if e.losses == nil {
		e.losses, e.sound, e.refused = make(map[lossKey]quetzalroad.UpstreamLoss), make(map[string]int), make(map[string]time.Time)
	}
}

// addLoss adds a loss, or the higher waves and the later time if it is known.
func (e *evidence) addLoss(l quetzalroad.UpstreamLoss) {
	e.init()
	l.Segments = slices.Clone(l.Segments[:min(len(l.Segments), maxLossSegments)])
	key := keyOf(l)
	if known, ok := e.losses[key]; ok {
		for i := range l.Segments {
			l.Segments[i].Wave = max(l.Segments[i].Wave, known.Segments[i].Wave)
		}
		if known.At.After(l.At) {
			l.At = known.At
		}
	}
	e.losses[key] = l
	e.trim()
}

// trim drops the oldest losses beyond maxLosses.
func (e *evidence) trim() {
	if len(e.losses) <= maxLosses {
		return
	}
	all := e.sortedLosses()
	slices.SortStableFunc(all, func(a, b quetzalroad.UpstreamLoss) int { return b.At.Compare(a.At) })
	for _, l := range all[maxLosses:] {
		delete(e.losses, keyOf(l))
	}
}

// markSound records that a complete response disproves the losses under a segment up to a wave.
func (e *evidence) markSound(segment string, wave int) {
	e.init()
	if known, ok := e.sound[segment]; !ok || wave > known {
		e.sound[segment] = wave
	}
}

func (e *evidence) markRefused(segment string, at time.Time) {
	e.init()
	if at.After(e.refused[segment]) {
		e.refused[segment] = at
	}
}

func (e *evidence) merge(other quetzalroad.LossEvidence) {
	for _, l := range other.Losses {
		e.addLoss(l)
	}
	for _, s := range other.Sound {
		e.markSound(s.ID, s.Wave)
	}
	for _, r := range other.Refused {
		e.markRefused(r.ID, r.At)
	}
}

// waves returns the highest wave of the losses under each segment.
func (e *evidence) waves() map[string]int {
	waves := make(map[string]int)
	for _, l := range e.losses {
		for _, s := range l.Segments {
			waves[s.ID] = max(waves[s.ID], s.Wave)
		}
	}
	return waves
}

// expire drops losses that are older than memory, unless requests with one of their segments were
// refused since, and what is known of segments without losses.
func (e *evidence) expire(now time.Time, memory time.Duration) {
	for key, l := range e.losses {
		last := l.At
		for _, s := range l.Segments {
			if at := e.refused[s.ID]; at.After(last) {
				last = at
			}
		}
		if now.Sub(last) > memory {
			delete(e.losses, key)
		}
	}
	waves := e.waves()
	for segment := range e.sound {
		if waves[segment] == 0 {
			delete(e.sound, segment)
		}
	}
	for segment := range e.refused {
		if waves[segment] == 0 {
			delete(e.refused, segment)
		}
	}
}

// sortedLosses returns the losses in an order that doesn't depend on how they were learnt.
func (e *evidence) sortedLosses() []quetzalroad.UpstreamLoss {
	all := make([]quetzalroad.UpstreamLoss, 0, len(e.losses))
	for _, l := range e.losses {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b quetzalroad.UpstreamLoss) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(keyOf(a).segments, keyOf(b).segments))
	})
	return all
}

// export returns the evidence for other nodes.
func (e *evidence) export() quetzalroad.LossEvidence {
	exported := quetzalroad.LossEvidence{Losses: e.sortedLosses()}
	for id, wave := range e.sound {
		exported.Sound = append(exported.Sound, quetzalroad.SoundSegment{ID: id, Wave: wave})
	}
	for id, at := range e.refused {
		exported.Refused = append(exported.Refused, quetzalroad.RefusedSegment{ID: id, At: at})
	}
	slices.SortFunc(exported.Sound, func(a, b quetzalroad.SoundSegment) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(exported.Refused, func(a, b quetzalroad.RefusedSegment) int { return cmp.Compare(a.ID, b.ID) })
	return exported
}

// digest returns a hash of exported evidence; zero if it is empty.
func digest(e quetzalroad.LossEvidence) uint64 {
	if len(e.Losses) == 0 {
		return 0
	}
	h := xxhash.New()
	// Writing to a digest never fails.
	write := func(text string, number int64) {
		_, _ = h.WriteString(text)
		_, _ = h.WriteString("\x00" + strconv.FormatInt(number, 10) + "\x00")
	}
	for _, l := range e.Losses {
		write(string(l.Upstream), l.At.UnixMilli())
		for _, s := range l.Segments {
			write(s.ID, int64(s.Wave))
		}
	}
	for _, s := range e.Sound {
		write(s.ID, int64(s.Wave))
	}
	for _, r := range e.Refused {
		write(r.ID, r.At.UnixMilli())
	}
	return max(h.Sum64(), 1)
}
