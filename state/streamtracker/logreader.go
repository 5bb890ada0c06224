package streamtracker

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
	"github.com/quetzalroad/quetzalroad/support/stalltimer"
)

// logReader reads a stream of the log when it is asked to, one read at a time. The fields before turn are set by open or
// before it.
type logReader struct {
	log    quetzalroad.KeyedLog
	stream quetzalroad.LogStream
	// callTimeout is that of the first and each further part of a read, and loadTimeout that of a whole read.
	callTimeout, loadTimeout time.Duration
	// maxGap is the time after a read from which on the latest records are read instead of those that followed; zero
	// for no limit.
	maxGap time.Duration
	// apply applies records in order. complete reports whether they are the latest of all keys and replace all others.
	// No two calls run at once.
	apply func(records []quetzalroad.KeyedRecord, complete bool)
	// turn holds a value while no read is in progress.
	turn chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu. readAt is when the last successful read was sent; zero before the first.
	readAt boottimer.Instant
	next   quetzalroad.Position
	// loaded is set once the latest records were read.
	loaded bool
	// failedAt is when the last read failed; zero if it didn't.
	failedAt boottimer.Instant
	// restoredAt is when a read found that the log had been restored since the one before; zero if none did.
	restoredAt boottimer.Instant
}

func (r *logReader) open(log quetzalroad.KeyedLog) {
	r.log = log
	r.turn = make(chan struct{}, 1)
	r.turn <- struct{}{}
}

// refresh reads what was written before the call. Calls at the same time share a read.
func (r *logReader) refresh(ctx context.Context) error {
	calledAt := boottimer.Now()
	ctx, cancel := context.WithTimeout(ctx, r.loadTimeout)
	defer cancel()
	ctx, stopTimer := stalltimer.WithTimeout(ctx, r.callTimeout, r.callTimeout)
	defer stopTimer()
	select {
	case <-r.turn:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	defer func() { r.turn <- struct{}{} }()
	for {
		readAt, next, loaded := r.position()
		if loaded && readAt.After(calledAt) {
			return nil
		}
		sentAt := boottimer.Now()
		reload := !loaded || (r.maxGap > 0 && readAt.Age() > r.maxGap)
		complete, err := r.read(ctx, next, reload)
		if err != nil {
			r.setFailed(boottimer.Now())
			return errors.Wrapf(err, "read the stream %s", r.stream)
		}
		if complete {
			r.setReadAt(sentAt)
			return nil
		}
	}
}

// read reads the records from a position on, or the latest of each key, and reports whether there were no more.
func (r *logReader) read(ctx context.Context, next quetzalroad.Position, reload bool) (complete bool, err error) {
	var records []quetzalroad.KeyedRecord
	var bounds quetzalroad.StreamBounds
	if !reload {
		records, bounds, err = r.log.ReadKeyed(ctx, r.stream, next, 0)
		var epochChanged *quetzalroad.EpochChangedError
		reload = errors.Is(err, quetzalroad.ErrTrimmed) || errors.As(err, &epochChanged)
	}
	if reload {
		records, bounds, err = r.log.ReadLatest(ctx, r.stream)
	}
	if err != nil {
		return false, err
	}
	r.apply(records, reload)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && r.next.Epoch != bounds.Epoch {
		r.restoredAt = boottimer.Now()
	}
	r.next, r.loaded = bounds.Next(), true
	return r.next.Offset >= bounds.End, nil
}

func (r *logReader) setFailed(at boottimer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = at
}

func (r *logReader) setReadAt(at boottimer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAt, r.failedAt = at, boottimer.Instant{}
}

// isFailing reports whether the last read has just failed.
func (r *logReader) isFailing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failedAt.IsZero() && r.failedAt.Age() < r.callTimeout
}

// wasRestoredWithin reports whether this node found within a time that the log had been restored from an older copy.
func (r *logReader) wasRestoredWithin(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.restoredAt.IsZero() && r.restoredAt.Age() <= d
}

// position returns when the last read was sent, the position to read from, and whether anything was read.
func (r *logReader) position() (readAt boottimer.Instant, next quetzalroad.Position, loaded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readAt, r.next, r.loaded
}

// isLoaded reports whether the stream was ever read.
func (r *logReader) isLoaded() bool {
	_, _, loaded := r.position()
	return loaded
}

// epoch returns the epoch in which the stream was read.
func (r *logReader) epoch() quetzalroad.Epoch {
	_, next, _ := r.position()
	return next.Epoch
}
