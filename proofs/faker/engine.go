// Package faker holds the fakes that stand at the root package's interfaces in
// tests and measurements: engines, services, the log, the VM list and the
// network between nodes. They use the runtime's clock and channels alone, so
// that they run in a testing/synctest bubble.
package faker

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

const (
	// loadSampleInterval is how often an engine's load is noted for late reports.
	loadSampleInterval = 50 * time.Millisecond
	// retainedLoadSamples is enough for a lag of a minute.
	retainedLoadSamples = int(time.Minute / loadSampleInterval)
	// maxCachedPrefixes bounds an engine's prefix cache.
	maxCachedPrefixes = 64
)

// Engine is a model engine. It batches continuously: each step makes one token
// for every running request and takes longer the more there are. It keeps a
// bounded prefix cache and starts waiting requests by priority. Its exported
// fields are set before it runs.
type Engine struct {
	// MaxBatchSize is the most requests it runs at once.
	MaxBatchSize int
	// BaseStepTime is the time of a step with an empty batch, and PerRequest what
	// each running request adds.
	BaseStepTime       time.Duration
	StepTimePerRequest time.Duration
	// PrefillTimePerToken is what a prompt token that isn't cached takes.
	PrefillTimePerToken time.Duration
	// AdjustStepTime stretches the time of a step; nil leaves it.
	AdjustStepTime func(d time.Duration) time.Duration
	// ShouldCrash is asked after each step whether the engine crashes now, with
	// the tokens made since the last crash; nil stands for never.
	ShouldCrash func(tokens int) bool

	mu sync.Mutex
	// The fields below are guarded by mu. A sequence is either waiting or
	// running, or has ended.
	waiting  sequenceHeap
	running  []*Sequence
	arrivals int
	// wake is closed and replaced when work comes to an idle engine.
	wake chan struct{}
	// tokensSinceCrash counts the tokens since the last crash.
	tokensSinceCrash int
	stats            EngineStats
	cache            prefixCache
	loadSamples      []LoadSample
}

// EngineStats is what an engine truly did.
type EngineStats struct {
	// Requests counts requests, Cancelled those whose caller left.
	Requests  int
	Cancelled int
	// GeneratedTokens counts tokens, Wasted those of requests that didn't end.
	GeneratedTokens int
	WastedTokens    int
	// ActiveRequests counts the requests running or waiting.
	ActiveRequests int
}

// LoadSample is an engine's load at one time.
type LoadSample struct {
	MeasuredAt time.Time
	Running    int
	Waiting    int
}

// Sequence is one request on an engine.
type Sequence struct {
	// Priority orders waiting requests, the lowest first.
	Priority int
	Prompt   Prompt
	// NextToken is the number of the next word; the answer ends before Total.
	NextToken   int
	TotalTokens int

	arrivalOrder int
	tokens       chan Token
	// crashed is closed when the engine crashes.
	crashed chan struct{}
	// aborted tells that it was cancelled or lost.
	aborted   bool
	generated int
	heapIndex int
}

// Tokens gives what is made. It has room for all of it.
func (s *Sequence) Tokens() <-chan Token {
	return s.tokens
}

// Crashed is closed when the engine crashes with the request on it.
func (s *Sequence) Crashed() <-chan struct{} {
	return s.crashed
}

// sequenceHeap orders waiting requests by priority and arrival.
type sequenceHeap []*Sequence

// Len implements heap.Interface.
func (h sequenceHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h sequenceHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority < h[j].Priority
	}
	return h[i].arrivalOrder < h[j].arrivalOrder
}

