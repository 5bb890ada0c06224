// Package judge checks the promises of the users' platform from what callers
// sent and got and what reached the servers.
package judge

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/requester"
)

// Class is a kind of request.
type Class struct {
	Name string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Timeout is the route's.
	Timeout time.Duration
}

// Bounds are the times of the platform's pages.
type Bounds struct {
	// Leave is how long after its word a leaving server may still be reached.
	Leave time.Duration
	// Apply is how long after its acknowledgement a version is in force.
	Apply time.Duration
	// Revoke is how long a key that was taken away may still work.
	Revoke time.Duration
	// Stable is how long a node must have run calmly for a bound to hold.
	Stable time.Duration
	// Late is how much later than its route's timeout an answer may come.
	Late time.Duration
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// Slack is how long after it was sent a request may meet the end of its
	// connection at a planned stop.
	Slack time.Duration
	// BudgetShare and BudgetExtra bound the repeats at a service in a
	// BudgetWindow: a share of the requests and a number beside.
	BudgetShare  float64
	BudgetExtra  int
	BudgetWindow time.Duration
}

// Sent is a request with its answer.
type Sent struct {
	requester.Request
	requester.Response
	Class Class
	// Node is the number of the node that it was sent to.
	Node int
	// Team is the name of the team that holds the key; empty where none does.
	Team string
	// Unkeyed is when the key was taken away; zero where it was not.
	Unkeyed time.Time
}

// Arrived is a request at a server.
type Arrived struct {
	ID string
	// Server is the server's mark, and Service its service.
	Server  string
	Service string
	At      time.Time
	Ran     bool
	// Left is when the store acknowledged that the server leaves; zero while
	// it stays.
	Left time.Time
	// Team is the name that the router set, HasKey tells that the key came
	// along, and Line and Body are the request's.
	Team   string
	HasKey bool
	Line   string
	Body   string
}

// Finding is a broken promise.
type Finding struct {
	Rule string
	ID   string
	What string
}

// String tells a finding in a line.
func (f Finding) String() string { return fmt.Sprintf("%s: request %s: %s", f.Rule, f.ID, f.What) }

// span is a time of trouble.
type span struct{ from, until time.Time }

// Judge collects what happened. The zero value is ready for use.
type Judge struct {
	Bounds Bounds

	mu sync.Mutex
	// The fields below are guarded by mu. troubles holds the spans of each
	// node, everywhere those that strike all, and stops the planned ones.
	sent       map[string]Sent
	arrived    []Arrived
	troubles   map[int][]span
	everywhere []span
	unplanned  []span
	stops      map[int][]time.Time
	moves      []Move
	findings   []Finding
}

// Move is a version of the config that leads a class to another service.
type Move struct {
	Class        string
	From, To     string
	Acknowledged time.Time
}

// Send notes a request and its answer.
func (j *Judge) Send(s Sent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.sent == nil {
		j.sent = make(map[string]Sent)
	}
	j.sent[s.ID] = s
}

// Arrive notes a request at a server.
func (j *Judge) Arrive(a Arrived) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrived = append(j.arrived, a)
}

// Trouble notes that a node was struck in a span; a negative node stands for
// all.
func (j *Judge) Trouble(node int, from, until time.Time, planned bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := span{from, until}
	if !planned {
		j.unplanned = append(j.unplanned, s)
	}
	if node < 0 {
		j.everywhere = append(j.everywhere, s)
		return
	}
	if j.troubles == nil {
		j.troubles = make(map[int][]span)
	}
	j.troubles[node] = append(j.troubles[node], s)
}

// Stop notes that a node was asked to stop.
func (j *Judge) Stop(node int, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.stops == nil {
		j.stops = make(map[int][]time.Time)
	}
	j.stops[node] = append(j.stops[node], at)
}

// Moved notes that a class was led to another service.
func (j *Judge) Moved(m Move) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.moves = append(j.moves, m)
}

// Find notes a broken promise that was seen elsewhere.
func (j *Judge) Find(f Finding) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.findings = append(j.findings, f)
}

// Sent lists the requests in the order of their sending.
func (j *Judge) Sent() []Sent {
	j.mu.Lock()
	defer j.mu.Unlock()
	var all []Sent
	for _, s := range j.sent {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Sent) int { return a.Response.SentAt.Compare(b.Response.SentAt) })
	return all
}

// overlaps tells that a span of trouble, with the time after which a node counts
// as calm again, touches another span.
func (s span) overlaps(from, until time.Time, stable time.Duration) bool {
	return s.from.Before(until) && s.until.Add(stable).After(from)
}

// calm tells that nothing struck a node in a span.
func (j *Judge) calm(node int, from, until time.Time) bool {
	for _, s := range append(slices.Clone(j.everywhere), j.troubles[node]...) {
		if s.overlaps(from, until, j.Bounds.Stable) {
			return false
		}
	}
	return true
}

// undisturbed tells that nothing unplanned happened anywhere in a span.
func (j *Judge) undisturbed(from, until time.Time) bool {
	for _, s := range j.unplanned {
		if s.overlaps(from, until, j.Bounds.Stable) {
			return false
		}
	}
	return true
}
