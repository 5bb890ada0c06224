package streamtracker

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/streammapper"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
	"github.com/quetzalroad/quetzalroad/support/stalltimer"
)

// The keys of the records: one for each software version that a service has in use, and one for each process of the
// router that has recorded streams.
const (
	versionPrefix = "version/"
	nodePrefix    = "node/"
)

func versionKey(o quetzalroad.StreamOrigin) string {
	return versionPrefix + string(o.Service) + "/" + string(o.Version)
}

// reader reads the records of all nodes, one read at a time.
type reader struct {
	log         quetzalroad.KeyedLog
	logger      *slog.Logger
	callTimeout time.Duration
	loadTimeout time.Duration
	// turn holds a value while no read is in progress.
	turn chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu. readAt is when the last successful read was sent; zero before the first.
	readAt boottimer.Instant
	next   quetzalroad.Position
	// versions and streams hold what the records state, by key.
	versions map[string]quetzalroad.StreamOrigin
	streams  map[string]nodeStreams
	// failedAt is when the last read failed; zero if it didn't.
	failedAt boottimer.Instant
}

// nodeStreams is the record of the streams of a node.
type nodeStreams struct {
	offset  quetzalroad.Offset
	origins map[quetzalroad.RequestID]quetzalroad.StreamOrigin
}

func (r *reader) open(log quetzalroad.KeyedLog, logger *slog.Logger) {
	r.log, r.logger = log, logger
	r.turn = make(chan struct{}, 1)
	r.turn <- struct{}{}
}

// refresh reads what was written before the call. Calls at the same time share a read.
func (r *reader) refresh(ctx context.Context) error {
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
		sentAt, next, loaded := r.position()
		if loaded && sentAt.After(calledAt) {
			return nil
		}
		sentAt = boottimer.Now()
		complete, err := r.read(ctx, next, loaded)
		if err != nil {
			r.setFailed(boottimer.Now())
			return errors.Wrap(err, "read the origins of streams")
		}
		if complete {
			r.setReadAt(sentAt)
			return nil
		}
	}
}

func (r *reader) setFailed(at boottimer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = at
}

// isFailing reports whether the last read has just failed.
func (r *reader) isFailing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failedAt.IsZero() && r.failedAt.Age() < r.callTimeout
}

// position returns when the last read was sent, the position to read from, and whether anything was read.
func (r *reader) position() (readAt boottimer.Instant, next quetzalroad.Position, loaded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readAt, r.next, r.versions != nil
}

func (r *reader) setReadAt(at boottimer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAt, r.failedAt = at, boottimer.Instant{}
}

// read reads the records from a position on, or the latest of each key if there is none, and reports whether there
// were no more.
func (r *reader) read(ctx context.Context, next quetzalroad.Position, loaded bool) (complete bool, err error) {
	var records []quetzalroad.KeyedRecord
	var bounds quetzalroad.StreamBounds
	err = quetzalroad.ErrTrimmed
	if loaded {
		records, bounds, err = r.log.ReadKeyed(ctx, quetzalroad.LogStreamStreams, next, 0)
	}
	var epochChanged *quetzalroad.EpochChangedError
	reload := errors.Is(err, quetzalroad.ErrTrimmed) || errors.As(err, &epochChanged)
	if reload {
		records, bounds, err = r.log.ReadLatest(ctx, quetzalroad.LogStreamStreams)
	}
	if err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if reload {
		r.versions = make(map[string]quetzalroad.StreamOrigin)
		r.streams = make(map[string]nodeStreams)
	}
	for _, record := range records {
		r.applyLocked(record)
	}
	r.next = bounds.Next()
	return r.next.Offset >= bounds.End, nil
}

// applyLocked applies a record. One that can't be decoded leaves what its key stated before. The caller holds mu.
func (r *reader) applyLocked(record quetzalroad.KeyedRecord) {
	if record.Value == nil {
		delete(r.versions, record.Key)
		delete(r.streams, record.Key)
		return
	}
	var err error
	switch {
	case strings.HasPrefix(record.Key, versionPrefix):
		var o quetzalroad.StreamOrigin
		if o, err = streammapper.DecodeVersion(record.Value); err == nil {
			r.versions[record.Key] = o
		}
	case strings.HasPrefix(record.Key, nodePrefix):
		streams := nodeStreams{offset: record.Offset}
		if streams.origins, err = streammapper.DecodeStreams(record.Value); err == nil {
			r.streams[record.Key] = streams
		}
	default:
		err = errors.New("unknown key")
	}
	if err != nil {
		r.logger.Warn("ignoring a record about streams", "key", record.Key, "offset", int64(record.Offset), "error", err)
	}
}

// find returns where a stream began according to the records.
func (r *reader) find(id quetzalroad.RequestID) (quetzalroad.StreamOrigin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, streams := range r.streams {
		if o, ok := streams.origins[id]; ok {
			return o, true
		}
	}
	return quetzalroad.StreamOrigin{}, false
}

// isLoaded reports whether the records were ever read.
func (r *reader) isLoaded() bool {
	_, _, loaded := r.position()
	return loaded
}

// has reports whether the records state that a version is in use.
func (r *reader) has(o quetzalroad.StreamOrigin) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.versions[versionKey(o)]
	return ok
}

// inUse returns the versions that the records state to be in use.
func (r *reader) inUse() []quetzalroad.StreamOrigin {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]quetzalroad.StreamOrigin, 0, len(r.versions))
	for _, o := range r.versions {
		list = append(list, o)
	}
	return list
}

// epoch returns the epoch in which the records were read.
func (r *reader) epoch() quetzalroad.Epoch {
	_, next, _ := r.position()
	return next.Epoch
}

// recordOffsets returns the offsets of the records of the nodes' streams, by key.
func (r *reader) recordOffsets() map[string]quetzalroad.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	offsets := make(map[string]quetzalroad.Offset, len(r.streams))
	for key, streams := range r.streams {
		offsets[key] = streams.offset
	}
	return offsets
}
