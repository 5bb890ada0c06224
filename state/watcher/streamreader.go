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
	"github.com/quetzalroad/quetzalroad/support/stalltimer"
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

// batch holds the records of one read, in order.
type batch struct {
	records []quetzalroad.KeyedRecord
	// complete reports whether they are the latest of every key, so that a key without a record was deleted.
	complete bool
	// epoch is the one in which they were read. Records below inheritedEnd may come from the copy with
	// which it began.
	epoch        quetzalroad.Epoch
	inheritedEnd quetzalroad.Offset
}

// streamReader reads one stream until its context ends.
type streamReader struct {
	watcher *Watcher
	stream  quetzalroad.LogStream
	// pollWait is how long a read waits for a record, and interval the delay
	// between two reads. One of them is zero.
	pollWait time.Duration
	interval time.Duration
	// reads is advanced at the end of each read.
	reads *confirmation
	// apply is called with the records of each read.
	apply func(b batch)
	// onConfirmed, if not nil, is called with the time at which the log had no
	// records that this node has not read.
	onConfirmed func(at boottimer.Instant)

	// beforeRead, if not nil, is called before each read, and earlier if it is due: it returns the time
	// until it has to be called again, or zero if that can wait for the next read.
	beforeRead func() time.Duration

	// next is the position to read from; it is valid once loaded is set.
	next   quetzalroad.Position
	loaded bool
	// inheritedEnd is the offset below which records of the epoch of next may come from the copy with which
	// it began.
	inheritedEnd quetzalroad.Offset
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
		r.reads.advance(boottimer.Now())
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
		w.logger.Warn("log lost", "stream", string(r.stream), "next", int64(r.next.Offset), "age", w.Age(), "error", err)
	case err == nil && r.failing():
		w.logger.Info("log regained", "stream", string(r.stream), "next", int64(r.next.Offset))
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
	var epochChanged *quetzalroad.EpochChangedError
	switch {
	case errors.As(err, &epochChanged):
		r.watcher.logger.Warn("log restored from an older copy; reading the latest of every key", "stream", string(r.stream),
			"epoch", uint64(epochChanged.To), "known", uint64(epochChanged.From), "dropped-next", int64(r.next.Offset), "kept-version", r.watcher.version.Load())
		return r.load(ctx)
	case errors.Is(err, quetzalroad.ErrTrimmed):
		r.watcher.logger.Warn("records were dropped from the log; reading the latest of every key", "stream", string(r.stream), "next", int64(r.next.Offset))
		return r.load(ctx)
	}
	return err
}

// readNew reads and applies the records added since the last read.
func (r *streamReader) readNew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.pollWait+r.watcher.loadTimeout)
	defer cancel()
	ctx, stopTimer := stalltimer.WithTimeout(ctx, r.pollWait+r.watcher.callTimeout, r.watcher.callTimeout)
	defer stopTimer()
	sentAt := boottimer.Now()
	wait := r.pollWait
	if r.failing() {
		// Don't wait for a change: the view's age grows until a read confirms it.
		wait = 0
	}
	records, bounds, err := r.watcher.log.ReadKeyed(ctx, r.stream, r.next, wait)
	if err != nil {
		return err
	}
	r.applyBatch(batch{records: records, epoch: bounds.Epoch, inheritedEnd: r.inheritedEnd})
	r.next = bounds.Next()
	r.hops = bounds.Hops
	if r.next.Offset >= bounds.End {
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
	if err != nil {
		return err
	}
	restored := r.loaded && bounds.Epoch != r.next.Epoch
	if restored || !r.loaded {
		r.inheritedEnd = max(bounds.InheritedEnd, 0)
		if r.inheritedEnd == 0 {
			r.inheritedEnd = bounds.NextRead
		}
	}
	if restored && r.stream == quetzalroad.LogStreamUpstreams {
		// Registrations that were lost with the latest records are written again.
		r.watcher.registrations.markOutage()
	}
	r.applyBatch(batch{records: records, complete: true, epoch: bounds.Epoch, inheritedEnd: r.inheritedEnd})
	r.next = bounds.Next()
	r.hops = bounds.Hops
	r.loaded = true
	r.confirm(sentAt.Sub(bounds.Age))
	return nil
}

func (r *streamReader) applyBatch(b batch) {
	if r.failing() && r.stream == quetzalroad.LogStreamUpstreams {
		r.watcher.registrations.markOutage()
	}
	r.apply(b)
}

func (r *streamReader) confirm(at boottimer.Instant) {
	if r.onConfirmed != nil {
		r.onConfirmed(at)
	}
}
