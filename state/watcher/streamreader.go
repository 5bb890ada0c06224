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

// confirmation holds the mark of the last confirmation. The zero value was never
// confirmed.
type confirmation struct {
	mu sync.Mutex
	// at is guarded by mu and never goes back.
	at boottimer.Instant
}

func (c *confirmation) advance(at boottimer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.at) {
		c.at = at
	}
}

func (c *confirmation) age() time.Duration {
	c.mu.Lock()
	at := c.at
	c.mu.Unlock()
	return at.Age()
}

// streamReader reads one stream on and on.
type streamReader struct {
	watcher *Watcher
	stream  quetzalroad.LogStream
	// pollWait is how long a read waits for a record, and every the pause between
	// two reads. One of them is zero.
	pollWait time.Duration
	interval time.Duration
	// apply takes records in order. Whole tells that they hold the newest of
	// each key, so that a key that is missing is gone.
	apply func(records []quetzalroad.KeyedRecord, complete bool)
	// onConfirmed is told the moment before which all records were read; nil
	// where nobody asks.
	onConfirmed func(at boottimer.Instant)

	// beforeRead runs before each read; nil where there is nothing to do.
	beforeRead func()

	// nextOffset is the offset to read from; it holds once loaded is set.
	nextOffset quetzalroad.Offset
	loaded     bool
	// hops counts the steps from the log to the last node that follows the
	// last answer; zero before the first.
	hops int
	// failures counts the failed reads in a row.
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
		if err := sleeper.Sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// failing tells that the last read failed.
func (r *streamReader) failing() bool {
	return r.failures > 0
}

// recordResult logs when the log is lost and regained, and tells it to the entries.
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

// backoff is the pause after a failed read: a doubling one, less up to a quarter
// by chance, so that the nodes don't all ask at once.
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
		r.watcher.logger.Warn("history gone", "stream", string(r.stream), "next", int64(r.nextOffset))
		return r.load(ctx)
	}
	return err
}

// readNew takes the records that came since the last read.
func (r *streamReader) readNew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.pollWait+r.watcher.callTimeout)
	defer cancel()
	sentAt := boottimer.Now()
	wait := r.pollWait
	if r.failing() {
		// Whether the view still holds is wanted at once.
		wait = 0
	}
	records, bounds, err := r.watcher.log.ReadKeyed(ctx, r.stream, r.nextOffset, wait)
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

// load starts anew from the newest record of each key.
func (r *streamReader) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.watcher.loadTimeout)
	defer cancel()
	sentAt := boottimer.Now()
	records, bounds, err := r.watcher.log.ReadLatest(ctx, r.stream)
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
