// Package generator stands in for a model engine. It batches continuously:
// each step makes one token for every running request and takes longer the
// more there are. It keeps a bounded prefix cache, starts waiting requests by
// priority, resumes an answer from its text, cancels when the caller closes,
// and reports its load with a lag.
//
// The answer to a prompt is made of numbered words that follow from the prompt
// alone, so that a check can tell a whole answer from a part and from the
// answer to another prompt.
package generator

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/faulter"
)

const (
	// usualLag is how late load reports are without a fault.
	usualLag = 500 * time.Millisecond
	// sampleEvery is how often the load is noted for late reports.
	sampleEvery = 50 * time.Millisecond
	// samplesKept is enough for a lag of a minute.
	samplesKept = int(time.Minute / sampleEvery)
	// restartTime is how long an engine that crashed stays away.
	restartTime = time.Second
	// cachedPrefixes bounds the prefix cache.
	cachedPrefixes = 64
)

// Engine is the model engine. Its exported fields are set before it runs.
type Engine struct {
	// Host brings faults about.
	Host faulter.Host
	// Model is the name under which it answers.
	Model string
	// Batch is the most requests it runs at once.
	Batch int
	// TokenTime is the time of a step with an empty batch, and PerRequest what
	// each running request adds.
	TokenTime  time.Duration
	PerRequest time.Duration
	// PrefillTime is what a prompt token that isn't cached takes.
	PrefillTime time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu. A sequence is either waiting or
	// running, or has ended.
	waiting sequenceHeap
	running []*sequence
	arrived int
	// wake is closed and replaced when work comes to an idle engine.
	wake chan struct{}
	// life counts crashes; sequences of an earlier life are lost.
	life  int
	count counts
	// sinceCrash counts the tokens since the last crash or since the fault
	// was set.
	sinceCrash int
	cache      prefixCache
	samples    []sample
}

// counts is what an engine truly did.
type counts struct {
	runs      int
	cancelled int
	generated int
	wasted    int
}

// sample is the load at one time.
type sample struct {
	at      time.Time
	running int
	waiting int
}

// sequence is one request on the engine.
type sequence struct {
	priority int
	order    int
	prompt   prompt
	// next is the number of the next word; it ends at total.
	next  int
	total int
	// words takes what is made. It has room for all of it.
	words chan word
	// cancelled tells that the caller left.
	cancelled bool
	// made counts the tokens made here.
	made  int
	index int
}

// word is one token of an answer.
type word struct {
	text string
	// last tells that the answer ends with it, by its length where cut is set.
	last bool
	cut  bool
}

// sequenceHeap orders waiting requests by priority and arrival.
type sequenceHeap []*sequence

// Len implements heap.Interface.
func (h sequenceHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h sequenceHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
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
	s := x.(*sequence)
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

// submit queues a request.
func (e *Engine) submit(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrived++
	s.order = e.arrived
	s.words = make(chan word, max(1, s.total-s.next))
	e.count.runs++
	heap.Push(&e.waiting, s)
	if e.wake != nil {
		close(e.wake)
		e.wake = nil
	}
}

// cancel ends a request whose caller left. What it made is wasted.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.cancelled {
		return
	}
	s.cancelled = true
	e.count.cancelled++
	e.count.wasted += s.made
	for i, w := range e.waiting {
		if w == s {
			heap.Remove(&e.waiting, i)
			return
		}
	}
}

// Run makes steps until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	e.Host.OnChange(func(faulter.Faults) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.sinceCrash = 0
	})
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
		timer := time.NewTimer(e.Host.Slowed(took))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		e.finish()
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
		s := heap.Pop(&e.waiting).(*sequence)
		e.running = append(e.running, s)
		if !e.cache.touch(s.prompt.prefix) {
			took += time.Duration(s.prompt.tokens) * e.PrefillTime
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
	crashAfter := e.Host.Faults().CrashAfterTokens
	e.mu.Lock()
	left := e.running[:0]
	for _, s := range e.running {
		if s.cancelled {
			continue
		}
		s.words <- s.prompt.word(s.next, s.total)
		s.next++
		s.made++
		e.count.generated++
		e.sinceCrash++
		if s.next < s.total {
			left = append(left, s)
		}
	}
	e.running = left
	crash := crashAfter > 0 && e.sinceCrash >= crashAfter || e.Host.Down()
	if crash {
		e.loseLocked()
	}
	e.mu.Unlock()
	if crash && !e.Host.Down() {
		e.Host.Crash(restartTime)
	}
}

// loseLocked forgets all requests, as a crash does.
func (e *Engine) loseLocked() {
	for _, s := range append(e.running, e.waiting...) {
		if !s.cancelled {
			s.cancelled = true
			e.count.wasted += s.made
		}
	}
	e.running = nil
	e.waiting = nil
	e.sinceCrash = 0
	e.life++
}

// sample notes the load for late reports.
func (e *Engine) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			e.mu.Lock()
			e.samples = append(e.samples, sample{at: now, running: len(e.running), waiting: len(e.waiting)})
			if len(e.samples) > 2*samplesKept {
				e.samples = append([]sample(nil), e.samples[samplesKept:]...)
			}
			e.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// late gives the load as it was before the lag.
func (e *Engine) late(now time.Time) sample {
	lag := e.Host.Faults().ReportLag
	if lag == 0 {
		lag = usualLag
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	at := now.Add(-lag)
	for i := len(e.samples) - 1; i >= 0; i-- {
		if !e.samples[i].at.After(at) {
			return e.samples[i]
		}
	}
	return sample{at: at}
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
