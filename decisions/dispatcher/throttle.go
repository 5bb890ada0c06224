package dispatcher

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// acquireUpstream chooses among candidates, of which there is at least one, and takes a part of the rate
// that the chosen one states, if it states one.
func (d *Dispatcher) acquireUpstream(now time.Time, r *quetzalroad.Request, candidates []quetzalroad.Upstream) (quetzalroad.Upstream, *quetzalroad.Refusal) {
	throttler := d.node.Throttler
	u := d.node.Balancer.Choose(now, r, candidates)
	if throttler.Acquire(now, r.Service.Name, r.Profile.Tier, u.Name) {
		return u, nil
	}
	if usable := d.withoutExhausted(now, candidates); len(usable) > 0 {
		u = d.node.Balancer.Choose(now, r, usable)
		if throttler.Acquire(now, r.Service.Name, r.Profile.Tier, u.Name) {
			return u, nil
		}
	}
	retryAfter := throttler.RetryAfter(now, r.Service.Name, r.Profile.Tier, candidates)
	return quetzalroad.Upstream{}, quetzalroad.NewRefusal(quetzalroad.ReasonUpstreamRateLimit, "all upstreams of the service get as many requests as they take", retryAfter)
}

// withoutExhausted returns the candidates to which a request may be sent now.
func (d *Dispatcher) withoutExhausted(now time.Time, candidates []quetzalroad.Upstream) []quetzalroad.Upstream {
	var usable []quetzalroad.Upstream
	for _, u := range candidates {
		if d.node.Throttler.State(now, u.Name) != quetzalroad.ThrottleExhausted {
			usable = append(usable, u)
		}
	}
	return usable
}

// recordRateLimit records what a response stated; nil if there was none, or no clear statement.
func (r *forwardRun) recordRateLimit(u quetzalroad.Upstream, l *quetzalroad.RateLimit) {
	r.rateLimit = l
	if l != nil {
		r.dispatcher.node.Throttler.UpdateLimit(time.Now(), u.Name, *l)
	}
}

// recordAvailability records that an upstream states that it leaves, or wants nothing from this node for a
// time.
func (r *forwardRun) recordAvailability(u quetzalroad.Upstream, leaving bool, retryAfter time.Duration) {
	n := r.dispatcher.node
	if leaving && n.DrainMarker != nil {
		n.DrainMarker.MarkDraining(u.Name)
	}
	n.Throttler.Pause(time.Now(), u.Name, retryAfter)
}
