package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// The pace of the simulated engines.
const (
	stepTime           = 4 * time.Millisecond
	stepTimePerRequest = 100 * time.Microsecond
	readTokensPerMilli = 80
	chunkTokens        = 4096
	tokensPerEvent     = 6
	engineSlots        = 24
	engineQueue        = 48
)

// request is one request of the workload with its progress.
type request struct {
	class   *class
	arrived time.Time
	node    *node
	// sharedID and ownID identify the parts of the prompt that other requests may have in common.
	sharedID, ownID                         int
	sharedTokens, ownTokens, uncachedTokens int
	outputTokens                            int

	attempts int
	engine   *engine
	// unread is how many prompt tokens the engine still has to read; generated counts tokens.
	unread, generated int
	// rereadTokens counts the shared tokens that its engine prefills although some engine did before.
	rereadTokens    int
	firstAt, lastAt time.Time
	longestGap      time.Duration
	outcome         outcome
}

func (r *request) promptTokens() int { return r.sharedTokens + r.ownTokens + r.uncachedTokens }

// cachedPart is a part of a prompt that an engine holds.
type cachedPart struct{ id, tokens int }

// engine is a simulated model engine.
type engine struct {
	quetzalroad.Upstream
	// speed multiplies the duration of its work.
	speed            float64
	crashed          bool
	running, waiting []*request
	cached           map[int]bool
	// cacheTokens bounds the tokens of the cached parts; zero for no bound. uses lists them, the last used last.
	cacheTokens int
	uses        []cachedPart
	stepping    bool
	// generation invalidates steps that were scheduled before a crash.
	generation int
	readTokens int
	// read holds the parts that any engine of the fleet has prefilled.
	read map[int]bool
}

// admit moves waiting requests to free slots, the most urgent class first.
func (e *engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *request) int { return cmp.Compare(a.class.tier, b.class.tier) })
	for len(e.waiting) > 0 && len(e.running) < engineSlots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.unread = r.promptTokens() - e.cachedTokens(r)
		r.rereadTokens += max(0, e.readBefore(r)-e.cachedTokens(r))
		e.running = append(e.running, r)
	}
}

// readBefore returns how many of a prompt's first tokens engines have prefilled before.
func (e *engine) readBefore(r *request) int { return firstTokens(e.read, r) }

func (e *engine) cachedTokens(r *request) int { return firstTokens(e.cached, r) }

// firstTokens returns the length of a prompt's first parts that are all among some parts.
func firstTokens(parts map[int]bool, r *request) int {
	switch {
	case !parts[r.sharedID]:
		return 0
	case !parts[r.ownID]:
		return r.sharedTokens
	}
	return r.sharedTokens + r.ownTokens
}

// cache holds the parts of a prompt, and evicts those that were not used for longest.
func (e *engine) cache(r *request) {
	e.cached[r.sharedID], e.cached[r.ownID] = true, true
	if e.cacheTokens == 0 {
		return
	}
	e.uses = slices.DeleteFunc(e.uses, func(p cachedPart) bool { return p.id == r.sharedID || p.id == r.ownID })
	e.uses = append(e.uses, cachedPart{r.ownID, r.ownTokens}, cachedPart{r.sharedID, r.sharedTokens})
	held := 0
	for _, other := range e.running {
		held += other.uncachedTokens + other.generated
	}
	for _, p := range e.uses {
		held += p.tokens
	}
	for ; held > e.cacheTokens && len(e.uses) > 0; e.uses = e.uses[1:] {
		held -= e.uses[0].tokens
		delete(e.cached, e.uses[0].id)
	}
}

// step reads one chunk and generates one token of each request that was read before. It returns
// when the step ends and the requests that generated a token in it.
func (e *engine) step(now time.Time) (time.Time, []*request) {
	e.admit()
	var decoding []*request
	budget := chunkTokens
	for _, r := range e.running {
		if r.unread == 0 {
			decoding = append(decoding, r)
		}
	}
	for _, r := range e.running {
		n := min(r.unread, budget)
		if n == 0 {
			continue
		}
		r.unread -= n
		budget -= n
		if r.unread == 0 {
			e.cache(r)
			e.read[r.sharedID], e.read[r.ownID] = true, true
			decoding = append(decoding, r)
		}
	}
	read := chunkTokens - budget
	e.readTokens += read
	duration := stepTime + time.Duration(len(e.running))*stepTimePerRequest + time.Duration(read)*time.Millisecond/readTokensPerMilli
	return now.Add(time.Duration(float64(duration) * e.speed)), decoding
}

// finish removes a request.
func (e *engine) finish(r *request) {
	e.running = slices.DeleteFunc(e.running, func(other *request) bool { return other == r })
	e.waiting = slices.DeleteFunc(e.waiting, func(other *request) bool { return other == r })
}
