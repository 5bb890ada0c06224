package faker

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// KeyedLog is the platform's keyed log in memory and the codec of its records. Values are Go
// values; a record holds the index of its value. The zero value is empty and responds immediately.
type KeyedLog struct {
	mu sync.Mutex
	// The fields below are guarded by mu. A record's value is an index into values.
	streams        map[quetzalroad.LogStream]*keyedStream
	values         []any
	unavailable    bool
	stalled        bool
	completedCalls int
	failedCalls    int
	// restores counts the times that the log was restored from a copy.
	restores quetzalroad.Epoch
	// changed is closed and replaced at each write, each compaction and each change of a fault.
	changed chan struct{}
}

type keyedStream struct {
	records  []quetzalroad.KeyedRecord
	earliest quetzalroad.Offset
}

// endLocked returns the offset of the next append.
func (s *keyedStream) endLocked() quetzalroad.Offset {
	return s.earliest + quetzalroad.Offset(len(s.records))
}

// ErrUnavailable is returned by a log that is unavailable.
var ErrUnavailable = errors.New("log is unavailable")

// Declare implements kernel.Component.
func (*KeyedLog) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (l *KeyedLog) Build(n *kernel.Node) error {
	n.KeyedLog = l
	n.KeyedWriter = l
	n.ConditionalWriter = l
	n.StateCodec = l
	return nil
}

func (l *KeyedLog) streamLocked(s quetzalroad.LogStream) *keyedStream {
	if l.streams == nil {
		l.streams = make(map[quetzalroad.LogStream]*keyedStream)
	}
	if l.streams[s] == nil {
		l.streams[s] = new(keyedStream)
	}
	return l.streams[s]
}

func (l *KeyedLog) notifyLocked() {
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
}

// Put appends a value under a key, regardless of faults; nil deletes the key. A
// string stands for bytes that fail to decode.
func (l *KeyedLog) Put(s quetzalroad.LogStream, key string, value any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.streamLocked(s)
	r := quetzalroad.KeyedRecord{Key: key, Offset: stream.endLocked()}
	if value != nil {
		l.values = append(l.values, value)
		r.Value = []byte(strconv.Itoa(len(l.values) - 1))
	}
	stream.records = append(stream.records, r)
	l.notifyLocked()
}

// PutKeyed implements quetzalroad.KeyedWriter.
func (l *KeyedLog) PutKeyed(ctx context.Context, s quetzalroad.LogStream, key string, value []byte) (epoch quetzalroad.Epoch, err error) {
	err = l.serve(ctx, func() bool {
		epoch = l.epochLocked()
		stream := l.streamLocked(s)
		stream.records = append(stream.records, quetzalroad.KeyedRecord{Key: key, Value: value, Offset: stream.endLocked()})
		l.notifyLocked()
		return true
	})
	return epoch, err
}

// PutKeyedAt implements quetzalroad.ConditionalWriter.
func (l *KeyedLog) PutKeyedAt(ctx context.Context, s quetzalroad.LogStream, key string, value []byte, end quetzalroad.Offset) (position quetzalroad.Position, err error) {
	conflict := false
	err = l.serve(ctx, func() bool {
		stream := l.streamLocked(s)
		position = quetzalroad.Position{Epoch: l.epochLocked(), Offset: stream.endLocked()}
		conflict = position.Offset != end
		if !conflict {
			stream.records = append(stream.records, quetzalroad.KeyedRecord{Key: key, Value: value, Offset: end})
			position.Offset++
			l.notifyLocked()
		}
		return true
	})
	if err == nil && conflict {
		err = quetzalroad.ErrConflict
	}
	return position, err
}

// SetUnavailable makes every call fail, or work again.
func (l *KeyedLog) SetUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
	l.notifyLocked()
}

// SetStalled makes every call block until its context is done, or work again.
func (l *KeyedLog) SetStalled(stalled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = stalled
	l.notifyLocked()
}

// Compact drops the records of a stream except the latest of each key, which
// only ReadLatest still returns.
func (l *KeyedLog) Compact(s quetzalroad.LogStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.streamLocked(s)
	latest := latestByKey(stream)
	stream.earliest += quetzalroad.Offset(len(stream.records))
	stream.records = nil
	l.streams[s] = &keyedStream{earliest: stream.earliest}
	l.streams["newest/"+s] = &keyedStream{records: latest}
	l.notifyLocked()
}

func latestByKey(stream *keyedStream) []quetzalroad.KeyedRecord {
	latest := make(map[string]quetzalroad.KeyedRecord)
	var order []string
	for _, r := range stream.records {
		if _, seen := latest[r.Key]; !seen {
			order = append(order, r.Key)
		}
		latest[r.Key] = r
	}
	var records []quetzalroad.KeyedRecord
	for _, key := range order {
		if latest[key].Value != nil {
			records = append(records, latest[key])
		}
	}
	return records
}

