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

// freshness holds the mark of the last confirmation. The zero value was never
// confirmed.
type freshness struct {
	mu sync.Mutex
	// at is guarded by mu and never goes back.
	at boottimer.Instant
}

func (f *freshness) set(at boottimer.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.at) {
		f.at = at
	}
}

func (f *freshness) age() time.Duration {
	f.mu.Lock()
	at := f.at
	f.mu.Unlock()
	return at.Age()
}

// follow reads one stream on and on.
type follow struct {
	watcher *Watcher
	stream  quetzalroad.LogStream
	// wait is how long a read waits for a record, and every the pause between
	// two reads. One of them is zero.
	wait  time.Duration
	every time.Duration
	// apply takes records in order. Whole tells that they hold the newest of
	// each key, so that a key that is missing is gone.
	apply func(records []quetzalroad.KeyedRecord, whole bool)
	// confirmed is told the moment before which all records were read; nil
	// where nobody asks.
	confirmed func(at boottimer.Instant)

	// before runs before each read; nil where there is nothing to do.
	before func()

	// next is the offset to read from; it holds once loaded is set.
	next   quetzalroad.Offset
	loaded bool
	// hops counts the steps from the log to the last node that follows the
	// last answer; zero before the first.
	hops int
	// failures counts the failed reads in a row.
	failures int
}

func (f *follow) run(ctx context.Context) error {
	for {
		if f.before != nil {
			f.before()
		}
		err := f.round(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.note(err)
		pause := f.every / time.Duration(max(1, f.hops))
		if err != nil {
			pause = f.backoff()
		}
		if err := sleeper.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// away tells that the last read failed.
func (f *follow) away() bool {
	return f.failures > 0
}

// note logs when the log is lost and regained, and tells it to the entries.
func (f *follow) note(err error) {
	w := f.watcher
	switch {
	case err != nil && !f.away():
		w.logger.Warn("log lost", "stream", string(f.stream), "next", int64(f.next), "age", w.Age(), "error", err)
	case err == nil && f.away():
		w.logger.Info("log regained", "stream", string(f.stream), "next", int64(f.next))
	}
	if f.stream == quetzalroad.LogStreamUpstreams && (err != nil || f.away()) {
		w.entries.disturbed()
	}
	if err == nil {
		f.failures = 0
	} else {
		f.failures++
	}
}

// backoff is the pause after a failed read: a doubling one, less up to a quarter
// by chance, so that the nodes don't all ask at once.
func (f *follow) backoff() time.Duration {
	w := f.watcher
	pause := w.retryEvery
	for i := 1; i < f.failures && pause < w.retryMost; i++ {
		pause *= 2
	}
	pause = min(pause, max(w.retryMost, w.retryEvery))
	return pause - rand.N(pause/4+1)
}

func (f *follow) round(ctx context.Context) error {
	if !f.loaded {
		return f.load(ctx)
	}
	err := f.read(ctx)
	if errors.Is(err, quetzalroad.ErrTrimmed) {
		f.watcher.logger.Warn("history gone", "stream", string(f.stream), "next", int64(f.next))
		return f.load(ctx)
	}
	return err
}

// read takes the records that came since the last read.
func (f *follow) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.wait+f.watcher.callTimeout)
	defer cancel()
	sent := boottimer.Now()
	wait := f.wait
	if f.away() {
		// Whether the view still holds is wanted at once.
		wait = 0
	}
	records, bounds, err := f.watcher.log.ReadKeyed(ctx, f.stream, f.next, wait)
	if err != nil {
		return err
	}
	f.take(records, false)
	f.next = bounds.NextRead
	f.hops = bounds.Hops
	if f.next >= bounds.End {
		f.confirm(sent.Sub(bounds.Age))
	}
	return nil
}

// load starts anew from the newest record of each key.
func (f *follow) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.watcher.loadTimeout)
	defer cancel()
	sent := boottimer.Now()
	records, bounds, err := f.watcher.log.ReadLatest(ctx, f.stream)
	if err != nil {
		return err
	}
	f.take(records, true)
	f.next = bounds.NextRead
	f.hops = bounds.Hops
	f.loaded = true
	f.confirm(sent.Sub(bounds.Age))
	return nil
}

func (f *follow) take(records []quetzalroad.KeyedRecord, whole bool) {
	if f.away() && f.stream == quetzalroad.LogStreamUpstreams {
		f.watcher.entries.disturbed()
	}
	f.apply(records, whole)
}

func (f *follow) confirm(at boottimer.Instant) {
	if f.confirmed != nil {
		f.confirmed(at)
	}
}
