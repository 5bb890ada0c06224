// Package streamtracker tracks at which software version of a service each resumable stream began.
//
// The events of two versions don't fit together, and a caller may resume its stream at a node that never saw it,
// or after all nodes were killed. So the log holds which versions each service has had in use lately. While there
// are several, every node records there where its streams began. A stream that nobody recorded can be resumed only
// while its service has had one version. What a node last read of the log doesn't show that, as other nodes may have
// read more since: it reads the log again, and asks other nodes if the log doesn't respond.
package streamtracker

import (
	"context"
	"expvar"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotStreamTracker, Name: "log",
		New: func() kernel.Component { return new(Tracker) },
	})
}

// Tracker implements quetzalroad.StreamTracker on a stream of the log. Declare describes its settings.
type Tracker struct {
	// node gives access to components whose slots are filled after this one.
	node   *kernel.Node
	writer quetzalroad.KeyedWriter
	logger *slog.Logger

	retention     time.Duration
	checkInterval time.Duration
	writeInterval time.Duration
	nodeInterval  time.Duration
	resultDelay   time.Duration
	callTimeout   time.Duration
	peerTimeout   time.Duration
	// quickTimeout and confirmedWithin bound the reads while the log may be away.
	quickTimeout    time.Duration
	confirmedWithin time.Duration

	streams       localStreams
	records       records
	registrations registrations
	// mixed holds the versions in use as of the last check.
	mixed atomic.Pointer[versionSets]
	// key is that of this process's record.
	key string
	// wanted is signalled when a stream is to be recorded, and urgent when it may be resumed right away. Both are
	// buffered.
	wanted, urgent chan struct{}

	recordsWritten, writeFailures, readFailures, unknown, questionsSent expvar.Int
}

