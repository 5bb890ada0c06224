package throttler

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// maxRetryAfter is the longest time after which a refused request is asked to come back.
const maxRetryAfter = 10 * time.Second

// refusals remembers the requests that were refused for want of a part of a limit. The zero value is
// empty.
type refusals struct {
	mu sync.Mutex
	// services is guarded by mu and allocated on first use.
	services map[quetzalroad.ServiceName]*serviceRefusals
}

// serviceRefusals are the refusals of one service.
type serviceRefusals struct {
	// last is when a request of each tier was last refused.
	last [quetzalroad.MaxTiers]time.Time
	// promisedUntil is the time until which the tokens to come are promised to refused requests.
	promisedUntil time.Time
}

func (r *refusals) of(s quetzalroad.ServiceName) *serviceRefusals {
	if r.services == nil {
		r.services = make(map[quetzalroad.ServiceName]*serviceRefusals)
	}
	if r.services[s] == nil {
		r.services[s] = new(serviceRefusals)
	}
	return r.services[s]
}

// hasMoreUrgent reports whether a request of a more urgent tier was refused within a time.
func (r *refusals) hasMoreUrgent(now time.Time, s quetzalroad.ServiceName, t quetzalroad.Tier, within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	service := r.services[s]
	if service == nil {
		return false
	}
	for tier := range min(t, quetzalroad.MaxTiers) {
		if at := service.last[tier]; !at.IsZero() && now.Sub(at) < within {
			return true
		}
	}
	return false
}

// reserve records a refusal and returns the time until a token that is promised to no earlier refused
// request. soonest is the time until the next token, and rate that of all tokens, in tokens a second.
func (r *refusals) reserve(now time.Time, s quetzalroad.ServiceName, t quetzalroad.Tier, soonest time.Duration, rate float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	service := r.of(s)
	service.last[max(0, min(t, quetzalroad.MaxTiers-1))] = now
	if rate <= 0 {
		return maxRetryAfter
	}
	interval := time.Duration(min(1/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	from := now.Add(soonest)
	if service.promisedUntil.After(from) {
		from = service.promisedUntil
	}
	// A part of the interval is random, so that requests don't come back at once.
	at := from.Add(rand.N(interval + 1))
	service.promisedUntil = from.Add(interval)
	if latest := now.Add(maxRetryAfter); service.promisedUntil.After(latest) {
		service.promisedUntil = latest
	}
	return min(at.Sub(now), maxRetryAfter)
}