// Swap implements heap.Interface.
func (h sequenceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *sequenceHeap) Push(x any) {
	s := x.(*Sequence)
	s.heapIndex = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *sequenceHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Submit queues a request.
func (e *Engine) Submit(s *Sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	s.arrivalOrder = e.arrivals
	s.tokens = make(chan Token, max(1, s.TotalTokens-s.NextToken))
	s.crashed = make(chan struct{})
	e.stats.Requests++
	heap.Push(&e.waiting, s)
	if e.wake != nil {
		close(e.wake)
		e.wake = nil
	}
}

// Cancel ends a request whose caller left. What it made is wasted.
func (e *Engine) Cancel(s *Sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.aborted || s.generated > 0 && s.NextToken >= s.TotalTokens {
		return
	}
	s.aborted = true
	e.stats.Cancelled++
	e.stats.WastedTokens += s.generated
	if s.generated == 0 && s.heapIndex < len(e.waiting) && e.waiting[s.heapIndex] == s {
		heap.Remove(&e.waiting, s.heapIndex)
	}
}

// Run makes steps until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	go e.sampleLoad(ctx)
	for ctx.Err() == nil {
		stepTime, wake := e.startStep()
		if wake != nil {
			select {
			case <-wake:
			case <-ctx.Done():
			}
			continue
		}
		if e.AdjustStepTime != nil {
			stepTime = e.AdjustStepTime(stepTime)
		}
		timer := time.NewTimer(stepTime)
		select {
		case <-timer.C:
			e.finishStep()
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return ctx.Err()
}

// startStep fills the batch and gives the time of the step, or a channel to wait
// on where there is nothing to do.
func (e *Engine) startStep() (time.Duration, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stepTime := e.BaseStepTime
	for len(e.running) < e.MaxBatchSize && len(e.waiting) > 0 {
		s := heap.Pop(&e.waiting).(*Sequence)
		e.running = append(e.running, s)
		if !e.cache.touch(s.Prompt.PrefixHash) {
			stepTime += time.Duration(s.Prompt.TokenCount) * e.PrefillTimePerToken
		}
	}
	if len(e.running) == 0 {
		if e.wake == nil {
			e.wake = make(chan struct{})
		}
		return 0, e.wake
	}
	return stepTime + time.Duration(len(e.running))*e.StepTimePerRequest, nil
}

// finishStep gives a token to each running request and drops those that ended.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var remaining []*Sequence
	for _, s := range e.running {
		if s.aborted {
			continue
		}
		s.tokens <- s.Prompt.ResponseToken(s.NextToken, s.TotalTokens)
		s.NextToken++
		s.generated++
		e.stats.GeneratedTokens++
		e.tokensSinceCrash++
		if s.NextToken < s.TotalTokens {
			remaining = append(remaining, s)
		}
	}
	e.running = remaining
	if e.ShouldCrash != nil && e.ShouldCrash(e.tokensSinceCrash) {
		e.crashLocked()
	}
}

// crashLocked forgets all requests, as a crash does.
func (e *Engine) crashLocked() {
	for _, s := range append(append([]*Sequence{}, e.running...), e.waiting...) {
		if !s.aborted {
			s.aborted = true
			e.stats.WastedTokens += s.generated
			close(s.crashed)
		}
	}
	e.running = nil
	e.waiting = nil
	e.tokensSinceCrash = 0
}

// Crash loses all requests.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

// ResetTokensSinceCrash starts the count of tokens since the last crash anew.
func (e *Engine) ResetTokensSinceCrash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokensSinceCrash = 0
}

// sampleLoad notes the load for late reports.
func (e *Engine) sampleLoad(ctx context.Context) {
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			e.mu.Lock()
			e.loadSamples = append(e.loadSamples, LoadSample{MeasuredAt: now, Running: len(e.running), Waiting: len(e.waiting)})
			if len(e.loadSamples) > 2*retainedLoadSamples {
				e.loadSamples = append([]LoadSample(nil), e.loadSamples[retainedLoadSamples:]...)
			}
			e.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// LaggedLoad gives the load as it was before a lag.
func (e *Engine) LaggedLoad(now time.Time, lag time.Duration) LoadSample {
	e.mu.Lock()
	defer e.mu.Unlock()
	measuredBy := now.Add(-lag)
	for i := len(e.loadSamples) - 1; i >= 0; i-- {
		if !e.loadSamples[i].MeasuredAt.After(measuredBy) {
			return e.loadSamples[i]
		}
	}
	return LoadSample{MeasuredAt: measuredBy}
}

// Stats gives what the engine truly did.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.ActiveRequests = len(e.running) + len(e.waiting)
	return stats
}

// prefixCache keeps the prefixes used last. The zero value is empty.
type prefixCache struct {
	// prefixes holds the prefixes, the last used at the end.
	prefixes []uint64
}

// touch tells whether a prefix was cached, and caches it.
func (c *prefixCache) touch(prefix uint64) bool {
	hit := false
	for i, p := range c.prefixes {
		if p == prefix {
			c.prefixes = append(c.prefixes[:i], c.prefixes[i+1:]...)
			hit = true
			break
		}
	}
	c.prefixes = append(c.prefixes, prefix)
	if len(c.prefixes) > maxCachedPrefixes {
		c.prefixes = c.prefixes[1:]
	}
	return hit
}
