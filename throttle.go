package quetzalroad

import "time"

// UpstreamLimit is what nodes were last told of an upstream's rate limit.
type UpstreamLimit struct {
	Upstream UpstreamName
	Limit    RateLimit
	// Age is the time since an upstream's response told it.
	Age time.Duration
}

// ThrottleState is whether a request may be sent to an upstream now.
type ThrottleState int

// The states of an upstream.
const (
	// ThrottleNone means that the upstream states no limit.
	ThrottleNone ThrottleState = iota
	// ThrottleOpen means that this node may send a request under the upstream's limit, and ThrottleSpare
	// that its share is lost if it sends none.
	ThrottleOpen
	ThrottleSpare
	// ThrottleExhausted means that it must not, because the limit is used up or the upstream asked for a
	// pause.
	ThrottleExhausted
)

// Throttler keeps the requests of all nodes to an upstream within the rate that it states. Each node
// takes its share of the rate by itself.
type Throttler interface {
	// UpdateLimit records the limit that a response of an upstream states.
	UpdateLimit(now time.Time, u UpstreamName, l RateLimit)
	// Pause records that an upstream asks this node to send it nothing for a time.
	Pause(now time.Time, u UpstreamName, d time.Duration)
	// HasLimits reports whether any upstream states a limit, or asked for a pause.
	HasLimits() bool
	// State returns the state of an upstream.
	State(now time.Time, u UpstreamName) ThrottleState
	// Acquire takes the right to send one request of a tier to an upstream, or returns false.
	Acquire(now time.Time, s ServiceName, t Tier, u UpstreamName) bool
	// RetryAfter records that a request was refused because all upstreams of its service are exhausted,
	// and returns the time after which it may be sent.
	RetryAfter(now time.Time, s ServiceName, t Tier, candidates []Upstream) time.Duration
	// LocalLimits lists what this node was told lately, for peers, and UpdatePeerLimits records what
	// others were told.
	LocalLimits(now time.Time) []UpstreamLimit
	UpdatePeerLimits(now time.Time, limits []UpstreamLimit)
}
