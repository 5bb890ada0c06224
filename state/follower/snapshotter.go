package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/recordmapper"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

// snapshotAssembly holds the parts of a snapshot read so far.
type snapshotAssembly struct {
	id     string
	covers quetzalroad.Offset
	// parts has an entry for each part; missing counts the nil ones.
	parts   [][]byte
	missing int
}

// addPart adds a part of a snapshot and returns the snapshot once it is complete.
func (f *Follower) addPart(p *recordmapper.SnapshotPart) ([]byte, bool) {
	if f.assembly.id != p.ID || len(f.assembly.parts) != p.Count {
		f.assembly = snapshotAssembly{id: p.ID, covers: p.LastIncludedOffset, parts: make([][]byte, p.Count), missing: p.Count}
	}
	if f.assembly.parts[p.Index] == nil {
		f.assembly.parts[p.Index] = p.Data
		f.assembly.missing--
	}
	if f.assembly.missing > 0 {
		return nil, false
	}
	var data []byte
	for _, part := range f.assembly.parts {
		data = append(data, part...)
	}
	if p.LastIncludedOffset > f.snapshotOffset {
		f.snapshotOffset = p.LastIncludedOffset
	}
	return data, true
}

// scanForSnapshot looks for a complete snapshot among records after a gap, and
// restores the state from it.
func (f *Follower) scanForSnapshot(records []quetzalroad.Record) {
	for _, r := range records {
		f.scanOffset = r.Offset + 1
		entry, err := recordmapper.Decode(r.Data)
		if err != nil || entry.Snapshot == nil {
			continue
		}
		data, ok := f.addPart(entry.Snapshot)
		if !ok {
			continue
		}
		if err := f.restore(data); err != nil {
			f.logger.Warn("failed to restore snapshot", "offset", int64(r.Offset), "error", err)
		}
	}
}

// restore loads a snapshot, which ends a gap. The records after it are then read
// from the log or from peers, again if they were read before.
func (f *Follower) restore(data []byte) error {
	if err := f.machine.restore(data); err != nil {
		return err
	}
	f.recentRecords = nil
	f.hasGap = false
	f.endKnown = true
	if applied := f.machine.store.AppliedOffset(); applied > f.highestKnown {
		f.highestKnown = applied
	}
	f.vars.Add("snapshots-loaded", 1)
	for id := range f.waiters {
		if result, ok := f.machine.resultByID[id]; ok {
			f.notifyWaiter(id, result)
		}
	}
	return nil
}

// Snapshot implements quetzalroad.Snapshotter.
func (f *Follower) Snapshot() ([]byte, quetzalroad.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := f.machine.snapshot()
	if err != nil {
		f.logger.Error("failed to encode snapshot", "error", err)
		return nil, quetzalroad.NoOffset
	}
	return data, f.machine.store.AppliedOffset()
}

// Restore implements quetzalroad.Snapshotter.
func (f *Follower) Restore(data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restore(data)
}

// snapshotCheckInterval is the minimum delay between two checks; the maximum is twice that.
const snapshotCheckInterval = 5 * time.Second

// writeSnapshots appends a snapshot once enough records follow the last one. Nodes
// check at random times. Each of n nodes writes with probability 1/n, doubled at
// each check that finds the snapshot still due, so that usually only one node
// writes, and eventually one does. A duplicate snapshot is harmless.
func (f *Follower) writeSnapshots(ctx context.Context) error {
	chances := 1
	for {
		if err := sleeper.Sleep(ctx, snapshotCheckInterval+rand.N(snapshotCheckInterval)); err != nil {
			return err
		}
		switch {
		case !f.snapshotDue():
			chances = 1
		case rand.IntN(f.nodeCount()) < chances:
			f.writeSnapshot(ctx)
			chances = 1
		default:
			chances *= 2
		}
	}
}

// nodeCount returns the number of nodes that may write a snapshot.
func (f *Follower) nodeCount() int {
	if f.node.Peers == nil {
		return 1
	}
	return 1 + len(f.node.Peers.Status())
}

func (f *Follower) snapshotDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	applied := f.machine.store.AppliedOffset()
	return !f.hasGap && !f.tailLost && applied == f.highestKnown && int(applied-f.snapshotOffset) > f.snapshotInterval
}

func (f *Follower) writeSnapshot(ctx context.Context) {
	data, covers := f.Snapshot()
	if data == nil {
		return
	}
	id := uuid.NewString()
	parts := (len(data) + maxSnapshotPartBytes - 1) / maxSnapshotPartBytes
	for i := range parts {
		end := min((i+1)*maxSnapshotPartBytes, len(data))
		record, err := recordmapper.EncodeSnapshot(recordmapper.SnapshotPart{
			ID: id, LastIncludedOffset: covers, Index: i, Count: parts, Data: data[i*maxSnapshotPartBytes : end],
		})
		if err == nil {
			err = f.appendOnce(ctx, record)
		}
		if err != nil {
			f.logger.Warn("failed to append snapshot", "part", i, "parts", parts, "error", err)
			return
		}
	}
	f.vars.Add("snapshots-written", 1)
}
