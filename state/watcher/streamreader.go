package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

// confirmation is the time of the last confirmation by the log. The zero value
// means that there was none.
type confirmation struct {
	mu sync.Mutex
	// at is guarded by mu and never moves backwards.
	at boottimer.Instant
}

func (c *confirmation) advance(at boottimer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.at) {
		c.at = at
	}
}

// age returns the time since the last confirmation, or boottimer.Never if there was none.
func (c *confirmation) age() time.Duration {
	c.mu.Lock()
	at := c.at
	c.mu.Unlock()
	return at.Age()
}

// streamReader reads one stream until its context ends.
type streamReader struct {
	watcher *Watcher
	stream  quetzalroad.LogStream
	// pollWait is how long a read waits for a record, and interval the delay
	// between two reads. One of them is zero.
	pollWait time.Duration
	interval time.Duration
	// apply is called with records in order. If complete is set, they are the
	// latest of every key, so that a key without a record was deleted.
	apply func(records []quetzalroad.KeyedRecord, complete bool)
	// onConfirmed, if not nil, is called with the time at which the log had no
	// records that this node has not read.
	onConfirmed func(at boottimer.Instant)

	// beforeRead, if not nil, is called before each read, and earlier if it is due: it returns the time
	// until it has to be called again, or zero if that can wait for the next read.
	beforeRead func() time.Duration

	// nextOffset is the offset to read from; it is valid once loaded is set.
	nextOffset quetzalroad.Offset
	loaded     bool
	// epoch is the log's epoch as of the last response.
	epoch quetzalroad.Epoch
	// hops is StreamBounds.Hops of the last read; zero before the first read.
	// interval is divided by it, because the delays of the hops add up.
	hops int
	// failures is the number of consecutive failed reads.
	failures int
}

func (r *streamReader) run(ctx context.Context) error {
	for {
		if r.beforeRead != nil {
			r.beforeRead()
		}
		err := r.readOrLoad(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r.recordResult(err)
		delay := r.interval / time.Duration(max(1, r.hops))
		if err != nil {
			delay = r.backoff()
		}
		if err := r.sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// sleep waits until the next read, and calls beforeRead meanwhile whenever it is due.
func (r *streamReader) sleep(ctx context.Context, delay time.Duration) error {
	for r.beforeRead != nil {
		due := r.beforeRead()
		if due <= 0 || due >= delay {
			break
		}
		if err := sleeper.Sleep(ctx, due); err != nil {
			return err
		}
		delay -= due
	}
	return sleeper.Sleep(ctx, delay)
}

// failing reports whether the last read failed.
func (r *streamReader) failing() bool {
	return r.failures > 0
}

// recordResult counts consecutive failures, and logs and records outages.
func (r *streamReader) recordResult(err error) {
	w := r.watcher
	switch {
	case err != nil && !r.failing():
		w.logger.Warn("log lost", "stream", string(r.stream), "next", int64(r.nextOffset), "age", w.Age(), "error", err)
	case err == nil && r.failing():
		w.logger.Info("log regained", "stream", string(r.stream), "next", int64(r.nextOffset))
	}
	if r.stream == quetzalroad.LogStreamUpstreams && (err != nil || r.failing()) {
		w.registrations.markOutage()
	}
	if err == nil {
		r.failures = 0
	} else {
		r.failures++
	}
}

// backoff returns the delay after a failed read. It doubles with each failure, and
// up to a quarter is randomly subtracted so that nodes don't retry in step.
func (r *streamReader) backoff() time.Duration {
	w := r.watcher
	delay := w.initialBackoff
	for i := 1; i < r.failures && delay < w.maxBackoff; i++ {
		delay *= 2
	}
	delay = min(delay, max(w.maxBackoff, w.initialBackoff))
	return delay - rand.N(delay/4+1)
}

func (r *streamReader) readOrLoad(ctx context.Context) error {
	if !r.loaded {
		return r.load(ctx)
	}
	err := r.readNew(ctx)
	if errors.Is(err, quetzalroad.ErrTrimmed) {
		r.watcher.logger.Warn("records were dropped from the log; reading the latest of every key", "stream", string(r.stream), "next", int64(r.nextOffset))
		return r.load(ctx)
	}
	return err
}

// readNew reads and applies the records added since the last read.
func (r *streamReader) readNew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.pollWait+r.watcher.callTimeout)
	defer cancel()
	sentAt := boottimer.Now()
	wait := r.pollWait
	if r.failing() {
		// Don't wait for a change: the view's age grows until a read confirms it.
		wait = 0
	}
	records, bounds, err := r.watcher.log.ReadKeyed(ctx, r.stream, r.nextOffset, wait)
	r.observeEpoch(bounds)
	if err != nil {
		return err
	}
	r.applyRecords(records, false)
	r.nextOffset = bounds.NextRead
	r.hops = bounds.Hops
	if r.nextOffset >= bounds.End {
		r.confirm(sentAt.Sub(bounds.Age))
	}
	return nil
}

// load reads and applies the latest record of every key.
func (r *streamReader) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.watcher.loadTimeout)
	defer cancel()
	sentAt := boottimer.Now()
	records, bounds, err := r.watcher.log.ReadLatest(ctx, r.stream)
	r.observeEpoch(bounds)
	if err != nil {
		return err
	}
	r.applyRecords(records, true)
	r.nextOffset = bounds.NextRead
	r.hops = bounds.Hops
	r.loaded = true
	r.confirm(sentAt.Sub(bounds.Age))
	return nil
}

// observeEpoch logs a change of the log's epoch.
func (r *streamReader) observeEpoch(b quetzalroad.StreamBounds) {
	if b.Epoch == 0 || b.Epoch == r.epoch {
		return
	}
	r.watcher.logger.Warn("log epoch changed", "stream", string(r.stream), "epoch", uint64(b.Epoch), "known", uint64(r.epoch), "next", int64(r.nextOffset), "end", int64(b.End))
	r.epoch = b.Epoch
}

func (r *streamReader) applyRecords(records []quetzalroad.KeyedRecord, complete bool) {
	if r.failing() && r.stream == quetzalroad.LogStreamUpstreams {
		r.watcher.registrations.markOutage()
	}
	r.apply(records, complete)
}

func (r *streamReader) confirm(at boottimer.Instant) {
	if r.onConfirmed != nil {
		r.onConfirmed(at)
	}
}
