// Package usagereporter counts the requests of teams, and reports them to the platform while the node holds the lease.
//
// The ledger decides what to report, without I/O. A decision is saved with the lease before it is sent, so that the
// next holder repeats it exactly.
package usagereporter

import (
	"context"
	"expvar"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/activitymapper"
	"github.com/quetzalroad/quetzalroad/decisions/usagecounter"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotUsage, Name: "reporter",
		New: func() kernel.Component { return new(Reporter) },
	})
}

// Reporter implements quetzalroad.Duty. Declare describes its settings.
type Reporter struct {
	node     quetzalroad.NodeName
	logger   *slog.Logger
	activity quetzalroad.ActivityExchange
	client   quetzalroad.PlatformClient
	epochs   quetzalroad.EpochTracker
	counter  *usagecounter.Counter
	// ledger is used by one call of Perform at a time, and keeps its counts from one to the next.
	ledger ledger

	window, due, callTimeout, refreshInterval time.Duration

	reported, failures, skipped expvar.Int
}

// Declare implements kernel.Component.
func (r *Reporter) Declare(s *configloader.Section) {
	s.Duration("window", &r.window, 5*time.Second, 100*time.Millisecond, time.Hour, "Length of the windows in which requests are counted.")
	s.Duration("due", &r.due, 10*time.Second, time.Second, time.Hour, "Time after a window's end at which its report is due.")
	s.Duration("call-timeout", &r.callTimeout, 700*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of sending a report. The lease has to last for it.")
	s.Duration("refresh-interval", &r.refreshInterval, time.Second, 10*time.Millisecond, time.Minute, "Interval between two reads of the counts of all nodes, at the holder of the lease.")
}

// Build implements kernel.Component.
func (r *Reporter) Build(n *kernel.Node) error {
	if n.Leaser == nil || n.PlatformClient == nil || n.Activity == nil {
		return errors.New("the usage reporter requires the slots leases, platform-commands and activity")
	}
	r.node, r.logger, r.activity, r.client, r.epochs = n.Name, n.Logger, n.Activity, n.PlatformClient, n.LogEpochs
	r.ledger.schedule = newSchedule(r.window, r.due)
	r.counter = usagecounter.New(n.Name, r.window, r.ledger.retention)
	n.UsageMeter = r.counter
	n.Vars.Set("usage-windows-reported", &r.reported)
	n.Vars.Set("usage-report-failures", &r.failures)
	n.Vars.Set("usage-windows-skipped", &r.skipped)
	n.Leaser.AddDuty(r)
	return nil
}

// Name implements quetzalroad.Duty.
func (*Reporter) Name() quetzalroad.DutyName {
	return "usage"
}

// stepInterval is the interval at which the holder looks for windows to decide and reports to send.
const stepInterval = 100 * time.Millisecond

// Perform implements quetzalroad.Duty.
func (r *Reporter) Perform(ctx context.Context, l quetzalroad.Lease) {
	t, err := r.begin(l)
	if err != nil {
		// Without the decisions of earlier holders, a window might be reported twice with different counts.
		r.logger.Error("usage is not reported, as the state saved with the lease can't be read", "error", err)
		<-ctx.Done()
		return
	}
	for sleeper.Sleep(ctx, stepInterval) == nil {
		t.refresh(ctx)
		t.decide()
		t.save(ctx)
		t.send(ctx)
	}
}

// term is the time for which this node holds the lease.
type term struct {
	*Reporter
	lease quetzalroad.Lease
	// mergedAt is when the counts of all nodes were last read, by the time of day, and refreshedAt when that was
	// last tried.
	mergedAt    time.Time
	refreshedAt boottimer.Instant
	// savedThrough is the last window whose decision was saved. Later ones must not be sent.
	savedThrough quetzalroad.UsageWindow
	// attempts holds the failed attempts to send a report.
	attempts map[quetzalroad.UsageWindow]attempt
}

// begin continues from what earlier holders of the lease saved.
func (r *Reporter) begin(l quetzalroad.Lease) (*term, error) {
	now := r.counter.Time(time.Now())
	var saved *quetzalroad.UsageState
	if data := l.State(r.Name()); data != nil {
		state, err := activitymapper.DecodeUsageState(data)
		if err != nil {
			return nil, err
		}
		saved = &state
	}
	r.ledger.begin(now, saved, r.lostBefore(now, l.LostBefore()))
	return &term{Reporter: r, lease: l, savedThrough: r.ledger.state.DecidedThrough, attempts: make(map[quetzalroad.UsageWindow]attempt)}, nil
}

// maxClockError bounds the difference between the clocks of two VMs.
const maxClockError = 10 * time.Second

// clockMargin is added to the time before which decisions may be missing, as a holder whose clock was ahead may have
// decided a window before its end.
const clockMargin = 5 * time.Second

// lostBefore returns the time before which saved decisions may be missing. The clock of the holder that stated it may
// have been slow, whereas this node knows how long the log's epoch has lasted at least.
func (r *Reporter) lostBefore(now, stated time.Time) time.Time {
	if stated.IsZero() {
		return stated
	}
	if r.epochs != nil {
		if observed := now.Add(-r.epochs.Age()); observed.After(stated) && observed.Sub(stated) < maxClockError {
			stated = observed
		}
	}
	return stated.Add(clockMargin)
}

// refresh merges the counts of all nodes.
func (t *term) refresh(ctx context.Context) {
	if t.refreshedAt.Age() < t.refreshInterval {
		return
	}
	t.refreshedAt = boottimer.Now()
	now := t.counter.Time(time.Now())
	reports, err := t.activity.Refresh(ctx)
	if err != nil {
		t.logger.Info("failed to read the counts of all nodes", "error", err)
		return
	}
	t.ledger.merge(now, reports)
	t.mergedAt = now
}

// decide decides the windows that are due.
func (t *term) decide() {
	now := t.counter.Time(time.Now())
	for {
		window, verdict := t.ledger.next(now, t.mergedAt)
		switch verdict {
		case verdictWait:
			return
		case verdictSkip:
			skipped := t.ledger.skip(now)
			t.skipped.Add(int64(skipped))
			t.logger.Warn("usage windows skipped", "first", int64(window), "count", skipped, "lost-before", t.ledger.lostBefore)
		case verdictReport:
			decided := t.ledger.decide(window)
			t.logger.Info("usage decided", "window", int64(window), "total", totalRequests(decided), "teams", len(decided.Teams), "after", now.Sub(t.ledger.end(window)))
		}
	}
}

func totalRequests(r quetzalroad.UsageReport) int {
	requests := 0
	for _, u := range r.Teams {
		requests += u.Requests
	}
	return requests
}

// save saves the decisions, again until the log confirms them.
func (t *term) save(ctx context.Context) {
	state := t.ledger.state
	if len(state.Pending) == 0 || state.Pending[len(state.Pending)-1].Window <= t.savedThrough {
		return
	}
	data, err := activitymapper.EncodeUsageState(state)
	if err == nil {
		err = t.lease.Save(ctx, t.Name(), data)
	}
	if err != nil {
		t.logger.Info("failed to save the decided usage", "window", int64(state.DecidedThrough), "error", err)
		return
	}
	t.savedThrough = state.DecidedThrough
}
