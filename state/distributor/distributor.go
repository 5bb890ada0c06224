// Package distributor lets a few nodes of a data centre read the platform's log for the others, so
// that calls to the platform and bytes sent by it grow with the number of readers instead of nodes.
//
// Nodes register on a stream of the log. All nodes of a data centre rank its
// members in the same order: the first ones read the log, and each of the others
// reads from one of them. A response includes its age, so that freshness checks
// stay exact. A node whose reader fails, refuses or is too old reads the log itself.
package distributor

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/state/aggregator"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
	"github.com/quetzalroad/quetzalroad/support/stalltimer"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotLogSharing, Name: "distributor",
		New: func() kernel.Component { return new(Distributor) },
	})
}

// Distributor is a keyed log that reads through other nodes of the data centre. Declare describes
// its settings.
type Distributor struct {
	log       quetzalroad.KeyedLog
	writer    quetzalroad.KeyedWriter
	codec     quetzalroad.StateCodec
	transport quetzalroad.ReadTransport
	epochs    quetzalroad.EpochTracker
	logger    *slog.Logger
	self      quetzalroad.NodeRegistration

	minNodes           int
	fanOut             int
	readerPollWait     time.Duration
	pollInterval       time.Duration
	readTimeout        time.Duration
	transferTimeout    time.Duration
	loadTimeout        time.Duration
	maxAge             time.Duration
	avoidDuration      time.Duration
	refreshInterval    time.Duration
	registrationTTL    time.Duration
	settleDelay        time.Duration
	rewriteSpread      time.Duration
	callTimeout        time.Duration
	fallbackRetryDelay time.Duration

	// listEpoch is the epoch of the log in which the nodes have registered; zero before the list of nodes
	// was first read.
	listEpoch atomic.Uint64
	// node gives access to the trackers, whose slots are filled after this one.
	node       *kernel.Node
	aggregator aggregator.Aggregator
	members    members
	evidence   evidenceSharing
	usage      usageSharing
	// logFailed is set while the log does not respond to this node. refresh, which is buffered, is
	// signalled when it does again, and when this node has to read for others.
	logFailed atomic.Bool
	refresh   chan struct{}
	caches    map[quetzalroad.LogStream]*streamCache
}

