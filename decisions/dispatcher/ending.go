package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
)

// endingShardCount is the number of shards of the requests in flight.
const endingShardCount = 16

// endings cancels the requests in flight when the node's planned stop is nearly over, so that they end with an
// answer. The zero value is ready for use.
type endings struct {
	// next numbers the requests, which are spread over the shards by their number.
	next   atomic.Uint64
	shards [endingShardCount]endingShard
}

// endingShard holds a part of the requests in flight.
type endingShard struct {
	// Padding keeps the locks of different shards on separate cache lines.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// cancels is allocated on first use, and ended set once its requests were cancelled. Both are guarded by mu.
	cancels map[uint64]context.CancelFunc
	ended   bool
}

// add has a request in flight cancelled when the node's planned stop is nearly over. It returns the function to
// call when the request has ended, which cancels it, too.
func (e *endings) add(cancel context.CancelFunc) context.CancelFunc {
	number := e.next.Add(1)
	sh := &e.shards[number%endingShardCount]
	sh.add(number, cancel)
	return func() {
		sh.remove(number)
		cancel()
	}
}

func (sh *endingShard) add(number uint64, cancel context.CancelFunc) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.ended {
		cancel()
		return
	}
	if sh.cancels == nil {
		sh.cancels = make(map[uint64]context.CancelFunc)
	}
	sh.cancels[number] = cancel
}

func (sh *endingShard) remove(number uint64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.cancels, number)
}

// endAll cancels all requests in flight, and those that come later.
func (e *endings) endAll() {
	for i := range e.shards {
		e.shards[i].end()
	}
}

func (sh *endingShard) end() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.ended = true
	for _, cancel := range sh.cancels {
		cancel()
	}
}

// stoppingRetryAfter is the delay after which a caller may retry on another node.
const stoppingRetryAfter = 100 * time.Millisecond

// checkTimeLeft refuses a request that comes late in a planned stop and may not end before the node does.
func (d *Dispatcher) checkTimeLeft(r *quetzalroad.Request) *quetzalroad.Refusal {
	latest, closing := d.node.WorkDeadline()
	if !closing {
		return nil
	}
	if deadline := r.Deadline(); !deadline.IsZero() && deadline.Before(latest) {
		return nil
	}
	return quetzalroad.NewRefusal(quetzalroad.ReasonNotReady, "the node stops", stoppingRetryAfter)
}

// isEnding reports whether the node's planned stop is nearly over.
func (d *Dispatcher) isEnding() bool {
	return d.node.Ending().Err() != nil
}
