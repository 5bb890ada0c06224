package scaler

import (
	"context"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/ordermapper"
	"github.com/quetzalroad/quetzalroad/decisions/scaler/planner"
)

// orderKey identifies the order for a group of upstreams of a service. At most one is in force for each key.
type orderKey struct {
	service quetzalroad.ServiceName
	planner.Group
}

// term is the work of the duty while this node holds the lease once. Only one goroutine uses it.
type term struct {
	scaler *Scaler
	lease  quetzalroad.Lease
	states map[quetzalroad.ServiceName]planner.State
	// saved are the orders of the previous holder; nil if there are none.
	saved map[quetzalroad.ServiceName]map[planner.Group]int
	// accepted are the counts that the platform is known to have accepted.
	accepted map[orderKey]int
	queue    queue
	// unsaved is set while orders in force aren't in the lease.
	unsaved bool
	demand  demandTracker
	epoch   quetzalroad.Epoch
	// reductionsPaused is set for services of which no upstreams may be given up at the moment.
	reductionsPaused map[quetzalroad.ServiceName]bool
	// planAt and sendAt are when the next decision and the next order are due.
	planAt, sendAt time.Time
	// failed counts the consecutive orders that failed.
	failed int
}

func newTerm(s *Scaler, l quetzalroad.Lease, now time.Time) *term {
	t := &term{
		scaler: s, lease: l,
		states:           make(map[quetzalroad.ServiceName]planner.State),
		saved:            make(map[quetzalroad.ServiceName]map[planner.Group]int),
		accepted:         make(map[orderKey]int),
		reductionsPaused: make(map[quetzalroad.ServiceName]bool),
		planAt:           now, sendAt: now,
	}
	if s.epochs != nil {
		t.epoch = s.epochs.Epoch()
	}
	t.load()
	return t
}

// load continues from the orders of the previous holder. Those that may not have reached the platform are sent
// again, except those that give up upstreams, as the load may have changed since.
func (t *term) load() {
	data := t.lease.State(dutyName)
	if data == nil {
		return
	}
	orders, err := ordermapper.Decode(data)
	if err != nil {
		t.scaler.logger.Error("can't decode the orders in force; keeping the present upstreams", "error", err)
		return
	}
	for _, o := range orders {
		t.continueOrder(o)
	}
	t.unsaved = !t.lease.LostBefore().IsZero()
}

func (t *term) continueOrder(o quetzalroad.OrderInForce) {
	g := planner.Group{DataCentre: o.DataCentre, Spot: o.Spot}
	key := orderKey{service: o.Service, Group: g}
	present := t.present(key)
	if !o.Confirmed && o.Count > present {
		t.queue.put(entry{orderKey: key, count: o.Count, previous: present, reason: planner.ReasonTakeOver})
	}
	if !t.lease.LostBefore().IsZero() {
		// Later orders may be lost. One that is based on too low a count would give up upstreams.
		o.Count = max(o.Count, present)
	}
	if t.saved[o.Service] == nil {
		t.saved[o.Service] = make(map[planner.Group]int)
	}
	t.saved[o.Service][g] = o.Count
	t.accepted[key] = o.Count
	if !o.Confirmed {
		t.accepted[key] = min(o.Count, present)
	}
}

// present counts the registered upstreams of a group.
func (t *term) present(key orderKey) int {
	count := 0
	for _, u := range t.scaler.directory.UpstreamsOf(key.service) {
		if u.DataCentre == key.DataCentre && u.Spot == key.Spot && !u.Draining {
			count++
		}
	}
	return count
}

// plan reads the demand, decides on the orders of each service and saves those that are new.
func (t *term) plan(ctx context.Context) {
	t.refresh(ctx)
	now := time.Now()
	t.observeEpoch(now)
	if f := t.scaler.freshness; f != nil && f.Age() >= t.scaler.demandLifetime {
		return
	}
	for _, service := range t.scaler.directory.Services() {
		if service.Scaling != nil {
			t.planService(now, service)
		}
	}
	t.save(ctx)
}

func (t *term) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.scaler.demandLifetime)
	defer cancel()
	reports, err := t.scaler.activity.Refresh(ctx)
	if err != nil {
		t.scaler.logger.Warn("can't read the demand of the nodes", "error", err)
		return
	}
	t.demand.update(time.Now(), reports)
}

// observeEpoch keeps all upstreams for a while after the log was restored, as registrations may be missing.
func (t *term) observeEpoch(now time.Time) {
	if t.scaler.epochs == nil {
		return
	}
	epoch := t.scaler.epochs.Epoch()
	if epoch == t.epoch {
		return
	}
	t.epoch = epoch
	for name, state := range t.states {
		t.states[name] = state.Resettle(now)
	}
}

func (t *term) planService(now time.Time, service quetzalroad.Service) {
	state, ok := t.states[service.Name]
	if !ok {
		state = planner.NewState(now, t.saved[service.Name])
	}
	upstreams := t.upstreams(now, service.Name)
	in := planner.Input{
		Now: now, Scaling: *service.Scaling, Upstreams: upstreams,
		Demand:  t.demand.of(now, t.scaler.demandLifetime, service.Name),
		Pending: t.queue.groups(service.Name),
	}
	state, decision := t.scaler.policy.Plan(in, state)
	t.states[service.Name] = state
	t.reductionsPaused[service.Name] = in.Demand == nil || state.IsLate(t.scaler.policy)
	for _, o := range decision.Orders {
		t.queue.put(entry{
			orderKey: orderKey{service: service.Name, Group: o.Group}, count: o.Count, previous: o.Previous, reason: o.Reason,
			load: decision.Needs.Load, needed: decision.Needs.Total,
		})
		t.unsaved = true
	}
}

// upstreams lists the registered upstreams of a service. Those that leave according to other signs than their
// registration count as draining too.
func (t *term) upstreams(now time.Time, s quetzalroad.ServiceName) []quetzalroad.Upstream {
	registered := t.scaler.directory.UpstreamsOf(s)
	upstreams := make([]quetzalroad.Upstream, 0, len(registered))
	for _, u := range registered {
		u.Draining = u.Draining || t.scaler.loads.Estimate(u.Name, now).Leaving
		upstreams = append(upstreams, u)
	}
	return upstreams
}

// save stores the orders in force for the next holder, before they are sent.
func (t *term) save(ctx context.Context) {
	if !t.unsaved {
		return
	}
	data, err := ordermapper.Encode(t.ordersInForce())
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, t.scaler.callTimeout)
		defer cancel()
		err = t.lease.Save(ctx, dutyName, data)
	}
	if err != nil {
		t.scaler.logger.Warn("can't save the orders in force; sending none", "error", err)
		return
	}
	t.unsaved = false
}