// Declare implements kernel.Component.
func (d *Distributor) Declare(s *configloader.Section) {
	s.Int("least-nodes", &d.minNodes, 4, 2, 1000000, "Smallest number of nodes in a data centre at which some read the log for the others.")
	s.Int("fan-out", &d.fanOut, 24, 1, 10000, "Number of nodes that one node reads the log for, including itself.")
	s.Float("capacity", &d.self.ReadCapacity, 0, 0, 1e12, "Relative capacity of this node to serve reads; the nodes with the highest read the log for the others.")
	s.Duration("reader-wait", &d.readerPollWait, 600*time.Millisecond, 10*time.Millisecond, time.Minute, "How long a reader's call to the log waits for new records.")
	s.Duration("ask-every", &d.pollInterval, 500*time.Millisecond, 10*time.Millisecond, time.Minute, "Interval between two reads from the reader.")
	s.Duration("ask-timeout", &d.readTimeout, 300*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of the first part of a read from the reader, and of each further part.")
	s.Duration("transfer-timeout", &d.transferTimeout, 1500*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of a whole read of changes from the reader, whose link may be narrower than that to the log.")
	s.Duration("load-timeout", &d.loadTimeout, 3*time.Second, 10*time.Millisecond, time.Minute, "Timeout of a read of the latest record of every key from the reader; longer, as many nodes may read at once.")
	s.Duration("oldest", &d.maxAge, 2*time.Second, 10*time.Millisecond, time.Hour, "Maximum age of a reader's response.")
	s.Duration("fallback-retry", &d.fallbackRetryDelay, 2*time.Second, 0, time.Minute, "How long a node whose readers respond with an old view does not ask the log again after it failed.")
	s.Duration("avoid-for", &d.avoidDuration, 10*time.Second, 10*time.Millisecond, time.Hour, "How long to avoid a reader that failed to respond.")
	s.Duration("list-every", &d.refreshInterval, 20*time.Second, 10*time.Millisecond, time.Hour, "Interval between two reads of the list of nodes from the log. A node that has a reader reads it from there four times as often.")
	s.Duration("lifetime", &d.registrationTTL, 3*time.Minute, time.Second, 24*time.Hour, "Age at which a node's registration expires; a node rewrites its own after a third of it.")
	s.Duration("settle", &d.settleDelay, 400*time.Millisecond, 0, time.Minute, "Delay between the first two reads of the list of nodes, as several nodes may start together.")
	s.Duration("rewrite-spread", &d.rewriteSpread, 2*time.Second, 0, time.Minute, "Time over which the nodes spread the writes of their registrations after the log was restored from an older copy.")
	s.Duration("evidence-every", &d.evidence.interval, 250*time.Millisecond, 10*time.Millisecond, time.Minute, "Minimum time between two writes of this node's evidence of upstreams that exited, and between two reads of that of others.")
	s.Duration("call-timeout", &d.callTimeout, 800*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of a call to the log that reads or writes node registrations.")
}

// Build implements kernel.Component.
func (d *Distributor) Build(n *kernel.Node) error {
	if n.KeyedLog == nil || n.KeyedWriter == nil || n.LogEpochs == nil || n.StateCodec == nil || n.ReadTransport == nil {
		return errors.New("the distributor requires the slots keyed-log, log-epochs, entries and read-transport")
	}
	d.epochs = n.LogEpochs
	d.log, d.writer, d.codec, d.transport = n.KeyedLog, n.KeyedWriter, n.StateCodec, n.ReadTransport
	d.node = n
	d.refresh = make(chan struct{}, 1)
	d.logger = n.Logger
	d.self.Name, d.self.DataCentre, d.self.Address = n.Name, n.DataCentre, n.ReadTransport.ListenAddress()
	d.caches = map[quetzalroad.LogStream]*streamCache{
		quetzalroad.LogStreamOperators: new(streamCache),
		quetzalroad.LogStreamUpstreams: {decode: d.codec.DecodeRegistration},
		quetzalroad.LogStreamNodes:     new(streamCache),
	}
	n.KeyedLog = d
	n.AddTask("serve shared reads", func(ctx context.Context) error { return d.transport.Serve(ctx, d) })
	n.AddTask("maintain the list of nodes", d.maintainMembership)
	n.AddTask("share evidence of losses", d.shareEvidence)
	n.AddReadiness(d)
	n.Fleet = d
	n.LogSharing = d
	n.OnStop(d.deleteOwnRegistration)
	return nil
}

// ownRole returns this node's part in shared reads.
func (d *Distributor) ownRole() role {
	return d.members.roleOf(d.self, d.minNodes, d.fanOut)
}

// ReadLatest implements quetzalroad.KeyedLog. A starting node reads the log itself,
// as it knows no other nodes yet.
func (d *Distributor) ReadLatest(ctx context.Context, s quetzalroad.LogStream) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	ownRole := d.ownRole()
	if ownRole.hasReader() {
		records, bounds, err := d.readShared(ctx, ownRole.readers[0], quetzalroad.SharedReadRequest{Stream: s, From: quetzalroad.Position{Offset: quetzalroad.NoOffset}})
		if err == nil || d.readerFollowsSoon(s, err) {
			return records, bounds, err
		}
	}
	sentAt := boottimer.Now()
	records, bounds, err := d.log.ReadLatest(ctx, s)
	if err != nil {
		return nil, bounds, err
	}
	d.caches[s].load(records, bounds.Next(), sentAt)
	bounds.Hops = ownRole.hops()
	if !d.members.areKnown() {
		// This node may turn out to read for others.
		bounds.Hops = sharedReadHops
	}
	return records, bounds, nil
}

// ReadKeyed implements quetzalroad.KeyedLog.
func (d *Distributor) ReadKeyed(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Position, wait time.Duration) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	if wait > 0 {
		if err := d.members.awaitKnown(ctx, min(wait, d.settleDelay+d.callTimeout)); err != nil {
			return nil, quetzalroad.StreamBounds{}, err
		}
	}
	ownRole := d.ownRole()
	if ownRole.hasReader() {
		if wait > 0 {
			if err := sleeper.Sleep(ctx, min(wait, d.pollInterval)); err != nil {
				return nil, quetzalroad.StreamBounds{}, err
			}
		}
		return d.readThroughReaders(ctx, ownRole.readers, quetzalroad.SharedReadRequest{Stream: s, From: from})
	}
	cache := d.caches[s]
	if ownRole.readsLog {
		if !cache.continuesAt(from) {
			// The cache misses records that other nodes may need: reload it.
			return nil, quetzalroad.StreamBounds{}, quetzalroad.ErrTrimmed
		}
	}
	if ownRole.readsLog || !d.members.areKnown() {
		wait = min(wait, d.readerPollWait)
	}
	sentAt := boottimer.Now()
	records, bounds, err := d.readLog(ctx, s, from, wait, d.responseMargin(cache))
	cache.failing.Store(err != nil && !isReload(err))
	d.recordLogResult(ctx, err)
	if err != nil {
		return nil, bounds, err
	}
	cache.add(from, records, bounds, sentAt)
	if ownRole.readsLog {
		d.applyObservations(d.aggregator.Sum(time.Now(), d.self.Name))
	}
	bounds.Hops = ownRole.hops()
	return records, bounds, nil
}

// readLog reads from the log, with a margin for the first part of the response beside the wait, and for each
// further part. Callers allow for the longer wait of a node that reads for itself only; a response that was lost
// must not delay the next read by it.
func (d *Distributor) readLog(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Position, wait, margin time.Duration) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	ctx, cancel := stalltimer.WithTimeout(ctx, wait+margin, margin)
	defer cancel()
	return d.log.ReadKeyed(ctx, s, from, wait)
}

// responseMargin returns the time for a response of the log. It is half of that of a repetition, so that one lost
// response leaves the view of a reader young enough for the nodes behind it.
func (d *Distributor) responseMargin(c *streamCache) time.Duration {
	if c.failing.Load() {
		return d.callTimeout
	}
	return d.callTimeout / 2
}

// recordLogResult has the list of nodes read again once the log responds after a failure: evidence that
// other nodes wrote meanwhile came with no alert.
func (d *Distributor) recordLogResult(ctx context.Context, err error) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
	case err != nil && !isReload(err):
		d.logFailed.Store(true)
	case d.logFailed.CompareAndSwap(true, false):
		d.requestRefresh()
	}
}

// requestRefresh has the list of nodes read soon.
func (d *Distributor) requestRefresh() {
	select {
	case d.refresh <- struct{}{}:
	default:
	}
}
