// Package quarantiner finds the prompt segments, and the requests as a whole, that crash the upstreams
// that respond to them, and keeps them from further upstreams.
//
// A loss is recorded if an upstream's process exits as it begins to respond to a request. Each shared
// segment of the request's prompt is a suspect, and so is the request as a whole. If nothing explains the
// exit like that, it is a weak sign against each request that was in flight. A complete response
// disproves the losses under its segments that were known by then. A segment under which several
// upstreams exited, in more than one wave, is quarantined: requests with it are refused. From time to time
// one node lets a single request through to find out whether the segment still crashes upstreams.
//
// Each node sees few of the losses. So nodes exchange their evidence and come to the same conclusion
// from it. A request that was in flight at one exit only is not told of, as each exit takes many with it.
package quarantiner

import (
	"context"
	"expvar"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotQuarantine, Name: "quarantiner", Default: true,
		New: func() kernel.Component { return new(Quarantiner) },
	})
}

// Quarantiner implements quetzalroad.Quarantine. Declare describes its settings.
type Quarantiner struct {
	node       *kernel.Node
	logger     *slog.Logger
	thresholds thresholds
	memory     time.Duration
	probeDelay time.Duration
	alertTime  time.Duration
	changed    chan struct{}

	proven provenSegments
	// provenRequests holds the requests as a whole that lately had complete responses.
	provenRequests provenSegments
	lost           lostRequests
	// table is what follows from the evidence; nil while there is none. It is not modified once it is
	// stored.
	table atomic.Pointer[segmentTable]

	mu sync.Mutex
	// The fields below are guarded by mu.
	evidence evidence
	// lastNotice is when notice was last given of requests in flight, and noticePending is set if it will be.
	lastNotice    time.Time
	noticePending bool
	probes        map[string]*probe
	exits         recentExits
}

// segmentTable is what a node concludes from the evidence.
type segmentTable struct {
	evidence quetzalroad.LossEvidence
	digest   uint64
	// directDigest is the digest without the requests in flight.
	directDigest uint64
	// segments holds all segments of the losses.
	segments map[string]segmentState
}

// segmentState is what is concluded about one segment.
type segmentState struct {
	// wave is the highest wave of the losses under the segment, and sound the highest one that a
	// complete response disproves; proven reports whether there was such a response.
	wave, sound int
	proven      bool
	// suspicious reports whether more than a single exit with requests in flight speaks against it. Only then are
	// other nodes told of a complete response.
	suspicious bool
	// upstreams is the number of upstreams that exited under the segment if it is quarantined, else zero.
	upstreams int
}

// Declare implements kernel.Component.
func (q *Quarantiner) Declare(s *configloader.Section) {
	s.Int("upstreams", &q.thresholds.upstreams, defaultThresholds.upstreams, 2, 1000, "Number of upstreams that have to exit as they begin to respond to requests with a prompt segment before it is quarantined.")
	s.Int("waves", &q.thresholds.waves, defaultThresholds.waves, 1, 1000, "Number of successive waves in which these upstreams have to exit; those that exit all at once are one wave.")
	s.Int("many-upstreams", &q.thresholds.manyUpstreams, defaultThresholds.manyUpstreams, 2, 1000, "The same as upstreams for a segment that was seen in complete responses before. For one that never was, so many upstreams are enough, also in one wave.")
	s.Int("in-flight-upstreams", &q.thresholds.inFlightUpstreams, defaultThresholds.inFlightUpstreams, 3, 1000, "Number of upstreams that have to exit with requests in flight that share a segment, and were not beginning to respond to them, before it is quarantined. Less is enough for the same request.")
	s.Int("in-flight-waves", &q.thresholds.inFlightWaves, defaultThresholds.inFlightWaves, 1, 1000, "Number of successive waves in which these upstreams have to exit.")
	s.Duration("memory", &q.memory, 10*time.Minute, time.Second, 24*time.Hour, "How long the exit of an upstream counts, and how long a segment stays quarantined after the last request with it.")
	s.Duration("probe-after", &q.probeDelay, 30*time.Second, time.Second, time.Hour, "Time from the quarantine of a segment until a single request with it is sent again; ten times as long for each further one.")
	s.Duration("alert-for", &q.alertTime, 15*time.Second, time.Second, time.Hour, "Time within which the exit of two upstreams makes a node read the evidence of others at once.")
}

// Build implements kernel.Component.
func (q *Quarantiner) Build(n *kernel.Node) error {
	q.node = n
	q.logger = n.Logger
	q.changed = make(chan struct{}, 1)
	n.Quarantine = q
	n.AddTask("expire evidence of losses", q.expireEvidence)
	n.Vars.Set("quarantined-segments", expvar.Func(func() any { return len(q.Quarantined(time.Now())) }))
	return nil
}

// expiryInterval is the fraction of the memory after which evidence is checked for its age.
const expiryInterval = 10

func (q *Quarantiner) expireEvidence(ctx context.Context) error {
	for {
		if err := sleeper.Sleep(ctx, q.memory/expiryInterval); err != nil {
			return err
		}
		q.mu.Lock()
		q.conclude(time.Now())
		q.mu.Unlock()
	}
}

// Changed implements quetzalroad.Quarantine.
func (q *Quarantiner) Changed() <-chan struct{} {
	return q.changed
}

