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

// maxBatch bounds the entries of one record.
const maxBatch = 500

// batcher collects entries for the next append. The zero value is empty.
type batcher struct {
	mu sync.Mutex
	// pending are the entries in order, those at the front being appended.
	// The first flying ones are with the appender.
	pending []claimmapper.Entry
	flying  int
	// changed is closed and replaced at each addition and each append.
	changed chan struct{}
}

// add puts an entry at the end.
func (b *batcher) add(e claimmapper.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, e)
	b.notifyLocked()
}

// withdraw takes a claim out, unless it is with the appender.
func (b *batcher) withdraw(try quetzalroad.RequestID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := b.flying; i < len(b.pending); i++ {
		if b.pending[i].ID == try && b.pending[i].Step == claimmapper.StepClaim {
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

// signal gives a channel that is closed at the next change.
func (b *batcher) signal() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.signalLocked()
}

func (b *batcher) signalLocked() <-chan struct{} {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// take gives the entries to append, in a copy, or else a channel that is
// closed when there may be some.
func (b *batcher) take() ([]claimmapper.Entry, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		return nil, b.signalLocked()
	}
	b.flying = min(len(b.pending), maxBatch)
	return slices.Clone(b.pending[:b.flying]), nil
}

// appended drops the entries that were taken.
func (b *batcher) appended() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = slices.Clone(b.pending[b.flying:])
	b.flying = 0
	b.notifyLocked()
}

// empty tells that nothing waits to be appended.
func (b *batcher) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) == 0
}

// append appends batches until the node ends. A batch whose append was not
// answered is appended again: applying it twice changes nothing.
func (c *Claimer) append(ctx context.Context) error {
	for {
		entries, changed := c.batch.take()
		if entries == nil {
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
			continue
		}
		began := time.Now()
		for !c.appendOnce(ctx, entries) {
			if err := sleeper.Sleep(ctx, c.retryPause); err != nil {
				return err
			}
		}
		c.batch.appended()
		if err := sleeper.Sleep(ctx, c.interval-time.Since(began)); err != nil {
			return err
		}
	}
}

func (c *Claimer) appendOnce(ctx context.Context, entries []claimmapper.Entry) bool {
	data, err := claimmapper.Encode(claimmapper.Batch{Node: c.name, Entries: entries})
	if err != nil {
		c.logger.Error("claims not encoded", "error", err)
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

// flush waits until all outcomes are in the log, for a planned stop. It gives
// up after a while: a key whose outcome is missing stays claimed, which is
// safe, and a log that is away must not keep a node from stopping.
func (c *Claimer) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.flushTimeout)
	defer cancel()
	for {
		changed := c.batch.signal()
		if c.batch.empty() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			c.logger.Warn("outcomes of idempotency keys did not reach the log")
			return
		}
	}
}
