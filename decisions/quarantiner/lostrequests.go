package quarantiner

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// lostShards is the number of shards of the lost requests.
	lostShards = 16
	// maxLostPerShard bounds the requests of a shard, and lostLifetime how long they are remembered.
	maxLostPerShard = 64
	lostLifetime    = 30 * time.Second
)

// lostRequests remembers the requests as a whole that were in flight on one upstream that exited. Each exit takes
// many requests with it, so that a request is no evidence before its second one. The zero value is empty.
type lostRequests struct {
	shards [lostShards]lostShard
}

// lostShard holds the requests whose ids hash to it.
type lostShard struct {
	// Padding keeps the locks of different shards on separate cache lines.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// byID is guarded by mu and allocated on first use.
	byID map[string]lostRequest
}

// lostRequest is the exit of an upstream with a request in flight.
type lostRequest struct {
	upstream quetzalroad.UpstreamName
	wave     int
	at       time.Time
}

func (l *lostRequests) shard(id string) *lostShard {
	return &l.shards[xxhash.Sum64String(id)%lostShards]
}

// wave returns the wave of the request's exit; zero if none is remembered.
func (l *lostRequests) wave(id string) int {
	sh := l.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.byID[id].wave
}

// add remembers the exit of an upstream with a request in flight. If another upstream exited with it before, it
// forgets that exit and returns it with true.
func (l *lostRequests) add(id string, lost lostRequest) (lostRequest, bool) {
	sh := l.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	first, known := sh.byID[id]
	if known && first.upstream != lost.upstream && lost.at.Sub(first.at) < lostLifetime {
		delete(sh.byID, id)
		return first, true
	}
	if sh.byID == nil || len(sh.byID) >= maxLostPerShard {
		sh.byID = make(map[string]lostRequest)
	}
	sh.byID[id] = lost
	return lostRequest{}, false
}
