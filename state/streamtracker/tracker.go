// Package streamtracker tracks at which software version of a service each resumable stream began.
//
// The events of two versions don't fit together, and a caller may resume its stream at a node that never saw it,
// or after all nodes were killed. So the log holds which versions each service has had in use lately. While there
// are several, every node records there where its streams began. A stream that nobody recorded can be resumed only
// while its service has had one version. What a node last read of the log doesn't show that, as other nodes may have
// read more since: it reads the log again, and asks other nodes if the log doesn't respond.
package streamtracker

import (
	"expvar"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
	"github.com/quetzalroad/quetzalroad/support/configloader"
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
	// conditionalWriter writes records that depend on others.
	conditionalWriter quetzalroad.ConditionalWriter
	logger            *slog.Logger

	retention     time.Duration
	checkInterval time.Duration
	writeInterval time.Duration
	nodeInterval  time.Duration
	resultDelay   time.Duration
	openTimeout   time.Duration
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
	// open holds the versions at which streams may begin as of the last check; nil before the first.
	open atomic.Pointer[openVersions]
	// key is that of this process's record, and startedAt when the process started.
	key       string
	startedAt boottimer.Instant
	// acknowledged holds the announcements that this process's record acknowledges. Only the task that writes
	// the record uses it.
	acknowledged map[quetzalroad.StreamOrigin]quetzalroad.Offset
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
	s.Duration("open-timeout", &t.openTimeout, 5*time.Second, 0, time.Minute, "How long a further software version of a service waits at most, before streams begin there, for all nodes to record the streams that they have begun at the other one.")
	s.Duration("call-timeout", &t.callTimeout, 800*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of a write, and of the first and each further part of a read.")
	s.Duration("load-timeout", &t.records.loadTimeout, 3*time.Second, 10*time.Millisecond, time.Minute, "Timeout of a whole read.")
	s.Duration("quick-timeout", &t.quickTimeout, 300*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of a read for another node, and of one for this node while the log has not confirmed its view for longer than confirmed-within.")
	s.Duration("confirmed-within", &t.confirmedWithin, 3*time.Second, 10*time.Millisecond, time.Hour, "Age of the view of the published state from which on the log is taken to be away, and not asked for other nodes.")
	s.Duration("peer-timeout", &t.peerTimeout, 600*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of the questions to other nodes, which are asked where a stream began if the log doesn't respond. It exceeds quick-timeout.")
}

// Build implements kernel.Component.
func (t *Tracker) Build(n *kernel.Node) error {
	if n.KeyedLog == nil || n.KeyedWriter == nil || n.ConditionalWriter == nil || n.StateCodec == nil {
		return errors.New("the stream tracker requires the slots keyed-log, with conditional writes, and entries")
	}
	t.node, t.writer, t.conditionalWriter, t.logger = n, n.KeyedWriter, n.ConditionalWriter, n.Logger
	t.startedAt = boottimer.Now()
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
