package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// maxLosses bounds the losses that a node keeps and sends, and the upstreams with requests in flight; the
// latest ones stay.
const maxLosses = 64

// lossKey identifies a loss, so that it counts once if several nodes report it.
type lossKey struct {
	upstream quetzalroad.UpstreamName
	// request is the id of the request as a whole, or the ids of the segments, joined, if there is none.
	request string
}

func keyOf(l quetzalroad.UpstreamLoss) lossKey {
	if n := len(l.Segments); n > 0 && quetzalroad.IsWholeRequest(l.Segments[n-1].ID) {
		return lossKey{upstream: l.Upstream, request: l.Segments[n-1].ID}
	}
	ids := make([]string, len(l.Segments))
	for i, s := range l.Segments {
		ids[i] = s.ID
	}
	return lossKey{upstream: l.Upstream, request: strings.Join(ids, ",")}
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
	// inFlight holds the exits of upstreams with requests in flight.
	inFlight map[quetzalroad.UpstreamName]inFlightLoss
	// sound holds the highest wave that a complete response disproves, by segment of the losses.
	sound map[string]int
	// refused is when a request with a quarantined segment was last refused.
	refused map[string]time.Time
}

func (e *evidence) init() {
	if e.losses == nil {
		e.losses, e.inFlight = make(map[lossKey]quetzalroad.UpstreamLoss), make(map[quetzalroad.UpstreamName]inFlightLoss)
		e.sound, e.refused = make(map[string]int), make(map[string]time.Time)
	}
}

// addLoss adds a loss. Of one that is known the higher waves and the later time count.
func (e *evidence) addLoss(l quetzalroad.UpstreamLoss) {
	e.init()
	key := keyOf(l)
	known, ok := e.losses[key]
	if !ok {
		l.Segments = slices.Clone(l.Segments)
		e.losses[key] = l
		e.trimLosses()
		return
	}
	if l.At.After(known.At) {
		known.At = l.At
	}
	known.Segments = mergeSegments(known.Segments, l.Segments)
	e.losses[key] = known
}

// mergeSegments returns the segments of a loss as two nodes know it, with the higher waves. Each may have
// dropped some, and the longer list stays.
func mergeSegments(a, b []quetzalroad.ExposedSegment) []quetzalroad.ExposedSegment {
	if compareSegments(a, b) < 0 {
		a, b = b, a
	}
	waves := make(map[string]int, len(b))
	for _, s := range b {
		waves[s.ID] = max(waves[s.ID], s.Wave)
	}
	merged := slices.Clone(a)
	for i := range merged {
		merged[i].Wave = max(merged[i].Wave, waves[merged[i].ID])
	}
	return merged
}

// compareSegments orders lists of segments, without their waves, by length and then by their ids.
func compareSegments(a, b []quetzalroad.ExposedSegment) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), slices.CompareFunc(a, b, func(a, b quetzalroad.ExposedSegment) int { return cmp.Compare(a.ID, b.ID) }))
}

// trimLosses drops the oldest losses beyond maxLosses.
func (e *evidence) trimLosses() {
	if len(e.losses) <= maxLosses {
		return
	}
	keys := slices.SortedFunc(maps.Keys(e.losses), func(a, b lossKey) int {
		return cmp.Or(e.losses[b].At.Compare(e.losses[a].At), compareKeys(a, b))
	})
	for _, key := range keys[maxLosses:] {
		delete(e.losses, key)
	}
}

func compareKeys(a, b lossKey) int {
	return cmp.Or(cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.request, b.request))
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
	for _, l := range other.InFlight {
		e.addInFlight(l)
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
	for _, l := range e.inFlight {
		for id, wave := range l.waves {
			waves[id] = max(waves[id], wave)
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
	for u, l := range e.inFlight {
		if now.Sub(l.lastAt(e.refused)) > memory {
			delete(e.inFlight, u)
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
	for _, key := range slices.SortedFunc(maps.Keys(e.losses), compareKeys) {
		all = append(all, e.losses[key])
	}
	return all
}

// export returns the evidence for other nodes.
func (e *evidence) export() quetzalroad.LossEvidence {
	exported := quetzalroad.LossEvidence{Losses: e.sortedLosses(), InFlight: e.sortedInFlight()}
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
	if len(e.Losses)+len(e.InFlight) == 0 {
		return 0
	}
	h := xxhash.New()
	// Writing to a digest never fails.
	write := func(text string, number int64) {
		_, _ = h.WriteString(text)
		_, _ = h.WriteString("\x00" + strconv.FormatInt(number, 10) + "\x00")
	}
	for _, l := range slices.Concat(e.Losses, e.InFlight) {
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
