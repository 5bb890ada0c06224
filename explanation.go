package quetzalroad

import "time"

// CostPart names one reason for or against an upstream.
type CostPart string

// The cost parts. Balancers use those that apply to them.
const (
	CostLoad           CostPart = "load"
	CostSlowness       CostPart = "slowness"
	CostFullness       CostPart = "fullness"
	CostRegion         CostPart = "region"
	CostPool           CostPart = "pool"
	CostUncachedPrompt CostPart = "uncached-prompt"
	CostRateLimitShare CostPart = "rate-limit-share"
	CostRateLimit      CostPart = "rate-limit"
	CostSuspect        CostPart = "suspect"
	CostOverload       CostPart = "overload"
)

// CostItem is the amount by which one reason raises or lowers the cost of an upstream.
type CostItem struct {
	Part  CostPart
	Value float64
}

// UpstreamPool is the pool that an upstream belongs to in a balancer's view; empty if there are no pools.
type UpstreamPool string

// The pools.
const (
	PoolShort   UpstreamPool = "short"
	PoolLong    UpstreamPool = "long"
	PoolLimited UpstreamPool = "rate-limited"
	// PoolReserved holds the upstreams that preemptible work does not use.
	PoolReserved UpstreamPool = "reserved"
)

// CandidateCost is what counts for and against one candidate.
type CandidateCost struct {
	Upstream Upstream
	Pool     UpstreamPool
	// IsPrefixOwner reports whether the upstream is to cache the prompt's prefix.
	IsPrefixOwner bool
	// Items add up to the lowest cost. Spread is the largest random amount that is added to it.
	Items  []CostItem
	Spread float64
	// CanBeChosen is false only if no draw chooses the upstream.
	CanBeChosen bool
	// Chance is the share of the trial draws that chose the upstream.
	Chance float64
}

// LowestCost returns the cost without the random amount.
func (c CandidateCost) LowestCost() float64 {
	sum := 0.0
	for _, i := range c.Items {
		sum += i.Value
	}
	return sum
}

// HighestCost returns the cost with the largest random amount.
func (c CandidateCost) HighestCost() float64 {
	return c.LowestCost() + c.Spread
}

// CostUnit is the unit of a balancer's costs for one request.
type CostUnit string

// The units. CostUnitNone is that of a choice that compares no costs.
const (
	CostUnitNone         CostUnit = ""
	CostUnitLoad         CostUnit = "load"
	CostUnitPromptTokens CostUnit = "prompt-tokens"
)

// ChoiceExplanation is how a balancer would choose among candidates.
type ChoiceExplanation struct {
	// Unit is that of the costs.
	Unit CostUnit
	// Candidates are in the order in which they were passed.
	Candidates []CandidateCost
	// Draws is the number of trial draws; one if the choice is not random.
	Draws int
}

// ChoiceExplainer is implemented by balancers that explain their choices.
type ChoiceExplainer interface {
	// ExplainChoice explains how Choose would choose among candidates, of which there is at least one. It
	// changes nothing that a later choice depends on.
	ExplainChoice(now time.Time, r *Request, candidates []Upstream) ChoiceExplanation
}

// ExclusionReason is why an upstream of a service is no candidate.
type ExclusionReason string

// The reasons.
const (
	ExcludedDraining ExclusionReason = "draining"
	ExcludedLeaving  ExclusionReason = "leaving"
	ExcludedSuspect  ExclusionReason = "suspect"
	// ExcludedDistant means that nearer upstreams are usable.
	ExcludedDistant ExclusionReason = "distant"
)

// UpstreamExplanation is what a node knows about one upstream of a request's service.
type UpstreamExplanation struct {
	CandidateCost
	// Excluded is why the upstream is no candidate; empty for a candidate.
	Excluded ExclusionReason
	// Throttle is the state under the rate limit that the upstream states.
	Throttle ThrottleState
	Load     LoadEstimate
}

// RouteExplanation is where a request would go now.
type RouteExplanation struct {
	Service ServiceName
	// Share is the share of the requests that go to this service, of a route that splits them.
	Share float64
	// Chosen is the upstream that the most trial draws chose; empty if none can get the request.
	Chosen UpstreamName
	// Unit and Draws are those of the ChoiceExplanation.
	Unit  CostUnit
	Draws int
	// Explained reports whether the node's balancer explains its choices. If not, there are no costs and
	// chances.
	Explained bool
	Upstreams []UpstreamExplanation
	// StateVersion, StateAge and StateIsFresh describe the published state; zero if the node doesn't know
	// its age.
	StateVersion int64
	StateAge     time.Duration
	StateIsFresh bool
	// AppliedOffset is the offset of the state that the node has applied.
	AppliedOffset Offset
}

// RouteExplainer explains where a request would go.
type RouteExplainer interface {
	// ExplainRoute explains where the first attempt of an admitted request would go. It sends nothing, takes
	// no permit and no part of a rate limit, and records no attempt.
	ExplainRoute(now time.Time, r *Request) RouteExplanation
}
