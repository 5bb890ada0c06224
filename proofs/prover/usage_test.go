package prover

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	"github.com/quetzalroad/quetzalroad/support/configloader"

	_ "github.com/quetzalroad/quetzalroad/decisions/usagereporter"
	_ "github.com/quetzalroad/quetzalroad/state/activitypublisher"
)

const (
	usageWindow = 5 * time.Second
	usageDue    = 10 * time.Second
	// usageTolerance is the relative error of a count that the platform accepts.
	usageTolerance = 0.05
)

// usageFleet is a fleet of nodes that count requests, the lease that one of them holds, and the control API.
type usageFleet struct {
	log     faker.KeyedLog
	network faker.ReadNetwork
	nodes   []*usageNode

	mu sync.Mutex
	// The fields below are guarded by mu. holder is nil if no node holds the lease.
	holder     *usageNode
	token      quetzalroad.FencingToken
	saved      []byte
	lostBefore time.Time
	// saveError is the error of each attempt to save.
	saveError error
	// onSave and onSend are called once, after a decision was saved and before a report is sent.
	onSave, onSend func()
	// answer is the error of each call to the control API, and taken tells whether the API took the command before.
	answer error
	taken  bool
	// highest is the highest token that the control API has seen, and violations lists the rules that were broken.
	highest    quetzalroad.FencingToken
	violations []string
	reports    map[quetzalroad.UsageWindow]usageArrival
	// truth holds the requests that were run.
	truth map[quetzalroad.UsageWindow]map[quetzalroad.TeamName]int
}

type usageArrival struct {
	counts map[quetzalroad.TeamName]int
	after  time.Duration
}

// usageNode is a node of the fleet, its lease, and its connection to the control API.
type usageNode struct {
	*kernel.Node
	fleet *usageFleet
	duty  quetzalroad.Duty
	token quetzalroad.FencingToken
	end   context.CancelFunc
	// clockStep is how far the node's clock is ahead, in nanoseconds.
	clockStep atomic.Int64
	killed    atomic.Bool
}

// Declare implements kernel.Component.
func (*usageNode) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (u *usageNode) Build(n *kernel.Node) error {
	n.Leaser, n.PlatformClient = u, u
	return nil
}

func (u *usageNode) AddDuty(d quetzalroad.Duty)            { u.duty = d }
func (*usageNode) Holder() (quetzalroad.LeaseHolder, bool) { return quetzalroad.LeaseHolder{}, false }
func (u *usageNode) Token() quetzalroad.FencingToken       { return u.token }
func (*usageNode) Unconfirmed()                            {}
func (*usageNode) OrderUpstreams(context.Context, quetzalroad.Fence, quetzalroad.UpstreamOrder, func() error) error {
	return nil
}

func (u *usageNode) State(quetzalroad.DutyName) []byte {
	u.fleet.mu.Lock()
	defer u.fleet.mu.Unlock()
	return u.fleet.saved
}

func (u *usageNode) LostBefore() time.Time {
	u.fleet.mu.Lock()
	defer u.fleet.mu.Unlock()
	return u.fleet.lostBefore
}

func (u *usageNode) Check(time.Duration) error {
	u.fleet.mu.Lock()
	defer u.fleet.mu.Unlock()
	if u.fleet.holder != u {
		return quetzalroad.ErrLeaseEnded
	}
	return nil
}

// Save saves a state, provided that the log responds.
func (u *usageNode) Save(ctx context.Context, _ quetzalroad.DutyName, state []byte) error {
	u.fleet.mu.Lock()
	err := u.fleet.saveError
	u.fleet.mu.Unlock()
	if err != nil {
		return err
	}
	if _, err := u.fleet.log.PutKeyed(ctx, quetzalroad.LogStreamLeases, "duties", state); err != nil {
		return err
	}
	if err := u.Check(0); err != nil {
		return err
	}
	u.fleet.mu.Lock()
	u.fleet.saved = state
	u.fleet.mu.Unlock()
	u.fleet.call(&u.fleet.onSave)
	return nil
}

func (f *usageFleet) call(hook *func()) {
	f.mu.Lock()
	do := *hook
	*hook = nil
	f.mu.Unlock()
	if do != nil {
		do()
	}
}

