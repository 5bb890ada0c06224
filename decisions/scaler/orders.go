package scaler

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/decisions/scaler/planner"
)

// entry is an order that the platform isn't known to have accepted.
type entry struct {
	orderKey
	count, previous int
	reason          planner.Reason
	// load and needed are the load and the number of upstreams on which the decision is based.
	load   float64
	needed int
}

// isReduction reports whether the order gives up upstreams.
func (e entry) isReduction() bool { return e.count < e.previous }

// queue holds at most one order for each key. The zero value is empty.
type queue struct {
	entries []entry
}

// put adds an order, and replaces an earlier one of its key. What that would have replaced is still in force.
func (q *queue) put(e entry) {
	for _, earlier := range q.entries {
		if earlier.orderKey == e.orderKey {
			e.previous = earlier.previous
		}
	}
	q.remove(e.orderKey)
	q.entries = append(q.entries, e)
}

func (q *queue) remove(key orderKey) {
	q.entries = slices.DeleteFunc(q.entries, func(e entry) bool { return e.orderKey == key })
}

func (q *queue) contains(key orderKey) bool {
	return slices.ContainsFunc(q.entries, func(e entry) bool { return e.orderKey == key })
}

// groups lists those of a service that have an order.
func (q *queue) groups(s quetzalroad.ServiceName) map[planner.Group]bool {
	groups := make(map[planner.Group]bool)
	for _, e := range q.entries {
		if e.service == s {
			groups[e.Group] = true
		}
	}
	return groups
}

// next returns the order to send now: one that adds upstreams if there is any.
func (q *queue) next(reductionsPaused map[quetzalroad.ServiceName]bool) (entry, bool) {
	for _, e := range q.entries {
		if !e.isReduction() {
			return e, true
		}
	}
	for _, e := range q.entries {
		if !reductionsPaused[e.service] {
			return e, true
		}
	}
	return entry{}, false
}

// ordersInForce lists the orders in force, sorted by key.
func (t *term) ordersInForce() []quetzalroad.OrderInForce {
	var orders []quetzalroad.OrderInForce
	for service, state := range t.states {
		for g, group := range state.Groups {
			orders = append(orders, quetzalroad.OrderInForce{
				UpstreamOrder: quetzalroad.UpstreamOrder{Service: service, DataCentre: g.DataCentre, Spot: g.Spot, Count: group.Ordered},
				Confirmed:     !t.queue.contains(orderKey{service: service, Group: g}),
			})
		}
	}
	slices.SortFunc(orders, func(a, b quetzalroad.OrderInForce) int {
		bySpot := 0
		if a.Spot != b.Spot {
			bySpot = 1
			if b.Spot {
				bySpot = -1
			}
		}
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre), bySpot)
	})
	return orders
}

// canSend reports whether an order is due.
func (t *term) canSend(now time.Time) bool {
	_, ok := t.queue.next(t.reductionsPaused)
	return ok && !t.unsaved && !now.Before(t.sendAt)
}

// wakeAt returns when there is something to do next.
func (t *term) wakeAt() time.Time {
	if _, ok := t.queue.next(t.reductionsPaused); ok && !t.unsaved && t.sendAt.Before(t.planAt) {
		return t.sendAt
	}
	return t.planAt
}

// sendNext sends one order.
func (t *term) sendNext(ctx context.Context) {
	// canSend has reported that there is an order.
	e, _ := t.queue.next(t.reductionsPaused)
	err := t.send(ctx, e)
	now := time.Now()
	t.sendAt = now.Add(t.scaler.orderInterval)
	logger := t.scaler.logger.With("service", string(e.service), "data-centre", string(e.DataCentre), "spot", e.Spot,
		"count", e.count, "previous", e.previous, "reason", string(e.reason), "load", e.load, "needed", e.needed)
	switch {
	case err == nil:
		t.failed = 0
		t.accept(now, e)
		logger.Info("ordered upstreams")
	case errors.Is(err, quetzalroad.ErrLeaseEnded):
		// Nothing was sent. The lease may be renewed by the next decision.
		t.sendAt = t.planAt
	case errors.Is(err, quetzalroad.ErrUnavailable):
		t.failed = 0
		t.scaler.failures.Add("unavailable", 1)
		t.markUnavailable(now, e)
		logger.Warn("the platform has no such upstreams", "for", t.scaler.unavailableFor)
	default:
		if !errors.Is(err, quetzalroad.ErrNotSent) && !errors.Is(err, quetzalroad.ErrRejected) {
			t.lease.Unconfirmed()
		}
		t.scaler.failures.Add("failed", 1)
		t.sendAt = now.Add(t.nextBackoff())
		// Other orders may succeed in the meantime.
		t.queue.put(e)
		logger.Warn("order failed", "error", err, "failures", t.failed)
	}
}

func (t *term) send(ctx context.Context, e entry) error {
	timeout := t.scaler.callTimeout
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	fence := quetzalroad.Fence{Holder: t.scaler.node, Token: t.lease.Token()}
	order := quetzalroad.UpstreamOrder{Service: e.service, DataCentre: e.DataCentre, Count: e.count, Spot: e.Spot}
	return t.scaler.client.OrderUpstreams(ctx, fence, order, func() error { return t.lease.Check(timeout) })
}

func (t *term) accept(now time.Time, e entry) {
	t.queue.remove(e.orderKey)
	if state, ok := t.states[e.service]; ok {
		t.states[e.service] = state.MarkAccepted(e.Group, now)
	}
	t.accepted[e.orderKey] = e.count
	t.scaler.setOrdered(e.orderKey, e.count)
}

// markUnavailable returns to the last accepted order and has the planner look for other upstreams.
func (t *term) markUnavailable(now time.Time, e entry) {
	t.queue.remove(e.orderKey)
	count, ok := t.accepted[e.orderKey]
	if !ok {
		count = min(e.previous, e.count)
	}
	if state, ok := t.states[e.service]; ok {
		t.states[e.service] = state.MarkUnavailable(e.Group, count, now.Add(t.scaler.unavailableFor))
	}
}

// nextBackoff returns the wait after a failure, which grows with the number of consecutive ones.
func (t *term) nextBackoff() time.Duration {
	wait := min(t.scaler.backoff<<min(t.failed, 16), t.scaler.maxBackoff)
	t.failed++
	return wait/2 + rand.N(wait/2+1)
}
