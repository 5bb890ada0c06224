package faker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

var (
	errLogAway    = errors.New("the log is away")
	errAnswerLost = errors.New("the log's answer was lost")
)

// logStream is one stream.
type logStream struct {
	// records are those kept; the first has the offset earliest.
	records  []quetzalroad.Record
	earliest quetzalroad.Offset
}

// Log is the platform's log in memory. The zero value is empty and answers at
// once.
type Log struct {
	// AppendTime and ReadTime are how long a call takes.
	AppendTime time.Duration
	ReadTime   time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.
	streams map[quetzalroad.LogStream]*logStream
	down    bool
	cut     map[quetzalroad.NodeName]bool
	// loseShare is the share of appends whose answer is lost, drawn from
	// random.
	loseShare float64
	random    *rand.Rand
	appends   map[quetzalroad.LogStream]int
	// changed is closed and replaced at each append and each fault.
	changed chan struct{}
}

func (l *Log) streamLocked(s quetzalroad.LogStream) *logStream {
	if l.streams == nil {
		l.streams = make(map[quetzalroad.LogStream]*logStream)
	}
	one := l.streams[s]
	if one == nil {
		one = &logStream{}
		l.streams[s] = one
	}
	return one
}

func (l *Log) notifyLocked() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// SetDown takes the log away or brings it back.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.notifyLocked()
}

// SetCut cuts a node off from the log or joins it again.
func (l *Log) SetCut(n quetzalroad.NodeName, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == nil {
		l.cut = make(map[quetzalroad.NodeName]bool)
	}
	l.cut[n] = cut
	l.notifyLocked()
}

// LoseAnswers makes a share of the appends lose their answer after they took
// effect.
func (l *Log) LoseAnswers(share float64, seed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseShare = share
	l.random = rand.New(rand.NewPCG(seed, seed))
}

// Expire drops the records of a stream before an offset.
func (l *Log) Expire(s quetzalroad.LogStream, before quetzalroad.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.streamLocked(s)
	for one.earliest < before && len(one.records) > 0 {
		one.records = one.records[1:]
		one.earliest++
	}
}

// Truncate drops the records of a stream from an offset on, as a log does that
// lost its tail.
func (l *Log) Truncate(s quetzalroad.LogStream, from quetzalroad.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.streamLocked(s)
	one.records = one.records[:from-one.earliest]
	l.notifyLocked()
}

// Appends counts the appends to a stream.
func (l *Log) Appends(s quetzalroad.LogStream) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends[s]
}

// Next gives the offset of the next append to a stream.
func (l *Log) Next(s quetzalroad.LogStream) quetzalroad.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.streamLocked(s)
	return one.earliest + quetzalroad.Offset(len(one.records))
}

// Put appends a record without any fault.
func (l *Log) Put(s quetzalroad.LogStream, data []byte) quetzalroad.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.putLocked(s, data)
}

func (l *Log) putLocked(s quetzalroad.LogStream, data []byte) quetzalroad.Offset {
	one := l.streamLocked(s)
	offset := one.earliest + quetzalroad.Offset(len(one.records))
	one.records = append(one.records, quetzalroad.Record{Offset: offset, Data: data})
	if l.appends == nil {
		l.appends = make(map[quetzalroad.LogStream]int)
	}
	l.appends[s]++
	l.notifyLocked()
	return offset
}

func (l *Log) awayLocked(n quetzalroad.NodeName) bool {
	return l.down || l.cut[n]
}

// View gives the log as one node sees it.
func (l *Log) View(n quetzalroad.NodeName) *LogView {
	return &LogView{log: l, node: n}
}

// LogView is the log as one node sees it.
type LogView struct {
	log  *Log
	node quetzalroad.NodeName
}

// Declare implements kernel.Component.
func (*LogView) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (v *LogView) Build(n *kernel.Node) error {
	n.Log = v
	return nil
}

// Append implements quetzalroad.Log.
func (v *LogView) Append(ctx context.Context, s quetzalroad.LogStream, data []byte) (quetzalroad.Offset, error) {
	if err := sleeper.Sleep(ctx, v.log.AppendTime); err != nil {
		return quetzalroad.NoOffset, err
	}
	l := v.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.awayLocked(v.node) {
		return quetzalroad.NoOffset, errLogAway
	}
	offset := l.putLocked(s, data)
	if l.random != nil && l.random.Float64() < l.loseShare {
		return quetzalroad.NoOffset, errAnswerLost
	}
	return offset, nil
}

// readLimit is the number of records given in one read.
const readLimit = 500

// Read implements quetzalroad.Log.
func (v *LogView) Read(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Offset, wait time.Duration) ([]quetzalroad.Record, quetzalroad.StreamBounds, error) {
	if err := sleeper.Sleep(ctx, v.log.ReadTime); err != nil {
		return nil, quetzalroad.StreamBounds{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		records, bounds, changed, err := v.log.read(v.node, s, from)
		if err != nil || len(records) > 0 || wait <= 0 || bounds.End < from {
			return records, bounds, err
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return nil, quetzalroad.StreamBounds{}, ctx.Err()
		}
	}
}

func (l *Log) read(n quetzalroad.NodeName, s quetzalroad.LogStream, from quetzalroad.Offset) ([]quetzalroad.Record, quetzalroad.StreamBounds, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.awayLocked(n) {
		return nil, quetzalroad.StreamBounds{}, nil, errLogAway
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	one := l.streamLocked(s)
	bounds := quetzalroad.StreamBounds{Earliest: one.earliest, End: one.earliest + quetzalroad.Offset(len(one.records))}
	start := max(from, one.earliest) - one.earliest
	var records []quetzalroad.Record
	if int(start) < len(one.records) {
		end := min(int(start)+readLimit, len(one.records))
		records = append(records, one.records[start:end]...)
	}
	return records, bounds, l.changed, nil
}
