package faker

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// KeyedLog is the platform's log with the newest record of each key, and the
// codec of what stands in it. Values are Go values; a record holds the number
// of its value. The zero value is empty and answers at once.
type KeyedLog struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	streams map[quetzalroad.LogStream]*keyedStream
	values  []any
	away    bool
	silent  bool
	reads   int
	refused int
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type keyedStream struct {
	records  []quetzalroad.KeyedRecord
	earliest quetzalroad.Offset
}

// ErrAway is the failure of a log that is away.
var ErrAway = errors.New("the log is away")

// Declare implements kernel.Component.
func (*KeyedLog) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (l *KeyedLog) Build(n *kernel.Node) error {
	n.KeyedLog = l
	n.KeyedWriter = l
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

func (l *KeyedLog) changeLocked() {
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
}

// Put appends a value under a key; nil drops the key. A string stands for bytes
// that can't be read.
func (l *KeyedLog) Put(s quetzalroad.LogStream, key string, value any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.streamLocked(s)
	r := quetzalroad.KeyedRecord{Key: key, Offset: one.earliest + quetzalroad.Offset(len(one.records))}
	if value != nil {
		l.values = append(l.values, value)
		r.Value = []byte(strconv.Itoa(len(l.values) - 1))
	}
	one.records = append(one.records, r)
	l.changeLocked()
}

// PutKeyed implements quetzalroad.KeyedWriter.
func (l *KeyedLog) PutKeyed(ctx context.Context, s quetzalroad.LogStream, key string, value []byte) error {
	return l.answer(ctx, func() bool {
		one := l.streamLocked(s)
		one.records = append(one.records, quetzalroad.KeyedRecord{Key: key, Value: value, Offset: one.earliest + quetzalroad.Offset(len(one.records))})
		return true
	})
}

// SetAway makes the log refuse every call, or answer again.
func (l *KeyedLog) SetAway(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = away
	l.changeLocked()
}

// SetSilent makes the log answer nothing, or answer again.
func (l *KeyedLog) SetSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
	l.changeLocked()
}

// Forget drops the history of a stream; the newest of each key stays.
func (l *KeyedLog) Forget(s quetzalroad.LogStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.streamLocked(s)
	kept := newestLocked(one)
	one.earliest += quetzalroad.Offset(len(one.records))
	one.records = nil
	l.streams[s] = &keyedStream{earliest: one.earliest}
	l.streams["newest/"+s] = &keyedStream{records: kept}
	l.changeLocked()
}

func newestLocked(one *keyedStream) []quetzalroad.KeyedRecord {
	last := make(map[string]quetzalroad.KeyedRecord)
	var order []string
	for _, r := range one.records {
		if _, seen := last[r.Key]; !seen {
			order = append(order, r.Key)
		}
		last[r.Key] = r
	}
	var kept []quetzalroad.KeyedRecord
	for _, key := range order {
		if last[key].Value != nil {
			kept = append(kept, last[key])
		}
	}
	return kept
}

// Reads counts the calls that were answered.
func (l *KeyedLog) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// Refused counts the calls that found the log away.
func (l *KeyedLog) Refused() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

// answer waits until the log answers and runs f under its lock.
func (l *KeyedLog) answer(ctx context.Context, f func() (done bool)) error {
	for {
		l.mu.Lock()
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed := l.changed
		switch {
		case l.away:
			l.refused++
			l.mu.Unlock()
			return ErrAway
		case !l.silent && f():
			l.reads++
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
	err = l.answer(ctx, func() bool {
		one := l.streamLocked(s)
		all := keyedStream{records: append([]quetzalroad.KeyedRecord(nil), l.streamLocked("newest/"+s).records...)}
		all.records = append(all.records, one.records...)
		records = newestLocked(&all)
		next := one.earliest + quetzalroad.Offset(len(one.records))
		bounds = quetzalroad.StreamBounds{End: next, NextRead: next, Hops: 1}
		return true
	})
	return records, bounds, err
}

// ReadKeyed implements quetzalroad.KeyedLog.
func (l *KeyedLog) ReadKeyed(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Offset, wait time.Duration) (records []quetzalroad.KeyedRecord, bounds quetzalroad.StreamBounds, err error) {
	waited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	trimmed := false
	read := func() bool {
		one := l.streamLocked(s)
		bounds = quetzalroad.StreamBounds{Earliest: one.earliest, End: one.earliest + quetzalroad.Offset(len(one.records)), NextRead: from, Hops: 1}
		trimmed = from < one.earliest
		if trimmed || from >= bounds.End {
			return trimmed || waited.Err() != nil
		}
		records = append([]quetzalroad.KeyedRecord(nil), one.records[from-one.earliest:]...)
		bounds.NextRead = bounds.End
		return true
	}
	err = l.answer(waited, read)
	if err != nil && !errors.Is(err, ErrAway) && ctx.Err() == nil {
		err = l.answer(ctx, read)
	}
	if err == nil && trimmed {
		err = quetzalroad.ErrTrimmed
	}
	return records, bounds, err
}

var errUnreadable = errors.New("bytes that can't be read")

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
		return nil, false, errUnreadable
	}
	return nil, false, nil
}

// DecodeRegistration implements quetzalroad.StateCodec.
func (l *KeyedLog) DecodeRegistration(r quetzalroad.KeyedRecord) (quetzalroad.UpstreamRegistration, error) {
	if v, ok := l.value(r).(quetzalroad.UpstreamRegistration); ok {
		return v, nil
	}
	return quetzalroad.UpstreamRegistration{}, errUnreadable
}