func (q *Quarantiner) notify() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// Check implements quetzalroad.Quarantine.
func (q *Quarantiner) Check(now time.Time, id quetzalroad.RequestID, segments []quetzalroad.PromptSegment) (quetzalroad.QuarantinedSegment, bool) {
	table := q.table.Load()
	if table == nil {
		return quetzalroad.QuarantinedSegment{}, false
	}
	for _, s := range segments {
		key := segmentKey(s.ID)
		state := table.segments[key]
		if state.upstreams == 0 || q.allowProbe(now, key, id) {
			continue
		}
		q.recordRefused(now, key)
		return quetzalroad.QuarantinedSegment{ID: key, Upstreams: state.upstreams, RetryAfter: q.untilProbe(now, key)}, true
	}
	return quetzalroad.QuarantinedSegment{}, false
}

// refusedPrecision is the fraction of the memory after which the time of a refusal is recorded again.
const refusedPrecision = 4

// recordRefused extends the quarantine of a segment that requests still ask for.
func (q *Quarantiner) recordRefused(now time.Time, segment string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.evidence.refused[segment]) < q.memory/refusedPrecision {
		return
	}
	q.evidence.expire(now, q.memory)
	if q.evidence.waves()[segment] > 0 {
		q.evidence.markRefused(segment, now)
	}
	q.conclude(now)
}

// Merge implements quetzalroad.Quarantine.
func (q *Quarantiner) Merge(now time.Time, e quetzalroad.LossEvidence) {
	if len(e.Losses)+len(e.InFlight) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range e.Losses {
		if _, known := q.evidence.losses[keyOf(l)]; !known && now.Sub(l.At) < q.alertTime && q.exits.add(now, l.Upstream, q.alertTime) {
			q.notify()
		}
	}
	q.evidence.merge(e)
	q.conclude(now)
}

// conclude replaces the table by what follows from the evidence. The caller holds the lock.
func (q *Quarantiner) conclude(now time.Time) {
	q.evidence.expire(now, q.memory)
	waves := q.evidence.waves()
	for segment := range waves {
		if q.provenSet(segment).contains(segment) {
			q.evidence.markSound(segment, 0)
		}
	}
	q.evidence.narrow()
	waves = q.evidence.waves()
	before := q.table.Load()
	if len(waves) == 0 {
		q.replaceTable(now, before, nil)
		return
	}
	exported := q.evidence.export()
	table := &segmentTable{evidence: exported, digest: digest(exported), directDigest: digest(directEvidence(exported)), segments: make(map[string]segmentState, len(waves))}
	if before != nil && before.digest == table.digest {
		return
	}
	quarantined := attribute(exported, q.evidence.sound, q.thresholds)
	weights := q.evidence.weigh()
	for segment, wave := range waves {
		sound, proven := q.evidence.sound[segment]
		w := weights[segment]
		table.segments[segment] = segmentState{wave: wave, sound: sound, proven: proven, suspicious: w.occurrences > 1 || w.direct > 0, upstreams: quarantined[segment]}
	}
	q.replaceTable(now, before, table)
	if before == nil || before.directDigest != table.directDigest || !maps.Equal(before.quarantined(), table.quarantined()) {
		q.notify()
	}
}

func (q *Quarantiner) replaceTable(now time.Time, before, after *segmentTable) {
	q.table.Store(after)
	q.logChanges(before, after)
	q.updateProbes(now, after)
}

// logChanges logs which segments are quarantined now, and which no longer are.
func (q *Quarantiner) logChanges(before, after *segmentTable) {
	for id, state := range after.quarantined() {
		if before.quarantined()[id].upstreams == 0 {
			q.logger.Warn("segment quarantined", "segment", id, "upstreams", state.upstreams, "wave", state.wave, "sound-wave", state.sound, "proven", state.proven, "losses", len(after.evidence.Losses))
		}
	}
	for id := range before.quarantined() {
		if after.quarantined()[id].upstreams == 0 {
			q.logger.Warn("segment released", "segment", id, "suspected", after.knows(id))
		}
	}
}

// quarantined returns the quarantined segments.
func (t *segmentTable) quarantined() map[string]segmentState {
	if t == nil {
		return nil
	}
	list := make(map[string]segmentState)
	for id, state := range t.segments {
		if state.upstreams > 0 {
			list[id] = state
		}
	}
	return list
}

// knows reports whether there are losses under a segment.
func (t *segmentTable) knows(segment string) bool {
	if t == nil {
		return false
	}
	_, known := t.segments[segment]
	return known
}

// wave returns the highest wave of the losses under a segment; zero if there is none.
func (t *segmentTable) wave(segment string) int {
	if t == nil {
		return 0
	}
	return t.segments[segment].wave
}

// Evidence implements quetzalroad.Quarantine.
func (q *Quarantiner) Evidence() quetzalroad.LossEvidence {
	if table := q.table.Load(); table != nil {
		return table.evidence
	}
	return quetzalroad.LossEvidence{}
}

// Digest implements quetzalroad.Quarantine.
func (q *Quarantiner) Digest() uint64 {
	if table := q.table.Load(); table != nil {
		return table.digest
	}
	return 0
}

// DirectDigest implements quetzalroad.Quarantine.
func (q *Quarantiner) DirectDigest() uint64 {
	if table := q.table.Load(); table != nil {
		return table.directDigest
	}
	return 0
}

// IsAlert implements quetzalroad.Quarantine.
func (q *Quarantiner) IsAlert(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.exits.isAlert(now, q.alertTime)
}

// Quarantined implements quetzalroad.Quarantine.
func (q *Quarantiner) Quarantined(now time.Time) []quetzalroad.QuarantinedSegment {
	var list []quetzalroad.QuarantinedSegment
	for id, state := range q.table.Load().quarantined() {
		list = append(list, quetzalroad.QuarantinedSegment{ID: id, Upstreams: state.upstreams, RetryAfter: q.untilProbe(now, id)})
	}
	slices.SortFunc(list, func(a, b quetzalroad.QuarantinedSegment) int { return strings.Compare(a.ID, b.ID) })
	return list
}
