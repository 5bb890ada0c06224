// Package intaker bounds the connections of callers, and the memory that their requests take together while they are
// received and handled, so that callers who send more than the process can hold don't end it.
//
// Each request may take a few KiB without asking, so that ordinary ones find room while larger ones hold theirs.
package intaker

import (
	"context"
	"expvar"
	"math"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotIntake, Name: "bounder", Default: true,
		New: func() kernel.Component { return new(Intaker) },
	})
}

const (
	// memoryShare is the part of the process's memory for requests, as a divisor.
	memoryShare = 5
	// connectionBytes is the memory for a connection, its buffers and what its request takes without asking.
	connectionBytes = 64 << 10
	// descriptorShare is the part of the descriptors that is kept for upstreams, the store and other nodes, as a
	// divisor.
	descriptorShare = 4
)

// Intaker implements quetzalroad.Intake. The zero value has no bounds.
type Intaker struct {
	maxConnections int
	maxBytes       int
	freeBytes      int
	waitTimeout    time.Duration
	stallAfter     time.Duration

	connections connectionTable
	mu          sync.Mutex
	// ledger is guarded by mu.
	ledger ledger
}

// Declare implements kernel.Component.
func (in *Intaker) Declare(s *configloader.Section) {
	s.Int("max-connections", &in.maxConnections, 0, 0, 1<<24, "Maximum number of connections of callers. Zero follows the limits of the process: three quarters of its descriptors, and one for each 64 KiB of its memory.")
	s.Int("max-bytes", &in.maxBytes, 0, 0, 1<<40, "Maximum memory of the requests of callers, beyond free-bytes for each. Zero stands for a fifth of the process's memory, without a bound if that isn't known.")
	s.Int("free-bytes", &in.freeBytes, 16<<10, 1<<10, 1<<20, "Memory that each request may take besides max-bytes.")
	s.Duration("wait", &in.waitTimeout, 2*time.Second, 0, time.Minute, "Time for which a request waits for memory before it is refused.")
	s.Duration("stall-after", &in.stallAfter, time.Second, 10*time.Millisecond, time.Minute, "Time without progress after which a request that is being received gives way to others that need its memory.")
}

// Build implements kernel.Component.
func (in *Intaker) Build(n *kernel.Node) error {
	in.connections.max = in.connectionLimit(n.Limits)
	in.ledger.capacity = in.byteLimit(n.Limits)
	in.ledger.stallAfter = in.stallAfter
	n.Intake = in
	if n.Vars != nil {
		n.Vars.Set("caller-connections", expvar.Func(func() any { return in.connections.len() }))
		n.Vars.Set("caller-connections-evicted", &in.connections.evictions)
		n.Vars.Set("request-bytes", expvar.Func(func() any {
			in.mu.Lock()
			defer in.mu.Unlock()
			return in.ledger.held
		}))
		n.Vars.Set("requests-waiting-for-memory", expvar.Func(func() any {
			in.mu.Lock()
			defer in.mu.Unlock()
			return len(in.ledger.waiting)
		}))
	}
	return nil
}

func (in *Intaker) connectionLimit(limits quetzalroad.ProcessLimits) int {
	limit := math.MaxInt
	if limits.Descriptors > 0 {
		limit = limits.Descriptors - limits.Descriptors/descriptorShare
	}
	if limits.MemoryBytes > 0 {
		limit = min(limit, limits.MemoryBytes/connectionBytes)
	}
	if in.maxConnections > 0 {
		limit = in.maxConnections
	}
	return limit
}

func (in *Intaker) byteLimit(limits quetzalroad.ProcessLimits) int {
	switch {
	case in.maxBytes > 0:
		return in.maxBytes
	case limits.MemoryBytes > 0:
		return limits.MemoryBytes / memoryShare
	}
	return math.MaxInt
}

// connectionsRetryAfter is the time after which a refused caller may find a connection: those that await a request
// give way to others.
const connectionsRetryAfter = time.Second

// Connect implements quetzalroad.Intake.
func (in *Intaker) Connect(interrupt, disconnect func()) (quetzalroad.IntakeAccount, *quetzalroad.Refusal) {
	a := &account{intaker: in, interrupt: interrupt}
	if !in.connections.add(&a.connection, disconnect) {
		return nil, connectionsRefusal()
	}
	return a, nil
}

func connectionsRefusal() *quetzalroad.Refusal {
	return quetzalroad.NewRefusal(quetzalroad.ReasonTooManyConnections, "the node has no connection left", connectionsRetryAfter)
}

// advance serves the waiting requests, and interrupts those that have to give way.
func (in *Intaker) advance() {
	in.mu.Lock()
	granted, evicted := in.ledger.advance(time.Now())
	in.mu.Unlock()
	for _, e := range granted {
		e.granted <- struct{}{}
	}
	for _, e := range evicted {
		e.interrupt()
	}
}

// memoryFull returns the refusal of a request that needs a number of bytes.
func (in *Intaker) memoryFull(bytes int) *quetzalroad.Refusal {
	in.mu.Lock()
	retryAfter := in.ledger.retryAfter(time.Now(), bytes)
	in.mu.Unlock()
	return quetzalroad.NewRefusal(quetzalroad.ReasonRequestMemoryFull, "the memory for requests is used up", retryAfter)
}

// awaitGrant waits until a request was granted what it waits for, or has to give way, and reports whether one of the
// two happened in time.
func (in *Intaker) awaitGrant(ctx context.Context, e *entry) bool {
	timer := time.NewTimer(in.waitTimeout)
	defer timer.Stop()
	// Whether other requests are stalled changes with the time.
	ticker := time.NewTicker(in.stallAfter / 2)
	defer ticker.Stop()
	for {
		select {
		case <-e.granted:
			return true
		case <-ticker.C:
			in.advance()
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		return in.giveUp(e)
	}
}

// giveUp ends the wait of a request, and reports whether that happened meanwhile.
func (in *Intaker) giveUp(e *entry) bool {
	in.mu.Lock()
	granted := e.wanted == 0
	in.ledger.stopWaiting(e)
	in.mu.Unlock()
	if granted {
		<-e.granted
	}
	return granted
}
