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
	errLogUnavailable = errors.New("log is unavailable")
	errResponseLost   = errors.New("response from the log was lost")
)

// logStream holds the records of one stream.
type logStream struct {
	// records holds the retained records; the first is at offset earliest.
	records  []quetzalroad.Record
	earliest quetzalroad.Offset
}

// Log is the platform's log in memory. The zero value is empty and has no latency.
type Log struct {
	// AppendLatency and ReadLatency delay each call.
	AppendLatency time.Duration
	ReadLatency   time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.
	streams     map[quetzalroad.LogStream]*logStream
	down        bool
	partitioned map[quetzalroad.NodeName]bool
	// responseLossRate is the probability that the response to an append is
	// lost, drawn from random.
	responseLossRate float64
	random           *rand.Rand
	appendCounts     map[quetzalroad.LogStream]int
	// truncations counts the times that a stream lost its tail.
	truncations quetzalroad.Epoch
	// changed is closed and reset to nil when a record is appended or a fault changes; a read creates it.
	changed chan struct{}
}

func (l *Log) streamLocked(s quetzalroad.LogStream) *logStream {
	if l.streams == nil {
		l.streams = make(map[quetzalroad.LogStream]*logStream)
	}
	stream := l.streams[s]
	if stream == nil {
		stream = &logStream{}
		l.streams[s] = stream
	}
	return stream
}

func (l *Log) notifyLocked() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// SetDown makes the log unavailable to all nodes, or available again.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.notifyLocked()
}

// SetPartitioned makes the log unreachable for a node, or reachable again.
func (l *Log) SetPartitioned(n quetzalroad.NodeName, partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.partitioned == nil {
		l.partitioned = make(map[quetzalroad.NodeName]bool)
	}
	l.partitioned[n] = partitioned
	l.notifyLocked()
}

// SetResponseLoss sets the probability that an append takes effect but its response is lost.
func (l *Log) SetResponseLoss(rate float64, seed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responseLossRate = rate
	l.random = rand.New(rand.NewPCG(seed, seed))
}

// TrimBefore drops the records of a stream before an offset, as retention does.
func (l *Log) TrimBefore(s quetzalroad.LogStream, offset quetzalroad.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.streamLocked(s)
	for stream.earliest < offset && len(stream.records) > 0 {
		stream.records = stream.records[1:]
		stream.earliest++
	}
}

// Truncate drops the records of a stream from an offset on, as if the log lost its tail.
func (l *Log) Truncate(s quetzalroad.LogStream, from quetzalroad.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.streamLocked(s)
	stream.records = stream.records[:from-stream.earliest]
	l.truncations++
	l.notifyLocked()
}

// AppendCount returns the number of appends to a stream.
func (l *Log) AppendCount(s quetzalroad.LogStream) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCounts[s]
}

// EndOffset returns the offset of the next append to a stream.
func (l *Log) EndOffset(s quetzalroad.LogStream) quetzalroad.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.streamLocked(s)
	return stream.earliest + quetzalroad.Offset(len(stream.records))
}

// AppendDirectly appends a record regardless of faults and latency.
func (l *Log) AppendDirectly(s quetzalroad.LogStream, data []byte) quetzalroad.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendLocked(s, data)
}

func (l *Log) appendLocked(s quetzalroad.LogStream, data []byte) quetzalroad.Offset {
	stream := l.streamLocked(s)
	offset := stream.earliest + quetzalroad.Offset(len(stream.records))
	stream.records = append(stream.records, quetzalroad.Record{Offset: offset, Data: data})
	if l.appendCounts == nil {
		l.appendCounts = make(map[quetzalroad.LogStream]int)
	}
	l.appendCounts[s]++
	l.notifyLocked()
	return offset
}

func (l *Log) unavailableLocked(n quetzalroad.NodeName) bool {
	return l.down || l.partitioned[n]
}

// Client returns a node's client of the log.
func (l *Log) Client(n quetzalroad.NodeName) *LogClient {
	return &LogClient{log: l, node: n}
}

// LogClient is a node's client of a Log.
type LogClient struct {
	log  *Log
	node quetzalroad.NodeName
}

// Declare implements kernel.Component.
func (*LogClient) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (c *LogClient) Build(n *kernel.Node) error {
	n.Log = c
	return nil
}

// Append implements quetzalroad.Log.
func (c *LogClient) Append(ctx context.Context, s quetzalroad.LogStream, data []byte) (quetzalroad.Offset, error) {
	if err := sleeper.Sleep(ctx, c.log.AppendLatency); err != nil {
		return quetzalroad.NoOffset, err
	}
	l := c.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailableLocked(c.node) {
		return quetzalroad.NoOffset, errLogUnavailable
	}
	offset := l.appendLocked(s, data)
	if l.random != nil && l.random.Float64() < l.responseLossRate {
		return quetzalroad.NoOffset, errResponseLost
	}
	return offset, nil
}

// maxReadRecords is the largest number of records that a read returns.
const maxReadRecords = 500

// Read implements quetzalroad.Log.
func (c *LogClient) Read(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Offset, wait time.Duration) ([]quetzalroad.Record, quetzalroad.StreamBounds, error) {
	if err := sleeper.Sleep(ctx, c.log.ReadLatency); err != nil {
		return nil, quetzalroad.StreamBounds{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		records, bounds, changed, err := c.log.read(c.node, s, from)
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
	if l.unavailableLocked(n) {
		return nil, quetzalroad.StreamBounds{}, nil, errLogUnavailable
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	stream := l.streamLocked(s)
	bounds := quetzalroad.StreamBounds{Epoch: 1 + l.truncations, Earliest: stream.earliest, End: stream.earliest + quetzalroad.Offset(len(stream.records))}
	start := max(from, stream.earliest) - stream.earliest
	var records []quetzalroad.Record
	if int(start) < len(stream.records) {
		end := min(int(start)+maxReadRecords, len(stream.records))
		records = append(records, stream.records[start:end]...)
	}
	return records, bounds, l.changed, nil
}
