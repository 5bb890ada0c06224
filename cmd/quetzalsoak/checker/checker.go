// Package checker checks the promises of the users' platform from what callers
// sent and got and what reached the servers.
package checker

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
	// Retryable requests may run more than once.
	Retryable bool
	// Timeout is the route's.
	Timeout time.Duration
}

// Bounds are the times of the platform's pages.
type Bounds struct {
	// DrainDelay is how long after its word a leaving server may still be reached.
	DrainDelay time.Duration
	// ApplyDelay is how long after its acknowledgement a version is in force.
	ApplyDelay time.Duration
	// RevocationDelay is how long a key that was taken away may still work.
	RevocationDelay time.Duration
	// StabilizationTime is how long a node must have run calmly for a bound to hold.
	StabilizationTime time.Duration
	// TimeoutMargin is how much later than its route's timeout an answer may come.
	TimeoutMargin time.Duration
	// ShutdownGrace is how long a planned stop may take.
	ShutdownGrace time.Duration
	// ShutdownRace is how long after it was sent a request may meet the end of its
	// connection at a planned stop.
	ShutdownRace time.Duration
	// RetryBudgetShare and BudgetExtra bound the repeats at a service in a
	// BudgetWindow: a share of the requests and a number beside.
	RetryBudgetShare  float64
	RetryBudgetBase   int
	RetryBudgetWindow time.Duration
}

// Exchange is a request with its answer.
type Exchange struct {
	requester.Request
	requester.Answer
	Class Class
	// Node is the number of the node that it was sent to.
	Node int
	// Team is the name of the team that holds the key; empty where none does.
	Team string
	// KeyRevokedAt is when the key was taken away; zero where it was not.
	KeyRevokedAt time.Time
}

// Arrival is a request at a server.
type Arrival struct {
	RequestID string
	// Server is the server's mark, and Service its service.
	Server     string
	Service    string
	ReceivedAt time.Time
	Executed   bool
	// DrainingSince is when the store acknowledged that the server leaves; zero while
	// it stays.
	DrainingSince time.Time
	// Team is the name that the router set, HasKey tells that the key came
	// along, and Line and Body are the request's.
	Team        string
	HasKey      bool
	RequestLine string
	Body        string
}

// Violation is a broken promise.
type Violation struct {
	Rule      string
	RequestID string
	Detail    string
}

// String tells a finding in a line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", v.Rule, v.RequestID, v.Detail)
}

// interval is a time of trouble.
type interval struct{ from, until time.Time }

// Checker collects what happened. The zero value is ready for use.
type Checker struct {
	Bounds Bounds

	mu sync.Mutex
	// The fields below are guarded by mu. troubles holds the spans of each
	// node, everywhere those that strike all, and stops the planned ones.
	exchanges            map[string]Exchange
	arrivals             []Arrival
	nodeDisruptions      map[int][]interval
	globalDisruptions    []interval
	unplannedDisruptions []interval
	plannedStops         map[int][]time.Time
	serviceChanges       []ServiceChange
	violations           []Violation
}

// ServiceChange is a version of the config that leads a class to another service.
type ServiceChange struct {
	Class          string
	From, To       string
	AcknowledgedAt time.Time
}

// RecordExchange notes a request and its answer.
func (c *Checker) RecordExchange(e Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchanges == nil {
		c.exchanges = make(map[string]Exchange)
	}
	c.exchanges[e.ID] = e
}

// RecordArrival notes a request at a server.
func (c *Checker) RecordArrival(a Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, a)
}

// RecordDisruption notes that a node was struck in a span; a negative node stands for
// all.
func (c *Checker) RecordDisruption(node int, from, until time.Time, planned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	disruption := interval{from, until}
	if !planned {
		c.unplannedDisruptions = append(c.unplannedDisruptions, disruption)
	}
	if node < 0 {
		c.globalDisruptions = append(c.globalDisruptions, disruption)
		return
	}
	if c.nodeDisruptions == nil {
		c.nodeDisruptions = make(map[int][]interval)
	}
	c.nodeDisruptions[node] = append(c.nodeDisruptions[node], disruption)
}

// RecordStop notes that a node was asked to stop.
func (c *Checker) RecordStop(node int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.plannedStops == nil {
		c.plannedStops = make(map[int][]time.Time)
	}
	c.plannedStops[node] = append(c.plannedStops[node], at)
}

// RecordServiceChange notes that a class was led to another service.
func (c *Checker) RecordServiceChange(change ServiceChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serviceChanges = append(c.serviceChanges, change)
}

// RecordViolation notes a broken promise that was seen elsewhere.
func (c *Checker) RecordViolation(v Violation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, v)
}

// Exchanges lists the requests in the order of their sending.
func (c *Checker) Exchanges() []Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	var exchanges []Exchange
	for _, e := range c.exchanges {
		exchanges = append(exchanges, e)
	}
	slices.SortFunc(exchanges, func(a, b Exchange) int { return a.Answer.Sent.Compare(b.Answer.Sent) })
	return exchanges
}

// overlaps tells that a span of trouble, with the time after which a node counts
// as calm again, touches another span.
func (i interval) overlaps(from, until time.Time, stabilization time.Duration) bool {
	return i.from.Before(until) && i.until.Add(stabilization).After(from)
}

// nodeStable tells that nothing struck a node in a span.
func (c *Checker) nodeStable(node int, from, until time.Time) bool {
	for _, disruption := range append(slices.Clone(c.globalDisruptions), c.nodeDisruptions[node]...) {
		if disruption.overlaps(from, until, c.Bounds.StabilizationTime) {
			return false
		}
	}
	return true
}

// noUnplannedDisruption tells that nothing unplanned happened anywhere in a span.
func (c *Checker) noUnplannedDisruption(from, until time.Time) bool {
	for _, disruption := range c.unplannedDisruptions {
		if disruption.overlaps(from, until, c.Bounds.StabilizationTime) {
			return false
		}
	}
	return true
}
