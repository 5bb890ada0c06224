package quetzalroad

import (
	"context"
	"time"
)

// Admitter decides when a request may run.
type Admitter interface {
	// Admit waits until the request may run, or refuses it.
	Admit(ctx context.Context, r *Request) (Admission, error)
	// QueueLengths returns the number of waiting requests by tier.
	QueueLengths() [MaxTiers]int
	// Demand returns this node's demand, for peers.
	Demand() []ServiceDemand
	// UpdatePeer replaces the demand of a peer in the node's data centre.
	UpdatePeer(n NodeName, received time.Time, demand []ServiceDemand)
	// RemovePeer drops the demand of a peer.
	RemovePeer(n NodeName)
	// Headroom returns the free capacity in the node's data centre, for other data centres.
	Headroom(now time.Time) []ServiceHeadroom
}

// Spiller sends requests to another data centre if their own has no free capacity.
type Spiller interface {
	// UpdateDataCentre records the free capacity of another data centre and the round-trip time
	// to it.
	UpdateDataCentre(d DataCentre, measuredAt time.Time, roundTrip time.Duration, headroom []ServiceHeadroom)
	// Spill returns the upstreams of another data centre that can serve a request within its
	// target, and an admission to them; nil if there are none.
	Spill(now time.Time, r *Request) ([]Upstream, Admission)
}

// ServiceDemand is the demand for a service on one node.
type ServiceDemand struct {
	Service ServiceName
	// Requests counts the running and waiting requests by tier.
	Requests [MaxTiers]int
}

// Admission is the permission to run one request.
type Admission interface {
	// Preempted returns a channel that is closed when the request must stop in favour of
	// another. The holder then cancels its attempt and calls Resume.
	Preempted() <-chan struct{}
	// Resume releases the permission and waits for a new one; Preempted returns a new channel
	// afterwards.
	Resume(ctx context.Context) error
	// Release ends the permission. It reports the tokens used and must be called only once.
	Release(tokens int)
}

// Limiter enforces the limits of teams and services.
type Limiter interface {
	// Acquire returns a permit for a request, or refuses it.
	Acquire(now time.Time, r *Request) (Permit, error)
	// Demand returns the recent demand of teams on this node, for peers.
	Demand(now time.Time) []TeamDemand
	// UpdatePeer replaces the demand of a peer in the node's data centre.
	UpdatePeer(n NodeName, received time.Time, demand []TeamDemand)
	// UpdateDataCentre records the total demand in another data centre as of a time.
	UpdateDataCentre(d DataCentre, measuredAt time.Time, demand []TeamDemand)
	// RemovePeer drops the demand of a peer.
	RemovePeer(n NodeName)
}

// Permit allows one request under the limits.
type Permit interface {
	// Release returns the permit and replaces the estimate of the tokens by the number generated.
	Release(now time.Time, tokens int)
}

// TeamDemand is the demand of a team on one node.
type TeamDemand struct {
	Team TeamName
	// TokensPerSecond is the recent rate of requested tokens.
	TokensPerSecond float64
	// Running counts the requests that hold a permit.
	Running int
	// PeakConcurrency is the recent peak of permits requested at once.
	PeakConcurrency int
}

// RetryPolicy decides whether another attempt is allowed.
type RetryPolicy interface {
	// RecordFirstAttempt records a first attempt.
	RecordFirstAttempt(now time.Time, s ServiceName)
	// AllowRetry reports whether another attempt is allowed after the given number of attempts,
	// and after which backoff. An allowed retry counts against the service's budget, if any.
	AllowRetry(now time.Time, s ServiceName, attempt int) (time.Duration, bool)
	// HedgeDelay returns how long to wait for the first token before sending a second attempt;
	// zero for never.
	HedgeDelay(r *Request) time.Duration
	// AllowHedge reports whether the budget allows a second attempt now, and spends it if so.
	AllowHedge(now time.Time, s ServiceName) bool
}
