package quarantiner

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"
)

const (
	// provenShards is the number of shards of the proven segments.
	provenShards = 16
	// provenGenerationSize bounds the segments of one generation of a shard.
	provenGenerationSize = 256
)

// provenSegments are the segments that were lately seen in complete responses. The zero value is empty.
type provenSegments struct {
	shards [provenShards]provenShard
}

// provenShard holds the segments whose ids hash to it.
type provenShard struct {
	// Padding keeps the locks of different shards on separate cache lines.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// current and previous are guarded by mu. When current is full it becomes previous, whose segments
	// are forgotten unless they are seen again.
	current, previous map[string]struct{}
}

func (p *provenSegments) shard(segment string) *provenShard {
	return &p.shards[xxhash.Sum64String(segment)%provenShards]
}

func (p *provenSegments) add(segment string) {
	sh := p.shard(segment)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.current == nil || len(sh.current) >= provenGenerationSize {
		sh.previous = sh.current
		sh.current = make(map[string]struct{})
	}
	sh.current[segment] = struct{}{}
}

func (p *provenSegments) contains(segment string) bool {
	sh := p.shard(segment)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if _, ok := sh.current[segment]; ok {
		return true
	}
	_, ok := sh.previous[segment]
	return ok
}
