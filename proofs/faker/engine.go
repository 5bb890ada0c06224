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
	// sampleEvery is how often an engine's load is noted for late reports.
	sampleEvery = 50 * time.Millisecond
	// samplesKept is enough for a lag of a minute.
	samplesKept = int(time.Minute / sampleEvery)
	// cachedPrefixes bounds an engine's prefix cache.
	cachedPrefixes = 64
)

// Engine is a model engine. It batches continuously: each step makes one token
// for every running request and takes longer the more there are. It keeps a
// bounded prefix cache and starts waiting requests by priority. Its exported
// fields are set before it runs.
type Engine struct {
	// Batch is the most requests it runs at once.
	Batch int
	// TokenTime is the time of a step with an empty batch, and PerRequest what
	// each running request adds.
	TokenTime  time.Duration
	PerRequest time.Duration
	// PrefillTime is what a prompt token that isn't cached takes.
	PrefillTime time.Duration
	// Slowed stretches the time of a step; nil leaves it.
	Slowed func(d time.Duration) time.Duration
	// Crashes is asked after each step whether the engine crashes now, with
	// the tokens made since the last crash; nil stands for never.
	Crashes func(tokens int) bool

	mu sync.Mutex
	// The fields below are guarded by mu. A sequence is either waiting or
	// running, or has ended.
	waiting sequenceHeap
	running []*Sequence
	arrived int
	// wake is closed and replaced when work comes to an idle engine.
	wake chan struct{}
	// sinceCrash counts the tokens since the last crash.
	sinceCrash int
	count      Counts
	cache      prefixCache
	samples    []Load
}

// Counts is what an engine truly did.
type Counts struct {
	// Runs counts requests, Cancelled those whose caller left.
	Runs      int
	Cancelled int
	// Generated counts tokens, Wasted those of requests that didn't end.
	Generated int
	Wasted    int
	// Active counts the requests running or waiting.
	Active int
}

// Load is an engine's load at one time.
type Load struct {
	At      time.Time
	Running int
	Waiting int
}

// Sequence is one request on an engine.
type Sequence struct {
	// Priority orders waiting requests, the lowest first.
	Priority int
	Prompt   Prompt
	// Next is the number of the next word; the answer ends before Total.
	Next  int
	Total int

	order int
	words chan Word
	// lost is closed when the engine crashes.
	lost chan struct{}
	// ended tells that it was cancelled or lost.
	ended bool
	made  int
	index int
}

// Words gives what is made. It has room for all of it.
func (s *Sequence) Words() <-chan Word {
	return s.words
}

// Lost is closed when the engine crashes with the request on it.
func (s *Sequence) Lost() <-chan struct{} {
	return s.lost
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
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h sequenceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *sequenceHeap) Push(x any) {
	s := x.(*Sequence)
	s.index = len(*h)
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
	e.arrived++
	s.order = e.arrived
	s.words = make(chan Word, max(1, s.Total-s.Next))
	s.lost = make(chan struct{})
	e.count.Runs++
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
	if s.ended || s.made > 0 && s.Next >= s.Total {
		return
	}
	s.ended = true
	e.count.Cancelled++
	e.count.Wasted += s.made
	if s.made == 0 && s.index < len(e.waiting) && e.waiting[s.index] == s {
		heap.Remove(&e.waiting, s.index)
	}
}

// Run makes steps until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	go e.sample(ctx)
	for ctx.Err() == nil {
		took, idle := e.begin()
		if idle != nil {
			select {
			case <-idle:
			case <-ctx.Done():
			}
			continue
		}
		if e.Slowed != nil {
			took = e.Slowed(took)
		}
		timer := time.NewTimer(took)
		select {
		case <-timer.C:
			e.finish()
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return ctx.Err()
}

// begin fills the batch and gives the time of the step, or a channel to wait
// on where there is nothing to do.
func (e *Engine) begin() (time.Duration, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	took := e.TokenTime
	for len(e.running) < e.Batch && len(e.waiting) > 0 {
		s := heap.Pop(&e.waiting).(*Sequence)
		e.running = append(e.running, s)
		if !e.cache.touch(s.Prompt.Prefix) {
			took += time.Duration(s.Prompt.Tokens) * e.PrefillTime
		}
	}
	if len(e.running) == 0 {
		if e.wake == nil {
			e.wake = make(chan struct{})
		}
		return 0, e.wake
	}
	return took + time.Duration(len(e.running))*e.PerRequest, nil
}

// finish gives a token to each running request and drops those that ended.
func (e *Engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var left []*Sequence
	for _, s := range e.running {
		if s.ended {
			continue
		}
		s.words <- s.Prompt.Word(s.Next, s.Total)
		s.Next++
		s.made++
		e.count.Generated++
		e.sinceCrash++
		if s.Next < s.Total {
			left = append(left, s)
		}
	}
	e.running = left
	if e.Crashes != nil && e.Crashes(e.sinceCrash) {
		e.loseLocked()
	}
}

// loseLocked forgets all requests, as a crash does.
func (e *Engine) loseLocked() {
	for _, s := range append(append([]*Sequence{}, e.running...), e.waiting...) {
		if !s.ended {
			s.ended = true
			e.count.Wasted += s.made
			close(s.lost)
		}
	}
	e.running = nil
	e.waiting = nil
	e.sinceCrash = 0
}

// Crash loses all requests.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseLocked()
}

// ForgetTokens starts the count of tokens since the last crash anew.
func (e *Engine) ForgetTokens() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sinceCrash = 0
}

// sample notes the load for late reports.
func (e *Engine) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			e.mu.Lock()
			e.samples = append(e.samples, Load{At: now, Running: len(e.running), Waiting: len(e.waiting)})
			if len(e.samples) > 2*samplesKept {
				e.samples = append([]Load(nil), e.samples[samplesKept:]...)
			}
			e.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// Late gives the load as it was before a lag.
func (e *Engine) Late(now time.Time, lag time.Duration) Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := now.Add(-lag)
	for i := len(e.samples) - 1; i >= 0; i-- {
		if !e.samples[i].At.After(at) {
			return e.samples[i]
		}
	}
	return Load{At: at}
}

// Counts gives what the engine truly did.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.count
	c.Active = len(e.running) + len(e.waiting)
	return c
}

// prefixCache keeps the prefixes used last. The zero value is empty.
type prefixCache struct {
	// order holds the prefixes, the last used at the end.
	order []uint64
}

// touch tells whether a prefix was cached, and caches it.
func (c *prefixCache) touch(prefix uint64) bool {
	hit := false
	for i, p := range c.order {
		if p == prefix {
			c.order = append(c.order[:i], c.order[i+1:]...)
			hit = true
			break
		}
	}
	c.order = append(c.order, prefix)
	if len(c.order) > cachedPrefixes {
		c.order = c.order[1:]
	}
	return hit
}