// Declare implements kernel.Component.
func (t *Tracker) Declare(s *configloader.Section) {
	s.Duration("retention", &t.retention, 30*time.Second, time.Second, time.Hour, "How long it is remembered where a stream began that was interrupted, and that a service has had a software version. It exceeds the time in which callers resume streams.")
	s.Duration("check-interval", &t.checkInterval, 250*time.Millisecond, 10*time.Millisecond, time.Minute, "Interval between two checks of the software versions of the registered upstreams.")
	s.Duration("write-interval", &t.writeInterval, 250*time.Millisecond, 10*time.Millisecond, time.Minute, "Minimum time between two records of the streams of this node, while a service has several software versions.")
	s.Duration("node-interval", &t.nodeInterval, 7500*time.Microsecond, 0, time.Second, "Minimum time between the records of any two nodes on average, which bounds the writes of a large fleet.")
	s.Duration("result-delay", &t.resultDelay, 400*time.Millisecond, 0, time.Minute, "How long to wait for the record of a stream that another node may be about to write.")
	s.Duration("call-timeout", &t.callTimeout, 800*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of a write, and of the first and each further part of a read.")
	s.Duration("load-timeout", &t.records.loadTimeout, 3*time.Second, 10*time.Millisecond, time.Minute, "Timeout of a whole read.")
	s.Duration("quick-timeout", &t.quickTimeout, 300*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of a read for another node, and of one for this node while the log has not confirmed its view for longer than confirmed-within.")
	s.Duration("confirmed-within", &t.confirmedWithin, 3*time.Second, 10*time.Millisecond, time.Hour, "Age of the view of the published state from which on the log is taken to be away, and not asked for other nodes.")
	s.Duration("peer-timeout", &t.peerTimeout, 600*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of the questions to other nodes, which are asked where a stream began if the log doesn't respond. It exceeds quick-timeout.")
}

// Build implements kernel.Component.
func (t *Tracker) Build(n *kernel.Node) error {
	if n.KeyedLog == nil || n.KeyedWriter == nil || n.StateCodec == nil {
		return errors.New("the stream tracker requires the slots keyed-log and entries")
	}
	t.node, t.writer, t.logger = n, n.KeyedWriter, n.Logger
	t.records.callTimeout = t.callTimeout
	t.records.open(n.KeyedLog, n.Logger)
	t.registrations.callTimeout, t.registrations.loadTimeout = t.callTimeout, t.records.loadTimeout
	t.registrations.open(n.KeyedLog, n.StateCodec, n.Logger)
	t.mixed.Store(new(versionSets))
	t.wanted, t.urgent = make(chan struct{}, 1), make(chan struct{}, 1)
	// A process must not replace the record of the one before it, whose streams may still be resumed.
	t.key = nodePrefix + string(n.Name) + "/" + strconv.FormatInt(time.Now().UnixMilli(), 36)
	n.StreamTracker = t
	n.Vars.Set("stream-records-written", &t.recordsWritten)
	n.Vars.Set("stream-write-failures", &t.writeFailures)
	n.Vars.Set("stream-read-failures", &t.readFailures)
	n.Vars.Set("stream-origins-unknown", &t.unknown)
	n.Vars.Set("stream-origin-questions", &t.questionsSent)
	n.AddTask("check software versions", t.checkVersions)
	n.AddTask("record streams", t.recordStreams)
	return nil
}

// RecordBegun implements quetzalroad.StreamTracker.
func (t *Tracker) RecordBegun(now time.Time, id quetzalroad.RequestID, o quetzalroad.StreamOrigin) {
	if !isRecordable(id) {
		return
	}
	t.streams.begin(now, id, o)
	if t.mustRecord(o.Service) {
		signal(t.wanted)
	}
}

// isRecordable reports whether a stream can be told from others by its id. Callers may resume streams without naming
// them, and JSON can't tell ids that are no valid UTF-8 from each other.
func isRecordable(id quetzalroad.RequestID) bool {
	return id != "" && len(id) <= maxIDBytes && utf8.ValidString(string(id))
}

// RecordEnd implements quetzalroad.StreamTracker.
func (t *Tracker) RecordEnd(now time.Time, id quetzalroad.RequestID, complete bool) {
	o, unrecorded := t.streams.end(now, id, complete)
	if unrecorded && !complete && t.mustRecord(o.Service) {
		signal(t.urgent)
	}
}

// mustRecord reports whether the streams of a service are recorded, as it has several versions in use.
func (t *Tracker) mustRecord(s quetzalroad.ServiceName) bool {
	return t.mixed.Load().isMixed(s)
}

// signal signals a buffered channel.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Origin implements quetzalroad.StreamTracker.
func (t *Tracker) Origin(ctx context.Context, id quetzalroad.RequestID, s quetzalroad.ServiceName) (quetzalroad.StreamOrigin, error) {
	calledAt := boottimer.Now()
	q := quetzalroad.OriginQuestion{Service: s}
	if isRecordable(id) {
		q.Stream = id
	}
	o, err := t.findOrigin(ctx, q)
	if errors.Is(err, quetzalroad.ErrOriginUnknown) && q.Stream != "" {
		// The node that the caller was connected to may be about to record the stream.
		if err := sleeper.Sleep(ctx, t.resultDelay); err != nil {
			return o, err
		}
		o, err = t.findOrigin(ctx, q)
	}
	if errors.Is(err, quetzalroad.ErrOriginUnknown) && q.Stream != "" && t.canAskAllPeers() {
		o, err = t.findAtPeers(ctx, q)
	}
	if err != nil {
		t.unknown.Add(1)
		return o, err
	}
	t.refreshRegistrations(ctx, calledAt)
	return o, nil
}

// refreshRegistrations reads which incarnations of upstreams are registered, for IsReplaced, unless that was read since
// calledAt. While the log is away, none can register.
func (t *Tracker) refreshRegistrations(ctx context.Context, calledAt boottimer.Instant) {
	readAt, _, loaded := t.registrations.position()
	if (loaded && readAt.After(calledAt)) || t.isLogAway() || t.records.isFailing() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, t.quickTimeout)
	defer cancel()
	if err := t.registrations.refresh(ctx); err != nil {
		t.readFailures.Add(1)
		t.logger.Info("failed to read the registrations of upstreams", "error", err)
	}
}

// IsReplaced implements quetzalroad.StreamTracker.
func (t *Tracker) IsReplaced(u quetzalroad.UpstreamName) bool {
	return t.registrations.isReplaced(u)
}

// findOrigin asks the log, and other nodes if it doesn't respond.
func (t *Tracker) findOrigin(ctx context.Context, q quetzalroad.OriginQuestion) (quetzalroad.StreamOrigin, error) {
	own := t.ownReport(ctx, q)
	if settles(own) {
		return conclude(q.Service, own, nil, 0)
	}
	others := t.askPeers(ctx, q, settles)
	if err := ctx.Err(); err != nil {
		return quetzalroad.StreamOrigin{}, err
	}
	o, err := conclude(q.Service, own, others.reports, others.asked)
	t.logger.Info("other nodes asked for the origin of a stream", "resumes", string(q.Stream), "service", string(q.Service),
		"own-versions", own.Versions, "asked", others.asked, "answered", len(others.reports), "failure", others.failure,
		"current", slices.ContainsFunc(others.reports, func(r quetzalroad.OriginReport) bool { return r.IsCurrent }), "version", string(o.Version), "error", err)
	return o, err
}

// findAtPeers asks the other nodes for a stream that no record has, although its service has several versions: the node
// that it began at may not reach the log.
func (t *Tracker) findAtPeers(ctx context.Context, q quetzalroad.OriginQuestion) (quetzalroad.StreamOrigin, error) {
	others := t.askPeers(ctx, q, func(r quetzalroad.OriginReport) bool { return r.Found })
	for _, r := range others.reports {
		if r.Found {
			return r.Origin, nil
		}
	}
	t.logger.Info("no other node knows a stream", "resumes", string(q.Stream), "asked", others.asked, "answered", len(others.reports), "failure", others.failure)
	return quetzalroad.StreamOrigin{}, quetzalroad.ErrOriginUnknown
}

// isLogAway reports whether the log has not confirmed this node's view for so long that it is not expected to respond.
func (t *Tracker) isLogAway() bool {
	return t.node.Freshness != nil && t.node.Freshness.Age() > t.confirmedWithin
}

// ownReport returns what this node knows, to resume a stream here. While the log is away, it doesn't wait long for it.
func (t *Tracker) ownReport(ctx context.Context, q quetzalroad.OriginQuestion) quetzalroad.OriginReport {
	if !t.isLogAway() {
		return t.report(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, t.quickTimeout)
	defer cancel()
	return t.report(ctx, q)
}

// Report implements quetzalroad.StreamTracker. While many nodes can't reach the log, they all ask each other, and must not
// all ask the log for each other.
func (t *Tracker) Report(ctx context.Context, q quetzalroad.OriginQuestion) quetzalroad.OriginReport {
	timeout := t.quickTimeout
	if t.isLogAway() {
		timeout = 0
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.report(ctx, q)
}

// report returns what this node knows, after a read from the log unless the context has ended.
func (t *Tracker) report(ctx context.Context, q quetzalroad.OriginQuestion) quetzalroad.OriginReport {
	if o, ok := t.streams.find(q.Stream); ok {
		return quetzalroad.OriginReport{Origin: o, Found: true}
	}
	versions, err := t.readVersions(ctx, q.Service)
	if err != nil {
		t.readFailures.Add(1)
		t.logger.Info("failed to read the origins of streams", "error", err)
		versions = t.versionsInUse()
	}
	if o, ok := t.records.find(q.Stream); ok {
		return quetzalroad.OriginReport{Origin: o, Found: true}
	}
	report := quetzalroad.OriginReport{IsCurrent: err == nil}
	if t.records.isLoaded() {
		report.Versions = slices.Sorted(maps.Keys(versions[q.Service]))
	}
	return report
}

// readVersions reads the records and, unless these show several versions of a service, the registrations of its upstreams:
// other nodes begin streams at a version from its first registration on, and record it later.
func (t *Tracker) readVersions(ctx context.Context, s quetzalroad.ServiceName) (versionSets, error) {
	if ctx.Err() != nil || (t.records.isFailing() && !t.mustRecord(s)) {
		return nil, errLogFailing
	}
	if err := t.records.refresh(ctx); err != nil {
		return nil, err
	}
	versions := t.versionsInUse()
	if versions.isMixed(s) {
		return versions, nil
	}
	if err := t.registrations.refresh(ctx); err != nil {
		return nil, err
	}
	t.registrations.addTo(versions)
	return versions, nil
}

// errLogFailing is returned instead of reading a log that has just failed, or is away.
var errLogFailing = errors.New("the log has just failed")
