package prioritizer

import (
	"container/heap"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// state tells where a request stands.
type state int

const (
	// stateOut is before entering and after leaving.
	stateOut state = iota
	stateWaiting
	// stateRunning holds a place of its tier.
	stateRunning
	// stateFloor holds a place of the floor.
	stateFloor
	// statePausing holds a place and was told to give it back.
	statePausing
)

// waiter is one request in a queue. Its fields but for request, enqueued and
// cost are guarded by the queue's lock.
type waiter struct {
	request  *quetzalroad.Request
	enqueued time.Time
	// cost is what was charged to the team, in tokens.
	cost  float64
	state state
	// granted is closed when the request gets a place or is evicted, and made
	// anew each time it waits.
	granted chan struct{}
	// refusal is set before granted is closed where the request was evicted.
	refusal *quetzalroad.Refusal
	// paused is closed when the request has to give up its place, and made
	// anew with each place.
	paused chan struct{}
	// started is when it last got a place.
	started time.Time
	// index is its position in its team's heap while it waits.
	index int
	// grantsBelow is the number of grants to lower tiers when it began to
	// wait.
	grantsBelow uint64
}

func (w *waiter) tier() quetzalroad.Tier {
	return min(max(w.request.Profile.Tier, 0), quetzalroad.LowestTier)
}

// line is the waiting requests of one team in a tier, by deadline.
type line struct {
	team quetzalroad.TeamName
	// virtual is the work charged to the team, divided by its weight.
	virtual float64
	heap    deadlineHeap
	// index is the line's position among the tier's active lines while its
	// heap isn't empty.
	index int
}

// lineHeap is a heap whose first member has the least work charged.
type lineHeap []*line

// Len implements heap.Interface.
func (h lineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h lineHeap) Less(i, j int) bool {
	if h[i].virtual != h[j].virtual {
		return h[i].virtual < h[j].virtual
	}
	return h[i].team < h[j].team
}

// Swap implements heap.Interface.
func (h lineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *lineHeap) Push(x any) {
	l := x.(*line)
	l.index = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *lineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// deadlineHeap is a heap whose first member has the earliest deadline.
type deadlineHeap []*waiter

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool {
	return dueOf(h[i]).Before(dueOf(h[j]))
}

// dueOf is when a request's first token is due, which orders a team's work.
func dueOf(w *waiter) time.Time {
	return w.request.Arrived.Add(w.request.Profile.FirstTokenTarget)
}

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// tier is one tier of a queue. All its fields are guarded by the queue's lock.
type tier struct {
	// running counts the places held, without the floor's.
	running int
	// floor counts the places held on the floor.
	floor int
	// waiting counts the members of all lines.
	waiting int
	// lines holds the teams; an idle one is dropped once its virtual time is
	// behind the tier's.
	lines map[quetzalroad.TeamName]*line
	// active holds the lines that have work waiting.
	active lineHeap
	// arrivals holds the waiters in the order of coming; those that wait no
	// more are dropped when they reach the front.
	arrivals []*waiter
	// virtual is the virtual time of the last line served; it never falls.
	virtual float64
	// hold is a moving mean of how long a place is held.
	hold time.Duration
	// peak is the recent largest number of requests running or waiting, which
	// fades with time.
	peak   float64
	peakAt time.Time
	// grants counts the places given, without the floor's.
	grants uint64
	// pausable are the running requests that may be paused, the last started
	// at the end.
	pausable []*waiter
	// preemptible tells that the tier's last request could be paused.
	preemptible bool
	// servedAt is when a request of the tier last ended, or got a place of the
	// floor.
	servedAt time.Time
}

// push adds a waiter to its team's line.
func (t *tier) push(w *waiter) {
	if t.lines == nil {
		t.lines = make(map[quetzalroad.TeamName]*line)
	}
	name := w.request.Team.Name
	l := t.lines[name]
	if l == nil {
		l = &line{team: name}
		t.lines[name] = l
	}
	if len(l.heap) == 0 {
		l.virtual = max(l.virtual, t.virtual)
		heap.Push(&t.active, l)
	}
	heap.Push(&l.heap, w)
	t.trim()
	t.arrivals = append(t.arrivals, w)
	t.waiting++
}

// trim drops those at the front of the arrivals that wait no more.
func (t *tier) trim() {
	for len(t.arrivals) > 0 && t.arrivals[0].state != stateWaiting {
		t.arrivals[0] = nil
		t.arrivals = t.arrivals[1:]
	}
}

// remove takes a waiter out of its line.
func (t *tier) remove(w *waiter) {
	l := t.lines[w.request.Team.Name]
	heap.Remove(&l.heap, w.index)
	t.waiting--
	t.rest(l)
}

// rest takes a line without work out of the active ones, and forgets it where
// it has no work charged ahead of the others.
func (t *tier) rest(l *line) {
	if len(l.heap) > 0 {
		return
	}
	heap.Remove(&t.active, l.index)
	if l.virtual <= t.virtual {
		delete(t.lines, l.team)
	}
}

// head gives the waiter to be served next, from the line with the least work
// charged. The tier has work waiting.
func (t *tier) head() *waiter {
	return t.active[0].heap[0]
}

// pop takes the next waiter and charges its team.
func (t *tier) pop() *waiter {
	l := t.active[0]
	w := heap.Pop(&l.heap).(*waiter)
	t.waiting--
	t.virtual = max(t.virtual, l.virtual)
	l.virtual += w.cost / weight(w.request.Team)
	if len(l.heap) > 0 {
		heap.Fix(&t.active, l.index)
	} else {
		t.rest(l)
	}
	return w
}

// settle corrects what a team was charged.
func (t *tier) settle(team quetzalroad.Team, cost float64) {
	l := t.lines[team.Name]
	if l == nil {
		return
	}
	l.virtual += cost / weight(team)
	if len(l.heap) > 0 {
		heap.Fix(&t.active, l.index)
	}
}

func weight(t quetzalroad.Team) float64 {
	return float64(max(1, t.Weight))
}

// oldest gives the longest wait in the tier.
func (t *tier) oldest(now time.Time) time.Duration {
	t.trim()
	if len(t.arrivals) == 0 {
		return 0
	}
	return now.Sub(t.arrivals[0].enqueued)
}

// progresses tells that the tier is served without the floor: a request ended
// lately, or one runs that wasn't paused for a while. A place that is given and
// taken back at once is no progress.
func (t *tier) progresses(now time.Time, after time.Duration) bool {
	if now.Sub(t.servedAt) < after || t.running > len(t.pausable) {
		return true
	}
	return len(t.pausable) > 0 && now.Sub(t.pausable[0].started) >= after
}

// peakHalfLife is how fast a past peak fades.
const peakHalfLife = 8 * time.Second

// notePeak keeps the recent peak of running and waiting requests.
func (t *tier) notePeak(now time.Time) {
	t.peak = max(t.peakNow(now), float64(t.running+t.waiting))
	t.peakAt = now
}

// peakNow gives the peak as it has faded.
func (t *tier) peakNow(now time.Time) float64 {
	age := now.Sub(t.peakAt)
	if age > 8*peakHalfLife {
		return 0
	}
	return t.peak / (1 + float64(age)/float64(peakHalfLife))
}
