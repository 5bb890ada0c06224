package quetzalroad

import (
	"time"
)

// LoadTracker estimates the load of upstreams.
type LoadTracker interface {
	// BeginAttempt records that an attempt was sent.
	BeginAttempt(u UpstreamName, now time.Time)
	// ObserveFirstToken records the time from sending to the first token.
	ObserveFirstToken(u UpstreamName, now time.Time, latency time.Duration)
	// ObserveInterToken records the time between two tokens.
	ObserveInterToken(u UpstreamName, now time.Time, latency time.Duration)
	// EndAttempt records that an attempt ended; failed reports whether the upstream caused a
	// failure.
	EndAttempt(u UpstreamName, now time.Time, failed bool)
	// UpdateReport records a load report of the upstream.
	UpdateReport(u UpstreamName, received time.Time, r LoadReport)
	// UpdatePeer replaces the load that a peer reported for itself.
	UpdatePeer(n NodeName, received time.Time, loads []UpstreamLoad)
	// RemovePeer drops the load that a peer reported.
	RemovePeer(n NodeName)
	// SetLeaving records whether the VM list shows an upstream as leaving.
	SetLeaving(u UpstreamName, leaving bool)
	// Estimate returns the estimated load of an upstream.
	Estimate(u UpstreamName, now time.Time) LoadEstimate
	// LocalLoads lists the node's own load, for peers.
	LocalLoads(now time.Time) []UpstreamLoad
	// LocalObservations lists what this node recently saw of upstreams, for peers.
	LocalObservations(now time.Time) []UpstreamObservation
	// UpdatePeerObservations records what peers saw of upstreams.
	UpdatePeerObservations(received time.Time, observations []UpstreamObservation)
	// PolledReports lists the reports that this node polled itself and received after a time,
	// for peers.
	PolledReports(after time.Time) []UpstreamReport
}

// Balancer chooses the upstream of a request.
type Balancer interface {
	// Choose picks one of the candidates, of which there is at least one.
	Choose(now time.Time, r *Request, candidates []Upstream) Upstream
}

// Capacity is the capacity of a service as one node estimates it.
type Capacity struct {
	// MaxConcurrency is the number of requests that the service's usable upstreams run at once.
	MaxConcurrency int
	// Unattributed estimates the running requests that were sent neither by this node nor by a
	// peer of its data centre.
	Unattributed int
}

// CapacityEstimator estimates the capacity of services.
type CapacityEstimator interface {
	Capacity(now time.Time, s ServiceName) Capacity
	// Candidates lists the upstreams that may get new work for a service, without those in
	// exclude. It may leave out distant ones while nearer ones are usable. The slice is shared
	// and must not be modified.
	Candidates(now time.Time, s ServiceName, exclude []UpstreamName) []Upstream
}

// LengthEstimator predicts how many tokens requests generate.
type LengthEstimator interface {
	// Observe records the length of a complete response.
	Observe(r *Request, tokens int)
	// Remaining predicts how many more tokens a request generates that has generated some
	// already.
	Remaining(r *Request, generated int) int
}
