package separator

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// minPooled is the least number of engines that can be divided into pools.
const minPooled = 2

func (s *Separator) hasLimits() bool {
	return s.throttler != nil && s.throttler.HasLimits()
}

func (s *Separator) throttleState(now time.Time, u quetzalroad.UpstreamName) quetzalroad.ThrottleState {
	if s.throttler == nil {
		return quetzalroad.ThrottleNone
	}
	return s.throttler.State(now, u)
}

// splitLimited separates the engines that state a rate limit from the others, which are divided into
// pools: a pool of engines that take little work would leave its requests to few others.
func (s *Separator) splitLimited(now time.Time, candidates []quetzalroad.Upstream) (unlimited, limited []quetzalroad.Upstream) {
	for _, u := range candidates {
		if s.throttleState(now, u.Name) == quetzalroad.ThrottleNone {
			unlimited = append(unlimited, u)
		} else {
			limited = append(limited, u)
		}
	}
	if len(unlimited) < minPooled {
		return candidates, nil
	}
	return unlimited, limited
}

// limitedShare returns the share of the engines that state a rate limit.
func (c *chooser) limitedShare(groups *engineGroups) float64 {
	engines := len(c.limited)
	for _, g := range groups.all() {
		engines += len(g.members)
	}
	return float64(len(c.limited)) / float64(engines)
}

// limitedCost returns the cost of an engine that states a rate limit. The more engines do, the less it
// matters that this one has to prefill a prefix again: the owners of the prefixes have to serve the rest.
// It does not matter if this node's share of the limit would be lost otherwise.
func (c *chooser) limitedCost(u quetzalroad.Upstream, limitedShare float64) float64 {
	if !c.isLong() {
		return c.loadCost(u, false)
	}
	if c.separator.throttleState(c.now, u.Name) == quetzalroad.ThrottleSpare {
		limitedShare = 1
	}
	shared := float64(c.request.SharedPromptTokens)
	return c.longPromptCost(u, true) + c.part(quetzalroad.CostRateLimitShare, -limitedShare*shared)
}

// maySend reports whether the request may be sent under the rate limit that an upstream states, if it
// states one. A limit counts requests of all sizes alike, so that it is left to the long prompts, which
// would cost other engines most, except for what these don't use.
func (c *chooser) maySend(u quetzalroad.UpstreamName) bool {
	switch c.separator.throttleState(c.now, u) {
	case quetzalroad.ThrottleExhausted:
		return false
	case quetzalroad.ThrottleOpen:
		return c.isLong() || c.request.Model == ""
	case quetzalroad.ThrottleNone, quetzalroad.ThrottleSpare:
	}
	return true
}

// unusableCost returns the cost of an upstream that should not or must not get a request now.
func (c *chooser) unusableCost(u quetzalroad.UpstreamName, e quetzalroad.LoadEstimate) float64 {
	switch {
	case !c.maySend(u):
		return c.part(quetzalroad.CostRateLimit, exhaustedCost)
	case e.Suspect:
		return c.part(quetzalroad.CostSuspect, suspectCost)
	}
	return 0
}