// LogCopy is a copy of a log's records.
type LogCopy struct {
	streams map[quetzalroad.LogStream]*keyedStream
}

func cloneStreams(streams map[quetzalroad.LogStream]*keyedStream) map[quetzalroad.LogStream]*keyedStream {
	clones := make(map[quetzalroad.LogStream]*keyedStream, len(streams))
	for name, stream := range streams {
		clones[name] = &keyedStream{records: slices.Clone(stream.records), earliest: stream.earliest}
	}
	return clones
}

// Copy returns a copy of all streams, for Restore.
func (l *KeyedLog) Copy() LogCopy {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LogCopy{streams: cloneStreams(l.streams)}
}

// Restore replaces all streams by a copy, and begins a new epoch. What was written since the copy was made
// is lost, and its offsets are given out again.
func (l *KeyedLog) Restore(c LogCopy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams = cloneStreams(c.streams)
	l.restores++
	l.notifyLocked()
}

// epochLocked returns the epoch that the log states. Logs begin with the first.
func (l *KeyedLog) epochLocked() quetzalroad.Epoch {
	return 1 + l.restores
}

// CompletedCalls returns the number of reads and writes that succeeded.
func (l *KeyedLog) CompletedCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completedCalls
}

// FailedCalls returns the number of calls that failed since the log was unavailable.
func (l *KeyedLog) FailedCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failedCalls
}

// serve runs operation under the lock, and again after each change until it
// reports that it is done. It blocks while the log is stalled.
func (l *KeyedLog) serve(ctx context.Context, operation func() (done bool)) error {
	for {
		l.mu.Lock()
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed := l.changed
		switch {
		case l.unavailable:
			l.failedCalls++
			l.mu.Unlock()
			return ErrUnavailable
		case !l.stalled && operation():
			l.completedCalls++
			l.mu.Unlock()
			return nil
		}
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ReadLatest implements quetzalroad.KeyedLog.
func (l *KeyedLog) ReadLatest(ctx context.Context, s quetzalroad.LogStream) (records []quetzalroad.KeyedRecord, bounds quetzalroad.StreamBounds, err error) {
	err = l.serve(ctx, func() bool {
		stream := l.streamLocked(s)
		combined := keyedStream{records: append([]quetzalroad.KeyedRecord(nil), l.streamLocked("newest/"+s).records...)}
		combined.records = append(combined.records, stream.records...)
		records = latestByKey(&combined)
		end := stream.endLocked()
		bounds = quetzalroad.StreamBounds{Epoch: l.epochLocked(), End: end, NextRead: end, Hops: 1}
		return true
	})
	return records, bounds, err
}

// ReadKeyed implements quetzalroad.KeyedLog.
func (l *KeyedLog) ReadKeyed(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Position, wait time.Duration) (records []quetzalroad.KeyedRecord, bounds quetzalroad.StreamBounds, err error) {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	trimmed := false
	read := func() bool {
		stream := l.streamLocked(s)
		bounds = quetzalroad.StreamBounds{Epoch: l.epochLocked(), Earliest: stream.earliest, End: stream.endLocked(), NextRead: from.Offset, Hops: 1}
		trimmed = from.Offset < stream.earliest || from.Offset > bounds.End
		if trimmed || from.Offset >= bounds.End {
			return trimmed || waitCtx.Err() != nil
		}
		records = append([]quetzalroad.KeyedRecord(nil), stream.records[from.Offset-stream.earliest:]...)
		bounds.NextRead = bounds.End
		return true
	}
	err = l.serve(waitCtx, read)
	if err != nil && !errors.Is(err, ErrUnavailable) && ctx.Err() == nil {
		err = l.serve(ctx, read)
	}
	if err == nil && trimmed {
		err = quetzalroad.ErrTrimmed
	}
	return records, bounds, err
}

var errUndecodable = errors.New("value can't be decoded")

func (l *KeyedLog) value(r quetzalroad.KeyedRecord) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, err := strconv.Atoi(string(r.Value))
	if err != nil || i >= len(l.values) {
		return nil
	}
	return l.values[i]
}

// DecodeState implements quetzalroad.StateCodec.
func (l *KeyedLog) DecodeState(r quetzalroad.KeyedRecord) (*quetzalroad.PublishedState, bool, error) {
	switch v := l.value(r).(type) {
	case quetzalroad.PublishedState:
		return &v, true, nil
	case string:
		return nil, false, errUndecodable
	}
	return nil, false, nil
}

// DecodeRegistration implements quetzalroad.StateCodec.
func (l *KeyedLog) DecodeRegistration(r quetzalroad.KeyedRecord) (quetzalroad.UpstreamRegistration, error) {
	if v, ok := l.value(r).(quetzalroad.UpstreamRegistration); ok {
		return v, nil
	}
	return quetzalroad.UpstreamRegistration{}, errUndecodable
}
