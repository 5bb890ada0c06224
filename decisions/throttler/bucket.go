package throttler

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// bucket is a token bucket. Each request takes a token.
type bucket struct {
	// tokens is between zero and capacity. Tokens come at rate, in tokens a second.
	tokens, capacity, rate float64
	refilledAt             time.Time
}

// share is a node's part of an upstream's limit.
type share struct {
	// rate is in requests a second, and capacity the number of requests that may be sent at once.
	rate, capacity float64
}

// setShare changes the rate. A new bucket starts with a part of one token that is random, so that nodes
// that learn of a limit at once do not send their next requests at once.
func (b *bucket) setShare(now time.Time, s share, firstTokens float64) {
	if b.refilledAt.IsZero() {
		b.tokens, b.refilledAt = firstTokens, now
	}
	b.refill(now)
	b.rate, b.capacity = s.rate, s.capacity
	b.tokens = min(b.tokens, b.capacity)
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.capacity, b.tokens+b.rate*elapsed.Seconds())
		b.refilledAt = now
	}
}

// spareFraction is how full a bucket is, above one token, when tokens are about to be lost.
const spareFraction = 0.8

func (b *bucket) state() quetzalroad.ThrottleState {
	switch {
	case b.tokens < 1:
		return quetzalroad.ThrottleExhausted
	case b.tokens >= 1+spareFraction*(b.capacity-1):
		return quetzalroad.ThrottleSpare
	}
	return quetzalroad.ThrottleOpen
}

// untilToken returns how long it takes until there is a token.
func (b *bucket) untilToken() time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	seconds := (1 - b.tokens) / b.rate
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

const (
	// restShare is the part of a limit that nodes share that are not among the upstream's owners.
	restShare = 0.1
	// burstTime and burstRequests are how much of a limit all owners together may save up.
	burstTime     = 2 * time.Second
	burstRequests = 4
)

// shareOf returns this node's share of an upstream's limit.
func (t *Throttler) shareOf(u quetzalroad.UpstreamName, l quetzalroad.RateLimit, nodes []quetzalroad.NodeName) share {
	rate := max(l.PerSecond, t.minRate)
	owners := int(math.Ceil(min(rate/t.minOwnerRate, float64(len(nodes)))))
	if owners < len(nodes) && !isOwner(t.node.Name, u, nodes, owners) {
		return share{rate: restShare * rate / float64(len(nodes)-owners), capacity: 1}
	}
	if owners < len(nodes) {
		rate *= 1 - restShare
	}
	perOwner := rate / float64(owners)
	return share{rate: perOwner, capacity: max(1, (rate*burstTime.Seconds()+burstRequests)/float64(owners))}
}

// isOwner reports whether a node is among the owners of an upstream.
func isOwner(self quetzalroad.NodeName, u quetzalroad.UpstreamName, nodes []quetzalroad.NodeName, owners int) bool {
	own := ownerRank(self, u)
	ahead := 0
	for _, n := range nodes {
		if ownerRank(n, u) > own {
			ahead++
		}
	}
	return ahead < owners && slices.Contains(nodes, self)
}

func ownerRank(n quetzalroad.NodeName, u quetzalroad.UpstreamName) uint64 {
	return xxhash.Sum64String(string(n) + "\x00" + string(u))
}
