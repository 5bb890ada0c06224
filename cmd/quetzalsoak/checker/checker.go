// Package checker checks the guarantees of the users' platform against what
// callers sent and received and what reached the upstream servers.
package checker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/requester"
)

// Class is a class of requests, one for each route.
type Class struct {
	Name string
	// Retryable requests may be executed more than once.
	Retryable bool
	// Timeout is the route's timeout.
	Timeout time.Duration
}

// Bounds are the limits that the users' platform documents.
type Bounds struct {
	// DrainDelay is how long after the acknowledgement of its drain a server may still receive requests.
	DrainDelay time.Duration
	// ApplyDelay is how long after its acknowledgement a configuration version may take to be in force.
	ApplyDelay time.Duration
	// RevocationDelay is how long a revoked key may still work.
	RevocationDelay time.Duration
	// StabilizationTime is how long a node must have run since the last disruption for the bounds to apply.
	StabilizationTime time.Duration
	// TimeoutMargin is how long after the route's timeout a response may arrive.
	TimeoutMargin time.Duration
	// ShutdownGrace is how long a planned stop may take.
	ShutdownGrace time.Duration
	// ShutdownRace is how long after sending an unexecuted request may still lose its connection to a planned stop.
	ShutdownRace time.Duration
	// The retries at a service within RetryBudgetWindow are limited to RetryBudgetShare of
	// its first attempts plus RetryBudgetBase.
	RetryBudgetShare  float64
	RetryBudgetBase   int
	RetryBudgetWindow time.Duration
}

// Exchange is a request with its response.
type Exchange struct {
	requester.Request
	requester.Response
	Class Class
	// Node is the index of the node that the request was sent to.
	Node int
	// Team is the name of the team that owns the key, or empty.
	Team string
	// KeyRevokedAt is when the key was revoked; zero if it was not.
	KeyRevokedAt time.Time
}

// Arrival is a request that reached an upstream server.
type Arrival struct {
	RequestID string
	// Server is the server's id, and Service the service that it runs.
	Server     string
	Service    string
	ReceivedAt time.Time
	Executed   bool
	// LeavingSince is when the server began to state in its responses that it leaves; zero unless it does.
	LeavingSince time.Time
	// RetryAfter is how long the server asked the node to send it nothing when it rejected the request.
	RetryAfter time.Duration
	// Deadly reports whether the request crashes servers.
	Deadly bool
	// DrainingSince is when the store acknowledged the server's drain; zero unless the server is draining.
	DrainingSince time.Time
	// Team is the team name that the router set, and HasKey reports whether
	// the caller's key was forwarded.
	Team        string
	HasKey      bool
	RequestLine string
	Body        string
	// Version is that of the server's software, and ResumeAfter the id of the event after which the request resumes a
	// stream; zero if it begins one.
	Version     string
	ResumeAfter int
}

// Violation is a violated guarantee.
type Violation struct {
	Rule      string
	RequestID string
	Detail    string
}

// String describes a violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", v.Rule, v.RequestID, v.Detail)
}

// interval is the time of a disruption.
type interval struct{ from, until time.Time }

// Checker records the events of a run. The zero value is ready for use.
type Checker struct {
	Bounds Bounds

	mu sync.Mutex
	// The fields below are guarded by mu. nodeDisruptions and plannedStops are keyed by node index, globalDisruptions
	// affect all nodes, and unplannedDisruptions repeats those of both kinds that were not planned.
	exchanges            map[string]Exchange
	arrivals             []Arrival
	nodeDisruptions      map[int][]interval
	globalDisruptions    []interval
	unplannedDisruptions []interval
	plannedStops         map[int][]time.Time
	serviceChanges       []ServiceChange
	// storeDisruptions repeats those of globalDisruptions that affected the store.
	storeDisruptions []interval
	// linkDisruptions holds those of the links to each server.
	linkDisruptions map[string][]interval
	// deadlyCrashes holds the times at which servers crashed under deadly requests.
	deadlyCrashes []time.Time
	// kills holds the kills of nodes whose streams other nodes are expected to go on with.
	kills      []kill
	violations []Violation
}

