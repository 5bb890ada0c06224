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

// partial is a snapshot of which some parts were read.
type partial struct {
	id     string
	covers quetzalroad.Offset
	// data has an entry for each part; missing counts the nil ones.
	data    [][]byte
	missing int
}

// collect gathers the parts of a snapshot and gives its data once it is whole.
func (f *Follower) collect(p *recordmapper.SnapshotPart) ([]byte, bool) {
	if f.parts.id != p.ID || len(f.parts.data) != p.Parts {
		f.parts = partial{id: p.ID, covers: p.Covers, data: make([][]byte, p.Parts), missing: p.Parts}
	}
	if f.parts.data[p.Part] == nil {
		f.parts.data[p.Part] = p.Data
		f.parts.missing--
	}
	if f.parts.missing > 0 {
		return nil, false
	}
	var whole []byte
	for _, d := range f.parts.data {
		whole = append(whole, d...)
	}
	if p.Covers > f.snapshotAt {
		f.snapshotAt = p.Covers
	}
	return whole, true
}

// scanGap looks for a whole snapshot among records that don't join on, and
// restores the state from it.
func (f *Follower) scanGap(records []quetzalroad.Record) {
	for _, r := range records {
		f.scan = r.Offset + 1
		entry, err := recordmapper.Decode(r.Data)
		if err != nil || entry.Snapshot == nil {
			continue
		}
		whole, ok := f.collect(entry.Snapshot)
		if !ok {
			continue
		}
		if err := f.restore(whole); err != nil {
			f.logger.Warn("snapshot not taken", "offset", int64(r.Offset), "error", err)
		}
	}
}

// restore loads a snapshot and closes the gap. Records after it are read
// again from the log or from peers.
func (f *Follower) restore(data []byte) error {
	if err := f.machine.restore(data); err != nil {
		return err
	}
	f.kept = nil
	f.gap = false
	f.consulted = true
	if applied := f.machine.store.AppliedOffset(); applied > f.known {
		f.known = applied
	}
	f.vars.Add("snapshots-loaded", 1)
	for id := range f.waiting {
		if v, ok := f.machine.byID[id]; ok {
			f.answer(id, v)
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
		f.logger.Error("snapshot failed", "error", err)
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

// snapshotCheck is how often a node looks whether a snapshot is due.
const snapshotCheck = 5 * time.Second

// writeSnapshots appends a snapshot when enough records came since the last.
// Nodes look at random moments. Of n nodes each writes with a chance of one in
// n, which doubles with each look that finds the snapshot still due, so that
// mostly one node writes and some node does for sure. A second snapshot does no
// harm.
func (f *Follower) writeSnapshots(ctx context.Context) error {
	chances := 1
	for {
		if err := sleeper.Sleep(ctx, snapshotCheck+rand.N(snapshotCheck)); err != nil {
			return err
		}
		switch {
		case !f.snapshotDue():
			chances = 1
		case rand.IntN(f.nodes()) < chances:
			f.writeSnapshot(ctx)
			chances = 1
		default:
			chances *= 2
		}
	}
}

// nodes counts the nodes that may write a snapshot.
func (f *Follower) nodes() int {
	if f.node.Peers == nil {
		return 1
	}
	return 1 + len(f.node.Peers.Status())
}

func (f *Follower) snapshotDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	applied := f.machine.store.AppliedOffset()
	return !f.gap && !f.tailLost && applied == f.known && int(applied-f.snapshotAt) > f.snapshotEvery
}

func (f *Follower) writeSnapshot(ctx context.Context) {
	data, covers := f.Snapshot()
	if data == nil {
		return
	}
	id := uuid.NewString()
	parts := (len(data) + snapshotPartBytes - 1) / snapshotPartBytes
	for i := range parts {
		end := min((i+1)*snapshotPartBytes, len(data))
		record, err := recordmapper.EncodeSnapshot(recordmapper.SnapshotPart{
			ID: id, Covers: covers, Part: i, Parts: parts, Data: data[i*snapshotPartBytes : end],
		})
		if err == nil {
			err = f.appendOnce(ctx, record)
		}
		if err != nil {
			f.logger.Warn("snapshot not written", "part", i, "parts", parts, "error", err)
			return
		}
	}
	f.vars.Add("snapshots-written", 1)
}
