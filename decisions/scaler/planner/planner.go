// Package planner decides how many upstreams of a service to order in each data centre. It is a pure function of
// the load, the registered upstreams, the orders in force and the time.
//
// Capacity is kept for bursts of the load and for the loss of upstreams. Most of it is spot upstreams, which are
// cheap and may be reclaimed; a smaller base of others remains when they are. Capacity grows at once and shrinks
// in steps, as upstreams that go lose their prompt caches.
package planner

import (
	"maps"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// Policy holds the parameters of the decisions.
type Policy struct {
	// TargetOccupancy is the highest share of the slots in use at which requests meet their targets.
	TargetOccupancy float64
	// Burst is the load that the upstreams can take within their targets, relative to the recent load.
	Burst float64
	// PeakReserve is the load that they can take relative to the highest single sample.
	PeakReserve float64
	// LossShare is the share of the upstreams that may be lost at once.
	LossShare float64
	// BaseShare is the share of the load that upstreams other than spot ones can take.
	BaseShare float64
	// RaiseBand is the share by which the upstreams fall short of the need before more are ordered. DeadBand is the
	// share by which they exceed it before some are given up, and by which the base falls short of its need.
	RaiseBand, DeadBand float64
	// StepShare bounds the share of the upstreams that is given up at a time, and StepInterval the time between.
	StepShare    float64
	StepInterval time.Duration
	// PeakHold is how long the highest load counts.
	PeakHold time.Duration
	// SettleTime is how long all upstreams are kept after a start, a restore or a take-over.
	SettleTime time.Duration
	// BootMargin is added to the boot time before a missing upstream is ordered again.
	BootMargin time.Duration
	// LateShare is the share of requests that are late or refused above which capacity is short.
	LateShare float64
}

// Group is the upstreams of a service that are ordered and counted together.
type Group struct {
	DataCentre quetzalroad.DataCentre
	Spot       bool
}

// Demand is the recent demand for a service over all nodes.
type Demand struct {
	// Running counts the requests in flight and waiting.
	Running float64
	// Requests, Late and Refused are rates a second.
	Requests, Late, Refused float64
}

// Input is what a decision is based on.
type Input struct {
	Now     time.Time
	Scaling quetzalroad.Scaling
	// Upstreams are the registered ones of the service.
	Upstreams []quetzalroad.Upstream
	// Demand is nil if no recent one is known.
	Demand *Demand
	// Pending are the groups whose last order the platform isn't known to have accepted.
	Pending map[Group]bool
}

// GroupState is the order in force for a group.
type GroupState struct {
	Ordered int
	// OrderedAt is when the order was last made, repeated or accepted.
	OrderedAt time.Time
	// Repeats counts the repetitions without success.
	Repeats int
	// ExcessSince is since when more upstreams are present than ordered; zero if there aren't.
	ExcessSince time.Time
	// UnavailableUntil is when upstreams of the group may be available again.
	UnavailableUntil time.Time
}

// State is what the planner remembers about a service between decisions.
type State struct {
	// Since is when the observation of the service began, or began again.
	Since time.Time
	// Known reports whether the orders in force are known.
	Known  bool
	Groups map[Group]GroupState
	load   loadHistory
	// slots is the mean number of slots of an upstream; zero before the first was seen.
	slots float64
	// pressedAt is when requests were last late or refused, and boost the additional share of capacity for that.
	pressedAt time.Time
	boost     float64
	boostedAt time.Time
	reducedAt time.Time
}

// NewState returns the state of a service whose observation begins. Orders are those known to be in force; nil if
// unknown.
func NewState(now time.Time, orders map[Group]int) State {
	s := State{Since: now, Known: orders != nil, Groups: make(map[Group]GroupState)}
	for g, count := range orders {
		s.Groups[g] = GroupState{Ordered: count, OrderedAt: now}
	}
	return s
}

// IsLate reports whether too many of the recent requests were late or refused for upstreams to be given up.
func (s State) IsLate(p Policy) bool { return s.load.isLate(p.LateShare) }

// Resettle returns the state after an event that makes the observed upstreams doubtful, such as a restored log.
func (s State) Resettle(now time.Time) State {
	s.Since = now
	return s
}

// MarkAccepted returns the state after the platform accepted the order in force for a group.
func (s State) MarkAccepted(g Group, now time.Time) State {
	s.Groups = maps.Clone(s.Groups)
	group := s.Groups[g]
	group.OrderedAt = now
	s.Groups[g] = group
	return s
}

// MarkUnavailable returns the state after the platform had no upstreams of a group. The count is that of the last
// order that it accepted.
func (s State) MarkUnavailable(g Group, count int, until time.Time) State {
	s.Groups = maps.Clone(s.Groups)
	group := s.Groups[g]
	group.Ordered, group.UnavailableUntil = count, until
	s.Groups[g] = group
	return s
}

// Reason is why an order is made.
type Reason string

// The reasons of orders.
const (
	ReasonLoad        Reason = "capacity for the load"
	ReasonBase        Reason = "base of upstreams that are not reclaimed"
	ReasonReplacement Reason = "spot upstreams to replace others"
	ReasonMinimum     Reason = "minimum of the data centre"
	ReasonMissing     Reason = "ordered upstreams are missing"
	ReasonTakeOver    Reason = "order of the previous holder without a known outcome"
	ReasonReplaced    Reason = "replaced by spot upstreams"
	ReasonSurplus     Reason = "more capacity than needed"
)

// Order sets the number of upstreams of a group.
type Order struct {
	Group
	Count int
	// Previous is the count of the order that it replaces.
	Previous int
	Reason   Reason
}

// Needs are the numbers of upstreams of a service that the policy calls for.
type Needs struct {
	// Load is the number of running requests on which the needs are based.
	Load float64
	// Total is for all upstreams, and Base for those other than spot ones.
	Total, Base int
	// Surviving is the least that remains if a data centre loses its spot upstreams.
	Surviving int
}

// Decision is the result of a plan.
type Decision struct {
	Needs Needs
	// Orders are to be sent in this order. Those that add upstreams come first.
	Orders []Order
}