// ServiceChange is a configuration version that routes a class to another service.
type ServiceChange struct {
	Class          string
	From, To       string
	AcknowledgedAt time.Time
}

// RecordExchange records a request and its response.
func (c *Checker) RecordExchange(e Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchanges == nil {
		c.exchanges = make(map[string]Exchange)
	}
	c.exchanges[e.ID] = e
}

// RecordArrival records a request that reached a server.
func (c *Checker) RecordArrival(a Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, a)
}

// RecordDisruption records that a fault affected a node in an interval; a negative node means all nodes.
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

// RecordStop records that a node was asked to stop.
func (c *Checker) RecordStop(node int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.plannedStops == nil {
		c.plannedStops = make(map[int][]time.Time)
	}
	c.plannedStops[node] = append(c.plannedStops[node], at)
}

// RecordKill records that nodes were killed, of whose streams callers are expected to get the rest from others.
func (c *Checker) RecordKill(nodes []int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kills = append(c.kills, kill{nodes: nodes, at: at})
}

// RecordServiceChange records that a class was routed to another service.
func (c *Checker) RecordServiceChange(change ServiceChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serviceChanges = append(c.serviceChanges, change)
}

// RecordStoreDisruption records that a fault affected the store, and so all nodes, in an interval.
func (c *Checker) RecordStoreDisruption(from, until time.Time) {
	c.RecordDisruption(allNodes, from, until, false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeDisruptions = append(c.storeDisruptions, interval{from, until})
}

// RecordLinkDisruption records that a fault affected the links of all nodes to a server in an interval.
func (c *Checker) RecordLinkDisruption(server string, from, until time.Time) {
	c.RecordDisruption(allNodes, from, until, false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.linkDisruptions == nil {
		c.linkDisruptions = make(map[string][]interval)
	}
	c.linkDisruptions[server] = append(c.linkDisruptions[server], interval{from, until})
}

// allNodes is the node index that stands for all nodes in RecordDisruption.
const allNodes = -1

// RecordDeadlyCrash records that a server crashed under a deadly request, and was away until a time.
func (c *Checker) RecordDeadlyCrash(at, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadlyCrashes = append(c.deadlyCrashes, at)
	c.unplannedDisruptions = append(c.unplannedDisruptions, interval{at, until})
}

// RecordViolation records a violation that was detected elsewhere.
func (c *Checker) RecordViolation(v Violation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, v)
}

// Exchanges returns the recorded exchanges in the order in which they were sent.
func (c *Checker) Exchanges() []Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	var exchanges []Exchange
	for _, e := range c.exchanges {
		exchanges = append(exchanges, e)
	}
	slices.SortFunc(exchanges, func(a, b Exchange) int { return a.Response.SentAt.Compare(b.Response.SentAt) })
	return exchanges
}

// overlaps reports whether i, with the stabilization time after it, overlaps the time between from and until.
func (i interval) overlaps(from, until time.Time, stabilization time.Duration) bool {
	return i.from.Before(until) && i.until.Add(stabilization).After(from)
}

// nodeStable reports whether no disruption of a node or of all, with its stabilization time, overlaps an interval.
func (c *Checker) nodeStable(node int, from, until time.Time) bool {
	for _, disruption := range append(slices.Clone(c.globalDisruptions), c.nodeDisruptions[node]...) {
		if disruption.overlaps(from, until, c.Bounds.StabilizationTime) {
			return false
		}
	}
	return true
}

// noUnplannedDisruption reports whether no unplanned disruption, with its stabilization time, overlaps an interval.
func (c *Checker) noUnplannedDisruption(from, until time.Time) bool {
	for _, disruption := range c.unplannedDisruptions {
		if disruption.overlaps(from, until, c.Bounds.StabilizationTime) {
			return false
		}
	}
	return true
}
