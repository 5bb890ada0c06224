package streamtracker

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// streamShardCount is the number of shards of the streams of this node.
	streamShardCount = 16
	// deliveryTime is how long a stream is remembered after its last event was written to the caller, which may yet be
	// lost on the way.
	deliveryTime = 3 * time.Second
)

// stream is a resumable stream that this node passed on.
type stream struct {
	origin  quetzalroad.StreamOrigin
	begunAt time.Time
	// endedAt is when this node passed on its last event, as far as it could; zero while it still does. complete
	// reports whether that was the stream's last one.
	endedAt  time.Time
	complete bool
	// recorded is set once the log has the stream.
	recorded bool
}

// localStreams holds the streams of this node. The zero value is empty.
type localStreams struct {
	shards [streamShardCount]streamShard
}

// streamShard holds the streams whose ids hash to it.
type streamShard struct {
	mu sync.Mutex
	// streams is guarded by mu and allocated on first use.
	streams map[quetzalroad.RequestID]stream
}

func (l *localStreams) shard(id quetzalroad.RequestID) *streamShard {
	return &l.shards[xxhash.Sum64String(string(id))%streamShardCount]
}

// begin adds a stream, or has one go on that ended at this node.
func (l *localStreams) begin(now time.Time, id quetzalroad.RequestID, o quetzalroad.StreamOrigin) {
	sh := l.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.streams == nil {
		sh.streams = make(map[quetzalroad.RequestID]stream)
	}
	recorded := sh.streams[id].recorded
	sh.streams[id] = stream{origin: o, begunAt: now, recorded: recorded}
}

// end marks a stream as ended, and reports whether it is known and the log doesn't have it yet.
func (l *localStreams) end(now time.Time, id quetzalroad.RequestID, complete bool) (o quetzalroad.StreamOrigin, unrecorded bool) {
	sh := l.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s, ok := sh.streams[id]
	if !ok {
		return quetzalroad.StreamOrigin{}, false
	}
	s.endedAt, s.complete = now, complete
	sh.streams[id] = s
	return s.origin, !s.recorded
}

func (l *localStreams) find(id quetzalroad.RequestID) (quetzalroad.StreamOrigin, bool) {
	sh := l.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s, ok := sh.streams[id]
	return s.origin, ok
}

// forget removes the streams that no caller resumes any more.
func (l *localStreams) forget(now time.Time, retention time.Duration) {
	for i := range l.shards {
		sh := &l.shards[i]
		sh.mu.Lock()
		for id, s := range sh.streams {
			ended := !s.endedAt.IsZero()
			if ended && (now.Sub(s.endedAt) > retention || (s.complete && now.Sub(s.endedAt) > deliveryTime)) {
				delete(sh.streams, id)
			}
		}
		sh.mu.Unlock()
	}
}

// ofServices returns the streams of the services that match, and whether the log lacks one of them.
func (l *localStreams) ofServices(matches func(quetzalroad.ServiceName) bool) (selected map[quetzalroad.RequestID]stream, unrecorded bool) {
	selected = make(map[quetzalroad.RequestID]stream)
	for i := range l.shards {
		sh := &l.shards[i]
		sh.mu.Lock()
		for id, s := range sh.streams {
			if matches(s.origin.Service) {
				selected[id] = s
				unrecorded = unrecorded || !s.recorded
			}
		}
		sh.mu.Unlock()
	}
	return selected, unrecorded
}

// setRecorded marks streams as known, or not known, to the log.
func (l *localStreams) setRecorded(streams map[quetzalroad.RequestID]stream, recorded bool) {
	for id := range streams {
		sh := l.shard(id)
		sh.mu.Lock()
		if s, ok := sh.streams[id]; ok {
			s.recorded = recorded
			sh.streams[id] = s
		}
		sh.mu.Unlock()
	}
}
