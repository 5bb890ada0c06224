// Package scaler orders upstreams from the platform as demand changes. It is a duty of the holder of the lease.
//
// The holder gathers the demand that nodes publish and the registered upstreams, lets the planner decide, saves the
// orders in the lease and sends them one at a time. Orders that failed are repeated.
package scaler

import (
	"context"
	"expvar"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/decisions/scaler/planner"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotScaling, Name: "scaler",
		New: func() kernel.Component { return new(Scaler) },
	})
}

// dutyName is the name under which the orders in force are saved.
const dutyName quetzalroad.DutyName = "scaling"

// Scaler implements quetzalroad.Duty. Declare describes its settings.
type Scaler struct {
	policy planner.Policy
	// interval is that between two decisions, orderInterval the least one between two orders.
	interval, orderInterval time.Duration
	callTimeout             time.Duration
	unavailableFor          time.Duration
	demandLifetime          time.Duration
	backoff, maxBackoff     time.Duration

	node      quetzalroad.NodeName
	client    quetzalroad.PlatformClient
	activity  quetzalroad.ActivityExchange
	directory quetzalroad.Directory
	loads     quetzalroad.LoadTracker
	// freshness and epochs are nil if the published state has none.
	freshness quetzalroad.Freshness
	epochs    quetzalroad.EpochTracker
	logger    *slog.Logger
	// ordered holds the accepted orders while this node holds the lease, and failures counts the others by reason.
	ordered, failures *expvar.Map
}

// Declare implements kernel.Component.
func (s *Scaler) Declare(c *configloader.Section) {
	c.Duration("interval", &s.interval, time.Second, 10*time.Millisecond, time.Minute, "Interval between two decisions.")
	c.Duration("order-interval", &s.orderInterval, 200*time.Millisecond, time.Millisecond, time.Minute, "Minimum time between two orders.")
	c.Duration("call-timeout", &s.callTimeout, 700*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of an order.")
	c.Duration("unavailable-for", &s.unavailableFor, 10*time.Second, time.Millisecond, time.Hour, "How long upstreams that the platform doesn't have at the moment are not ordered again.")
	c.Duration("demand-lifetime", &s.demandLifetime, 5*time.Second, 100*time.Millisecond, time.Minute, "Age at which the demand that a node published is no longer used.")
	c.Duration("backoff", &s.backoff, 500*time.Millisecond, time.Millisecond, time.Minute, "Wait after an order failed; doubled with each further failure.")
	c.Duration("max-backoff", &s.maxBackoff, 5*time.Second, time.Millisecond, time.Minute, "Longest wait after an order failed.")
	s.declarePolicy(c)
}

func (s *Scaler) declarePolicy(c *configloader.Section) {
	p, d := &s.policy, planner.DefaultPolicy()
	c.Float("target-occupancy", &p.TargetOccupancy, d.TargetOccupancy, 0.01, 1, "Highest share of upstreams' slots in use at which requests meet their targets.")
	c.Float("burst", &p.Burst, d.Burst, 1, 100, "Load, relative to the recent one, that the upstreams can take without new ones.")
	c.Float("peak-reserve", &p.PeakReserve, d.PeakReserve, 1, 100, "Load, relative to the highest one of a moment, that the upstreams can take without new ones.")
	c.Float("loss-share", &p.LossShare, d.LossShare, 0, 0.9, "Share of the upstreams that may be lost at once.")
	c.Float("base-share", &p.BaseShare, d.BaseShare, 0, 1, "Share of the load that upstreams other than spot ones can take alone.")
	c.Float("raise-band", &p.RaiseBand, d.RaiseBand, 0, 0.9, "Share of the needed upstreams that may be missing before more are ordered.")
	c.Float("dead-band", &p.DeadBand, d.DeadBand, 0, 0.9, "Share of the upstreams that has to be superfluous before some are given up.")
	c.Float("step-share", &p.StepShare, d.StepShare, 0.001, 1, "Largest share of the upstreams that is given up at a time.")
	c.Duration("step-interval", &p.StepInterval, d.StepInterval, time.Millisecond, time.Hour, "Minimum time between two reductions.")
	c.Duration("peak-hold", &p.PeakHold, d.PeakHold, time.Second, 24*time.Hour, "How long the highest load counts.")
	c.Duration("settle-time", &p.SettleTime, d.SettleTime, 0, time.Hour, "How long no upstream is given up after a start, a restored log or a change of the lease's holder.")
	c.Duration("boot-margin", &p.BootMargin, d.BootMargin, 0, time.Hour, "Time beyond the boot time after which a missing upstream is ordered again.")
	c.Float("late-share", &p.LateShare, d.LateShare, 0, 1, "Share of late and refused requests above which upstreams are added and none are given up.")
}

// Build implements kernel.Component.
func (s *Scaler) Build(n *kernel.Node) error {
	if n.Leaser == nil || n.PlatformClient == nil || n.Activity == nil {
		return errors.New("the scaler requires the slots leases, platform-commands and activity")
	}
	s.node, s.logger = n.Name, n.Logger
	s.client, s.activity = n.PlatformClient, n.Activity
	s.directory, s.loads = n.Directory, n.LoadTracker
	s.freshness, s.epochs = n.Freshness, n.LogEpochs
	s.ordered, s.failures = new(expvar.Map), new(expvar.Map)
	n.Vars.Set("upstreams-ordered", s.ordered)
	n.Vars.Set("order-failures", s.failures)
	n.Leaser.AddDuty(s)
	return nil
}

// Name implements quetzalroad.Duty.
func (*Scaler) Name() quetzalroad.DutyName { return dutyName }

// Perform implements quetzalroad.Duty.
func (s *Scaler) Perform(ctx context.Context, l quetzalroad.Lease) {
	t := newTerm(s, l, time.Now())
	defer s.ordered.Init()
	for ctx.Err() == nil {
		if !time.Now().Before(t.planAt) {
			t.planAt = time.Now().Add(s.interval)
			t.plan(ctx)
		}
		if t.canSend(time.Now()) {
			t.sendNext(ctx)
		}
		if err := sleeper.Sleep(ctx, time.Until(t.wakeAt())); err != nil {
			return
		}
	}
}