// ReportUsage takes a report as the control API does.
func (u *usageNode) ReportUsage(ctx context.Context, fence quetzalroad.Fence, r quetzalroad.UsageReport, check func() error) error {
	u.fleet.call(&u.fleet.onSend)
	if err := check(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	f := u.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answer == nil || f.taken {
		f.take(fence, r)
	}
	return f.answer
}

// take takes a report. The caller holds mu.
func (f *usageFleet) take(fence quetzalroad.Fence, r quetzalroad.UsageReport) {
	if fence.Token < f.highest {
		f.violations = append(f.violations, fmt.Sprintf("token %d after %d", fence.Token, f.highest))
	}
	f.highest = max(f.highest, fence.Token)
	counts := make(map[quetzalroad.TeamName]int)
	for _, t := range r.Teams {
		counts[t.Team] = t.Requests
	}
	if known, reported := f.reports[r.Window]; !reported {
		f.reports[r.Window] = usageArrival{counts: counts, after: time.Since(windowEnd(r.Window))}
	} else if fmt.Sprint(known.counts) != fmt.Sprint(counts) {
		f.violations = append(f.violations, fmt.Sprintf("window %d reported as %v and as %v", r.Window, known.counts, counts))
	}
}

func windowAt(t time.Time) quetzalroad.UsageWindow {
	return quetzalroad.UsageWindow(t.UnixNano() / int64(usageWindow))
}

func windowEnd(w quetzalroad.UsageWindow) time.Time {
	return time.Unix(0, int64(w+1)*int64(usageWindow))
}

// grant gives the lease to a node. No other holds it.
func (f *usageFleet) grant(u *usageNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.token++
	ctx, cancel := context.WithCancel(context.Background())
	u.token, u.end, f.holder = f.token, cancel, u
	go u.duty.Perform(ctx, u)
}

// takeOverDelay is the time from the end of a lease until another node holds it.
const takeOverDelay = 3500 * time.Millisecond

// revoke ends the lease. A few counts arrive late, so that the next holder would decide differently on the windows
// before.
func (f *usageFleet) revoke() {
	f.mu.Lock()
	f.holder.end()
	f.holder = nil
	f.mu.Unlock()
	now := time.Now()
	for w := windowAt(now) - 3; w < windowAt(now); w++ {
		for _, n := range f.nodes {
			n.UsageMeter.UpdatePeerUsage(now, []quetzalroad.NodeUsage{{Node: "late", StartedAt: now, Window: w, Teams: []quetzalroad.TeamUsage{{Team: "team-0", Requests: 1}}}})
		}
	}
}

// takeOver takes the lease from its holder and gives it to the last node.
func (f *usageFleet) takeOver() {
	f.revoke()
	time.AfterFunc(takeOverDelay, func() { f.grant(f.nodes[len(f.nodes)-1]) })
}

// kill kills a node, whose lease another one takes over.
func (f *usageFleet) kill(u *usageNode) {
	if u.Check(0) == nil {
		f.takeOver()
	}
	u.killed.Store(true)
	u.Kill()
}

func (f *usageFleet) addNode(t *testing.T, i int) {
	t.Helper()
	u := &usageNode{fleet: f}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7200)
	n, err := faker.BuildForwardNode(slog.New(slog.DiscardHandler), map[string]string{
		"node":        fmt.Sprintf(`{"name": "node-%d", "data-centre": "west-1", "region": "west"}`, i),
		"log-sharing": fmt.Sprintf(`{"plugin": "distributor", "capacity": %d}`, 100-i),
		"activity":    `{"plugin": "log"}`,
		"usage":       `{"plugin": "reporter"}`,
	}, kernel.Override{Slot: kernel.SlotKeyedLog, Component: &f.log}, kernel.Override{Slot: kernel.SlotForwardClient, Component: new(faker.ForwardClient)},
		kernel.Override{Slot: kernel.SlotReadTransport, Component: &faker.ReadTransport{Network: &f.network, Address: address}},
		kernel.Override{Slot: kernel.SlotLeaser, Component: u})
	if err != nil {
		t.Fatal(err)
	}
	n.PlatformClient, u.Node = u, n
	f.nodes = append(f.nodes, u)
	n.Start()
}

// count runs requests at all live nodes for a time.
func (f *usageFleet) count(duration time.Duration) {
	for begin := time.Now(); time.Since(begin) < duration; time.Sleep(20 * time.Millisecond) {
		for i, u := range f.nodes {
			if u.killed.Load() {
				continue
			}
			team := quetzalroad.TeamName(fmt.Sprintf("team-%d", i%2))
			u.UsageMeter.CountRun(time.Now().Add(time.Duration(u.clockStep.Load())), team)
			w := windowAt(time.Now())
			if f.truth[w] == nil {
				f.truth[w] = make(map[quetzalroad.TeamName]int)
			}
			f.truth[w][team]++
		}
	}
}

