// Package follower maintains the published state: it reads the state stream of
// the platform's log and applies its records in offset order, accepts records
// and snapshots from peers while the log is unavailable, publishes changes and
// waits until they are read back, and appends snapshots before retention drops
// the records they cover.
package follower

import (
	"context"
	"expvar"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotState, Name: "follower", Default: true,
		New: func() kernel.Component { return new(Follower) },
	})
}

const (
	// minRecentRecords is the number of recent records that trimming keeps for peers.
	minRecentRecords = 2048
	// maxSnapshotPartBytes is the maximum size of the data in one snapshot record.
	maxSnapshotPartBytes = 128 << 10
)

// Follower implements the kernel's state slot on an append-only log.
type Follower struct {
	node     *kernel.Node
	log      quetzalroad.Log
	logger   *slog.Logger
	recorder quetzalroad.Recorder
	vars     *expvar.Map

	pollWait         time.Duration
	retryDelay       time.Duration
	appendTimeout    time.Duration
	publishTimeout   time.Duration
	snapshotInterval int

	// mu guards the state machine and the fields below. The machine's store has
	// its own locks for readers.
	mu      sync.Mutex
	machine stateMachine
	// recentRecords are the last applied records, without gaps, up to the
	// machine's offset. They are trimmed above 2*minRecentRecords.
	recentRecords []quetzalroad.Record
	// waiters holds a channel for each change being published by this node.
	waiters map[quetzalroad.ChangeID]chan quetzalroad.ChangeResult
	// highestKnown is the highest offset reported by the log or a peer.
	highestKnown quetzalroad.Offset
	// endKnown is set once the log or a peer has reported the end of the stream.
	endKnown bool
	// hasGap reports whether records after the machine's offset were lost, so
	// that a snapshot is needed.
	hasGap bool
	// scanOffset is the offset from which to look for a snapshot after a gap.
	scanOffset quetzalroad.Offset
	// assembly collects the parts of the snapshot being read.
	assembly snapshotAssembly
	// snapshotOffset is the highest offset covered by a complete snapshot.
	snapshotOffset quetzalroad.Offset
	// tailLost is set once the log has reported an end below the applied offset, or another epoch.
	tailLost bool
	// epoch is the log's epoch as of the last read; zero before the first.
	epoch quetzalroad.Epoch
}

// Declare implements kernel.Component.
func (f *Follower) Declare(s *configloader.Section) {
	s.Duration("poll-wait", &f.pollWait, 2*time.Second, 10*time.Millisecond, time.Minute, "How long a read of the log waits for new records.")
	s.Duration("retry-pause", &f.retryDelay, 250*time.Millisecond, time.Millisecond, time.Minute, "Delay after a failed read of the log or a failed append of a change.")
	s.Duration("append-timeout", &f.appendTimeout, 2*time.Second, 10*time.Millisecond, time.Minute, "Timeout of one append to the log.")
	s.Duration("publish-timeout", &f.publishTimeout, 10*time.Second, 100*time.Millisecond, 5*time.Minute, "How long to wait for a published change to be read back from the log.")
	s.Int("snapshot-every", &f.snapshotInterval, 1000, 10, 1000000, "Number of records after which a snapshot is appended.")
}

// Build implements kernel.Component.
func (f *Follower) Build(n *kernel.Node) error {
	f.node = n
	f.log = n.Log
	f.logger = n.Logger
	f.recorder = n.Recorder
	f.vars = n.Vars
	f.mu.Lock()
	f.highestKnown = quetzalroad.NoOffset
	f.snapshotOffset = quetzalroad.NoOffset
	f.mu.Unlock()
	n.Directory = &f.machine.store
	n.Publisher = f
	n.Snapshotter = f
	n.Replicators = append(n.Replicators, f)
	n.AddReadiness(f)
	n.Vars.Set("state-offset", expvar.Func(func() any { return int64(f.machine.store.AppliedOffset()) }))
	n.Vars.Set("state-known-offset", expvar.Func(func() any { return int64(f.highestKnownOffset()) }))
	n.AddTask("follow state", f.follow)
	n.AddTask("write snapshots", f.writeSnapshots)
	return nil
}

func (f *Follower) highestKnownOffset() quetzalroad.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highestKnown
}

var (
	errEndUnknown  = errors.New("neither the log nor a peer has told where the state ends")
	errBehind      = errors.New("the state is behind the highest offset heard of")
	errRecordsLost = errors.New("records were lost to retention and no snapshot was found yet")
)

// Ready implements quetzalroad.Readiness.
func (f *Follower) Ready() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.endKnown {
		return errEndUnknown
	}
	if f.hasGap {
		return errRecordsLost
	}
	if f.machine.store.AppliedOffset() < f.highestKnown {
		return errBehind
	}
	return nil
}

