// Package faker provides fake implementations of the root package's interfaces for tests and
// measurements: engines, services, the log, the VM list and the network between nodes. They use
// only the runtime's clock and channels, so that they run in a testing/synctest bubble.
package faker

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

const (
	// loadSampleInterval is how often an engine's load is recorded for delayed load reports.
	loadSampleInterval = 50 * time.Millisecond
	// retainedLoadSamples is the number of samples that are always kept, for a report lag of one minute.
	retainedLoadSamples = int(time.Minute / loadSampleInterval)
	// maxCachedPrefixes is the capacity of an engine's prefix cache.
	maxCachedPrefixes = 64
)

// Engine simulates a model engine with continuous batching: each decode step generates one token
// for every running request and takes longer the larger the batch is. It has a bounded prefix cache
// and starts waiting requests by priority. Its exported fields must be set before it runs.
type Engine struct {
	// MaxBatchSize is the maximum number of requests that run at once.
	MaxBatchSize int
	// BaseStepTime is the duration of a step with an empty batch, and
	// StepTimePerRequest what each running request adds.
	BaseStepTime       time.Duration
	StepTimePerRequest time.Duration
	// PrefillTimePerToken is the prefill time of a prompt token that is not in the prefix cache.
	PrefillTimePerToken time.Duration
	// AdjustStepTime changes the duration of a step; nil leaves it as it is. ChatClient.Run sets it.
	AdjustStepTime func(d time.Duration) time.Duration
	// ShouldCrash is called after each step with the number of tokens generated since the last
	// crash, and reports whether the engine crashes now; nil means never.
	ShouldCrash func(tokens int) bool

	mu sync.Mutex
	// The fields below are guarded by mu. A sequence is waiting, running or ended.
	waiting  sequenceHeap
	running  []*Sequence
	arrivals int
	// wake is non-nil while the engine is idle, and closed when a request arrives.
	wake             chan struct{}
	tokensSinceCrash int
	stats            EngineStats
	cache            prefixCache
	loadSamples      []LoadSample
}

// EngineStats counts what an engine did, independent of the router's metrics.
type EngineStats struct {
	// Requests counts submitted requests, Cancelled those that the client
	// cancelled before they ended.
	Requests  int
	Cancelled int
	// WastedTokens counts the generated tokens of requests that were cancelled or lost in a crash.
	GeneratedTokens int
	WastedTokens    int
	// ActiveRequests counts the running and the waiting requests.
	ActiveRequests int
}

// LoadSample is an engine's load at one instant.
type LoadSample struct {
	MeasuredAt time.Time
	Running    int
	Waiting    int
}

// Sequence is a request being processed by an engine.
type Sequence struct {
	// Priority orders waiting requests, lowest value first.
	Priority int
	Prompt   Prompt
	// NextToken is the index of the next token to generate, and TotalTokens
	// the length of the response; NextToken starts above 0 for a resumed one.
	NextToken   int
	TotalTokens int

	arrivalOrder int
	tokens       chan Token
	// crashed is closed when the engine crashes with the request on it.
	crashed chan struct{}
	// aborted reports that it was cancelled or lost in a crash.
	aborted   bool
	generated int
	heapIndex int
}

// Tokens returns the channel of generated tokens. Its buffer holds the whole
// response, so that the engine never blocks on a slow reader.
func (s *Sequence) Tokens() <-chan Token {
	return s.tokens
}

// Crashed returns a channel that is closed when the engine crashes with the request on it.
func (s *Sequence) Crashed() <-chan struct{} {
	return s.crashed
}

// sequenceHeap is a min-heap of waiting requests by priority, then arrival.
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

// Cancel aborts a request, as when its caller disconnects, and counts the tokens
// that it generated as wasted. It does nothing to a request that has ended.
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

// Run executes decode steps until the context is done.
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

// startStep fills the batch and returns the duration of the step, or, if there
// are no requests, a channel that is closed when one arrives.
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

// finishStep emits a token for each running request, removes those that ended, and asks ShouldCrash.
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

// crashLocked aborts all requests, running and waiting.
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

// Crash makes the engine crash, which aborts all its requests.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

// ResetTokensSinceCrash resets the token count that is passed to ShouldCrash.
func (e *Engine) ResetTokensSinceCrash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokensSinceCrash = 0
}

// sampleLoad records the load at intervals for delayed load reports.
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

// LaggedLoad returns the latest load sample that is at least lag old, or no load if there is none.
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

// Stats returns what the engine did so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.ActiveRequests = len(e.running) + len(e.waiting)
	return stats
}

// prefixCache is an LRU cache of prompt prefixes. The zero value is empty.
type prefixCache struct {
	// prefixes is ordered from least to most recently used.
	prefixes []uint64
}

// touch reports whether a prefix was cached, and caches it as the most recently used one.
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