// Each fault comes alone while requests run. Whatever happens, no window is reported twice with different counts,
// and no more windows are missed than the fault accounts for.
func TestUsageIsReportedOnceAndRight(t *testing.T) {
	errLost := errors.New("no response")
	for name, c := range map[string]struct {
		fault func(f *usageFleet)
		// missed is the number of windows that may be missing, late or wrong.
		missed int
	}{
		"no fault": {fault: func(*usageFleet) {}},
		"holder killed after a decision was saved": {fault: func(f *usageFleet) {
			f.setHook(&f.onSave, func() { f.kill(f.nodes[2]) })
		}},
		"lease lost before a decision is saved": {fault: func(f *usageFleet) {
			f.setSaveError(errLost)
			time.AfterFunc(2*time.Second, func() {
				f.setSaveError(nil)
				f.takeOver()
			})
		}},
		"holder frozen before it sends": {fault: func(f *usageFleet) {
			f.setHook(&f.onSend, func() {
				f.takeOver()
				time.Sleep(8 * time.Second)
			})
		}},
		"responses lost": {fault: func(f *usageFleet) {
			f.setAnswer(errLost, true)
			time.AfterFunc(6*time.Second, func() { f.setAnswer(nil, false) })
		}},
		"control API down": {missed: 2, fault: func(f *usageFleet) {
			f.setAnswer(errors.Mark(errLost, quetzalroad.ErrNotSent), false)
			time.AfterFunc(15*time.Second, func() { f.setAnswer(nil, false) })
		}},
		"control API overloaded": {fault: func(f *usageFleet) {
			f.setAnswer(errors.Mark(errLost, quetzalroad.ErrRejected), false)
			time.AfterFunc(4*time.Second, func() { f.setAnswer(nil, false) })
		}},
		"store down when a window ends": {fault: func(f *usageFleet) {
			f.log.SetUnavailable(true)
			time.AfterFunc(4*time.Second, func() { f.log.SetUnavailable(false) })
		}},
		"store restored": {missed: 2, fault: func(f *usageFleet) {
			f.mu.Lock()
			copied, saved := f.log.Copy(), f.saved
			f.mu.Unlock()
			time.AfterFunc(6*time.Second, func() {
				f.log.Restore(copied)
				f.takeOver()
				f.mu.Lock()
				defer f.mu.Unlock()
				// The clock of the node that stated the time was slow.
				f.saved, f.lostBefore = saved, time.Now().Add(-7*time.Second)
			})
		}},
		"reader killed in the middle of a window": {fault: func(f *usageFleet) { f.kill(f.nodes[0]) }},
		"clock of a node jumps and jumps back": {fault: func(f *usageFleet) {
			f.nodes[1].clockStep.Store(int64(7 * time.Second))
			time.AfterFunc(20*time.Second, func() { f.nodes[1].clockStep.Store(0) })
		}},
		"clock of the holder jumps and jumps back": {fault: func(f *usageFleet) {
			holder := f.nodes[2]
			holder.clockStep.Store(int64(-7 * time.Second))
			time.AfterFunc(20*time.Second, func() { holder.clockStep.Store(0) })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &usageFleet{reports: make(map[quetzalroad.UsageWindow]usageArrival), truth: make(map[quetzalroad.UsageWindow]map[quetzalroad.TeamName]int)}
				f.log.Put(quetzalroad.LogStreamOperators, "config", quetzalroad.PublishedState{Version: 1})
				for i := range 6 {
					f.addNode(t, i)
				}
				time.Sleep(5 * time.Second)
				f.grant(f.nodes[2])
				f.count(12300 * time.Millisecond)
				c.fault(f)
				f.count(40 * time.Second)
				time.Sleep(usageDue)
				f.revoke()
				for _, u := range f.nodes {
					u.Kill()
					_ = u.Wait()
				}
				synctest.Wait()
				f.check(t, c.missed)
			})
		})
	}
}

func (f *usageFleet) setAnswer(err error, taken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer, f.taken = err, taken
}

func (f *usageFleet) setHook(hook *func(), do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*hook = do
}

func (f *usageFleet) setSaveError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.saveError = err
}

// check compares the reports to what was run.
func (f *usageFleet) check(t *testing.T, mayMiss int) {
	t.Helper()
	for _, violation := range f.violations {
		t.Error(violation)
	}
	missed := 0
	for w, truth := range f.truth {
		arrival, reported := f.reports[w]
		right := reported && arrival.after <= usageDue
		for team, requests := range truth {
			right = right && math.Abs(float64(arrival.counts[team]-requests)) <= usageTolerance*float64(requests)
		}
		if !right {
			missed++
			t.Logf("window %d: %v ran, %v reported %s after its end", w, truth, arrival.counts, arrival.after)
		}
	}
	if missed > mayMiss {
		t.Errorf("%d of %d windows missed, late or wrong, want at most %d", missed, len(f.truth), mayMiss)
	}
}
