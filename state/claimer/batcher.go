package claimer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/claimmapper"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

// maxBatch is the maximum number of entries in one record.
const maxBatch = 500

// batcher collects entries for the next append. The zero value is ready for use.
type batcher struct {
	mu sync.Mutex
	// pending holds the entries in order. The first inFlight ones are being appended.
	pending  []claimmapper.Entry
	inFlight int
	// changed is closed at each addition and each append; nil if nobody waits.
	changed chan struct{}
}

// add appends an entry to the pending ones.
func (b *batcher) add(e claimmapper.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, e)
	b.notifyLocked()
}

// withdraw removes a pending claim, unless it is being appended.
func (b *batcher) withdraw(attemptID quetzalroad.RequestID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := b.inFlight; i < len(b.pending); i++ {
		if b.pending[i].ID == attemptID && b.pending[i].Kind == claimmapper.EntryClaim {
			b.pending = slices.Delete(b.pending, i, i+1)
			return
		}
	}
}

func (b *batcher) notifyLocked() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// nextChange returns a channel that is closed at the next change.
func (b *batcher) nextChange() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nextChangeLocked()
}

func (b *batcher) nextChangeLocked() <-chan struct{} {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// nextBatch returns a copy of the entries to append or, if there are none, a
// channel that is closed at the next change.
func (b *batcher) nextBatch() ([]claimmapper.Entry, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		return nil, b.nextChangeLocked()
	}
	b.inFlight = min(len(b.pending), maxBatch)
	return slices.Clone(b.pending[:b.inFlight]), nil
}

// dropAppended removes the entries that nextBatch returned.
func (b *batcher) dropAppended() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = slices.Clone(b.pending[b.inFlight:])
	b.inFlight = 0
	b.notifyLocked()
}

// empty reports whether no entries are pending or being appended.
func (b *batcher) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) == 0
}

// appendBatches appends batches until the node stops. A batch whose append failed is
// appended again, as it may have been stored: applying it twice changes nothing.
func (c *Claimer) appendBatches(ctx context.Context) error {
	for {
		entries, changed := c.batch.nextBatch()
		if entries == nil {
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
			continue
		}
		start := time.Now()
		for !c.appendBatch(ctx, entries) {
			if err := sleeper.Sleep(ctx, c.retryDelay); err != nil {
				return err
			}
		}
		c.batch.dropAppended()
		if err := sleeper.Sleep(ctx, c.batchInterval-time.Since(start)); err != nil {
			return err
		}
	}
}

// appendBatch appends entries. It reports false if the append failed and must be repeated; entries
// that can't be encoded are dropped.
func (c *Claimer) appendBatch(ctx context.Context, entries []claimmapper.Entry) bool {
	data, err := claimmapper.Encode(claimmapper.Batch{Node: c.name, Entries: entries})
	if err != nil {
		c.logger.Error("dropping claims that can't be encoded", "error", err)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, c.appendTimeout)
	defer cancel()
	if _, err := c.log.Append(ctx, quetzalroad.LogStreamClaims, data); err != nil {
		c.vars.Add("claims-append-failures", 1)
		return false
	}
	c.vars.Add("claims-appends", 1)
	return true
}

// flush waits until all pending entries are in the log, for a planned stop. It
// gives up after flushTimeout: a key whose outcome is missing stays claimed, which
// is safe, and an unavailable log must not keep a node from stopping.
func (c *Claimer) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.flushTimeout)
	defer cancel()
	for {
		changed := c.batch.nextChange()
		if c.batch.empty() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			c.logger.Warn("timed out appending the outcomes of idempotency keys to the log")
			return
		}
	}
}