// follow reads the state stream until the context ends.
func (f *Follower) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if err == nil {
			continue
		}
		f.vars.Add("log-read-failures", 1)
		// The loop condition checks the context.
		_ = sleeper.Sleep(ctx, f.retryDelay)
	}
	return ctx.Err()
}

func (f *Follower) readOnce(ctx context.Context) error {
	from, wait := f.nextRead()
	records, bounds, err := f.log.Read(ctx, quetzalroad.LogStreamState, from, wait)
	if err != nil {
		return err
	}
	f.applyRead(records, bounds)
	return nil
}

// nextRead returns the offset to read from and how long the read may wait for new
// records. The first read doesn't wait, as it has to report the end of the stream.
func (f *Follower) nextRead() (quetzalroad.Offset, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := f.pollWait
	if !f.endKnown {
		wait = 0
	}
	if f.hasGap {
		return f.scanOffset, wait
	}
	return f.machine.store.AppliedOffset() + 1, wait
}

// applyRead applies the result of a read of the log.
func (f *Follower) applyRead(records []quetzalroad.Record, bounds quetzalroad.StreamBounds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateBounds(bounds)
	for _, r := range records {
		f.applyRecord(r)
	}
	if f.hasGap && len(records) > 0 {
		f.scanForSnapshot(records)
	}
}

// updateBounds updates what is known about the ends of the stream. An end below the
// applied offset, or another epoch, means that the log lost its tail: it is logged, but the state stays.
func (f *Follower) updateBounds(b quetzalroad.StreamBounds) {
	f.endKnown = true
	applied := f.machine.store.AppliedOffset()
	if b.End-1 > f.highestKnown {
		f.highestKnown = b.End - 1
	}
	restored := f.epoch != 0 && b.Epoch != f.epoch
	f.epoch = b.Epoch
	if restored || (b.End <= applied && !f.tailLost) {
		f.tailLost = true
		f.vars.Add("log-tail-lost", 1)
		f.logger.Error("the log lost records: its end is below the applied offset, or it was restored from an older copy", "epoch", uint64(b.Epoch), "log-next", int64(b.End), "applied", int64(applied))
	}
	if b.Earliest > applied+1 && !f.hasGap {
		f.hasGap = true
		f.scanOffset = max(f.scanOffset, b.Earliest)
		f.vars.Add("log-gaps", 1)
		f.logger.Warn("records were dropped by retention before they were read", "earliest", int64(b.Earliest), "applied", int64(applied))
	}
}

// applyRecord applies a record if it has the next offset, and reports whether it did.
func (f *Follower) applyRecord(r quetzalroad.Record) bool {
	if r.Offset != f.machine.store.AppliedOffset()+1 {
		return false
	}
	entry, result, err := f.machine.apply(r)
	if err != nil {
		f.vars.Add("records-set-aside", 1)
		f.logger.Warn("ignoring invalid record", "offset", int64(r.Offset), "error", err)
	}
	f.bufferRecord(r)
	if r.Offset > f.highestKnown {
		f.highestKnown = r.Offset
	}
	if entry.Change != nil {
		f.notifyWaiter(entry.Change.ID, result)
	}
	if entry.Snapshot != nil {
		f.addPart(entry.Snapshot)
	}
	return true
}

func (f *Follower) bufferRecord(r quetzalroad.Record) {
	f.recentRecords = append(f.recentRecords, r)
	if len(f.recentRecords) > 2*minRecentRecords {
		f.recentRecords = append([]quetzalroad.Record(nil), f.recentRecords[minRecentRecords:]...)
	}
}

func (f *Follower) notifyWaiter(id quetzalroad.ChangeID, result quetzalroad.ChangeResult) {
	waiter, ok := f.waiters[id]
	if !ok {
		return
	}
	delete(f.waiters, id)
	waiter <- result
}

// Stream implements quetzalroad.StreamReplicator.
func (f *Follower) Stream() quetzalroad.LogStream {
	return quetzalroad.LogStreamState
}

// RecordsFrom implements quetzalroad.StreamReplicator.
func (f *Follower) RecordsFrom(from quetzalroad.Offset) []quetzalroad.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, r := range f.recentRecords {
		if r.Offset == from {
			return append([]quetzalroad.Record(nil), f.recentRecords[i:]...)
		}
	}
	return nil
}

// Apply implements quetzalroad.StreamReplicator.
func (f *Follower) Apply(records []quetzalroad.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endKnown = true
	for _, r := range records {
		f.applyRecord(r)
	}
}

// AppliedOffset implements quetzalroad.StreamReplicator.
func (f *Follower) AppliedOffset() quetzalroad.Offset {
	return f.machine.store.AppliedOffset()
}

// ObservePeerOffset implements quetzalroad.StreamReplicator.
func (f *Follower) ObservePeerOffset(offset quetzalroad.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endKnown = true
	if offset > f.highestKnown {
		f.highestKnown = offset
	}
}
