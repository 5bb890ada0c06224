// Package bufferlimiter bounds the memory of buffered responses by a budget that all requests of a node share.
package bufferlimiter

import (
	"math/rand/v2"
	"sync"

	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotBufferBudget, Name: "sharer", Default: true,
		New: func() kernel.Component { return new(Limiter) },
	})
}

const (
	shardCount = 16
	// defaultBytes is the budget if the settings state none, and memoryShare the part of the process's memory that it
	// may take, as a divisor.
	defaultBytes = 16 << 20
	memoryShare  = 8
)

// shard holds a part of the budget.
type shard struct {
	// Padding keeps the locks of different shards on separate cache lines.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// left is guarded by mu and never negative. The sum over all shards and of what is acquired is the budget.
	left int
}

// Limiter implements quetzalroad.BufferBudget. The zero value has no bytes to give.
type Limiter struct {
	maxBytes int
	shards   [shardCount]shard
}

// Declare implements kernel.Component.
func (l *Limiter) Declare(s *configloader.Section) {
	s.Int("max-bytes", &l.maxBytes, 0, 0, 1<<34, "Maximum memory of the buffers of all responses in flight, besides a few KiB for each response. Zero stands for 16 MiB, or an eighth of the process's memory if that is less. Once it is used up, plain responses are relayed as they arrive, and attempts that need more end with buffers-full.")
}

// Build implements kernel.Component.
func (l *Limiter) Build(n *kernel.Node) error {
	maxBytes := l.maxBytes
	if maxBytes == 0 {
		maxBytes = defaultBytes
		if memory := n.Limits.MemoryBytes; memory > 0 {
			maxBytes = min(maxBytes, memory/memoryShare)
		}
	}
	for i := range l.shards {
		l.shards[i].left = maxBytes / shardCount
	}
	n.BufferBudget = l
	return nil
}

// Acquire implements quetzalroad.BufferBudget. It collects the bytes from as many shards as needed.
func (l *Limiter) Acquire(bytes int) bool {
	first, taken := rand.IntN(shardCount), 0
	for i := 0; i < shardCount && taken < bytes; i++ {
		taken += l.shards[(first+i)%shardCount].take(bytes - taken)
	}
	if taken == bytes {
		return true
	}
	l.Release(taken)
	return false
}

// take takes up to a number of bytes and returns how many.
func (sh *shard) take(bytes int) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	taken := min(bytes, sh.left)
	sh.left -= taken
	return taken
}

// Release implements quetzalroad.BufferBudget.
func (l *Limiter) Release(bytes int) {
	sh := &l.shards[rand.IntN(shardCount)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.left += bytes
}
