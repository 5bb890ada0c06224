package faker

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// ControlAPI is the platform's control API in memory, and the client of all nodes. It checks the rules for usage
// reports. The zero value accepts everything.
type ControlAPI struct {
	mu sync.Mutex
	// The fields below are guarded by mu. fault is the result of each call, and taken tells whether the command took
	// effect nevertheless. While stalled is set, calls block until their context is done.
	fault   error
	taken   bool
	stalled bool
	// onCall is called once, before the next call.
	onCall  func()
	highest quetzalroad.FencingToken
	// violations lists the rules that were broken.
	violations []string
	reports    map[quetzalroad.UsageWindow]ReceivedUsage
}

// ReceivedUsage is a usage report that the control API accepted.
type ReceivedUsage struct {
	quetzalroad.UsageReport
	At time.Time
}

// Declare implements kernel.Component.
func (*ControlAPI) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (a *ControlAPI) Build(n *kernel.Node) error {
	n.PlatformClient = a
	return nil
}

// SetFault makes every call fail, although the command took effect if taken is set; nil ends the fault.
func (a *ControlAPI) SetFault(fault error, taken bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault, a.taken = fault, taken
}

// SetStalled makes every call block until its context is done, or work again.
func (a *ControlAPI) SetStalled(stalled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stalled = stalled
}

// BeforeNextCall has a function called once, before the next call checks the lease.
func (a *ControlAPI) BeforeNextCall(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onCall = f
}

// begin begins a call as a client does. The timers of a process that was frozen may fire later than it sends.
func (a *ControlAPI) begin(ctx context.Context, check func() error) error {
	a.mu.Lock()
	onCall, stalled := a.onCall, a.stalled
	a.onCall = nil
	a.mu.Unlock()
	if onCall != nil {
		onCall()
	}
	if err := check(); err != nil {
		return err
	}
	if stalled {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// ReportUsage implements quetzalroad.PlatformClient.
func (a *ControlAPI) ReportUsage(ctx context.Context, f quetzalroad.Fence, r quetzalroad.UsageReport, check func() error) error {
	if err := a.begin(ctx, check); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fault == nil || a.taken {
		a.acceptLocked(f, r)
	}
	return a.fault
}

func (a *ControlAPI) acceptLocked(f quetzalroad.Fence, r quetzalroad.UsageReport) {
	if f.Token < a.highest {
		a.violations = append(a.violations, fmt.Sprintf("token %d of %s after %d", f.Token, f.Holder, a.highest))
	}
	a.highest = max(a.highest, f.Token)
	known, reported := a.reports[r.Window]
	switch {
	case a.reports == nil:
		a.reports = make(map[quetzalroad.UsageWindow]ReceivedUsage)
		fallthrough
	case !reported:
		a.reports[r.Window] = ReceivedUsage{UsageReport: r, At: time.Now()}
	case !slices.Equal(known.Teams, r.Teams):
		a.violations = append(a.violations, fmt.Sprintf("window %d reported as %v and as %v", r.Window, known.Teams, r.Teams))
	}
}

// OrderUpstreams implements quetzalroad.PlatformClient.
func (a *ControlAPI) OrderUpstreams(ctx context.Context, _ quetzalroad.Fence, _ quetzalroad.UpstreamOrder, check func() error) error {
	if err := a.begin(ctx, check); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fault
}

// Violations lists the rules that were broken.
func (a *ControlAPI) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.violations)
}

// Usage returns the first report of a window.
func (a *ControlAPI) Usage(w quetzalroad.UsageWindow) (ReceivedUsage, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.reports[w]
	return r, ok
}
