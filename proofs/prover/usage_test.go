package prover

import (
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"

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
	leases  faker.Leases
	api     faker.ControlAPI
	nodes   []*usageNode
	// truth holds the requests that were run.
	truth map[quetzalroad.UsageWindow]map[quetzalroad.TeamName]int
}

// usageNode is a node of the fleet.
type usageNode struct {
	*kernel.Node
	lease faker.LeaseHolder
	// clockStep is how far the node's clock is ahead, in nanoseconds.
	clockStep atomic.Int64
	killed    atomic.Bool
}

func windowAt(t time.Time) quetzalroad.UsageWindow {
	return quetzalroad.UsageWindow(t.UnixNano() / int64(usageWindow))
}

func windowEnd(w quetzalroad.UsageWindow) time.Time {
	return time.Unix(0, int64(w+1)*int64(usageWindow))
}

// takeOverDelay is the time from the end of a lease until another node holds it.
const takeOverDelay = 3500 * time.Millisecond

// revoke ends the lease. A few counts arrive late, so that the next holder would decide differently on the windows
// before.
func (f *usageFleet) revoke() {
	f.leases.Revoke()
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
	time.AfterFunc(takeOverDelay, func() { f.leases.Grant(&f.nodes[len(f.nodes)-1].lease) })
}

// kill kills a node, whose lease another one takes over.
func (f *usageFleet) kill(u *usageNode) {
	if f.leases.IsHolder(&u.lease) {
		f.takeOver()
	}
	u.killed.Store(true)
	u.Kill()
}

func (f *usageFleet) addNode(t *testing.T, i int) {
	t.Helper()
	u := new(usageNode)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7200)
	n, err := faker.BuildForwardNode(slog.New(slog.DiscardHandler), map[string]string{
		"node":        fmt.Sprintf(`{"name": "node-%d", "data-centre": "west-1", "region": "west"}`, i),
		"log-sharing": fmt.Sprintf(`{"plugin": "distributor", "capacity": %d}`, 100-i),
		"activity":    `{"plugin": "log"}`,
		"usage":       `{"plugin": "reporter"}`,
	}, kernel.Override{Slot: kernel.SlotKeyedLog, Component: &f.log}, kernel.Override{Slot: kernel.SlotForwardClient, Component: new(faker.ForwardClient)},
		kernel.Override{Slot: kernel.SlotReadTransport, Component: &faker.ReadTransport{Network: &f.network, Address: address}},
		kernel.Override{Slot: kernel.SlotLeaser, Component: &u.lease}, kernel.Override{Slot: kernel.SlotPlatformClient, Component: &f.api})
	if err != nil {
		t.Fatal(err)
	}
	u.Node = n
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

// errLost is the error of a call without a response.
var errLost = errors.New("no response")

// usageFault is what happens to a fleet.
type usageFault struct {
	do func(f *usageFleet)
	// missed is the number of windows that may be missing, late or wrong.
	missed int
}

// usageFaults are named after what fails.
var usageFaults = map[string]usageFault{
	"no fault": {do: func(*usageFleet) {}},
	"holder killed after a decision was saved": {do: func(f *usageFleet) {
		f.leases.AfterNextSave(func() { f.kill(f.nodes[2]) })
	}},
	"holder killed after it reported a window": {do: func(f *usageFleet) {
		time.AfterFunc(2*time.Second, func() { f.kill(f.nodes[2]) })
	}},
	"lease lost before a decision is saved": {do: func(f *usageFleet) {
		f.leases.SetSaveError(errLost)
		time.AfterFunc(2*time.Second, func() {
			f.leases.SetSaveError(nil)
			f.takeOver()
		})
	}},
	"holder frozen before it sends": {do: func(f *usageFleet) {
		f.api.BeforeNextCall(func() {
			f.takeOver()
			time.Sleep(8 * time.Second)
		})
	}},
	"responses lost": {do: func(f *usageFleet) {
		f.api.SetFault(errLost, true)
		time.AfterFunc(6*time.Second, func() { f.api.SetFault(nil, false) })
	}},
	"control API down": {missed: 2, do: func(f *usageFleet) {
		f.api.SetFault(errors.Mark(errLost, quetzalroad.ErrNotSent), false)
		time.AfterFunc(15*time.Second, func() { f.api.SetFault(nil, false) })
	}},
	"control API slow when a report is due": {do: func(f *usageFleet) {
		f.api.SetStalled(true)
		time.AfterFunc(4*time.Second, func() { f.api.SetStalled(false) })
	}},
	"control API overloaded": {do: func(f *usageFleet) {
		f.api.SetFault(errors.Mark(errLost, quetzalroad.ErrRejected), false)
		time.AfterFunc(4*time.Second, func() { f.api.SetFault(nil, false) })
	}},
	"store down when a window ends": {do: func(f *usageFleet) {
		f.log.SetUnavailable(true)
		time.AfterFunc(4*time.Second, func() { f.log.SetUnavailable(false) })
	}},
	"store restored": {missed: 2, do: func(f *usageFleet) {
		copied, saved := f.log.Copy(), f.leases.Copy()
		time.AfterFunc(6*time.Second, func() {
			f.log.Restore(copied)
			f.takeOver()
			// The clock of the node that stated the time was slow.
			f.leases.Restore(saved, time.Now().Add(-7*time.Second))
		})
	}},
	"reader killed in the middle of a window": {do: func(f *usageFleet) { f.kill(f.nodes[0]) }},
	"clock of a node jumps and jumps back": {do: func(f *usageFleet) {
		f.nodes[1].clockStep.Store(int64(7 * time.Second))
		time.AfterFunc(20*time.Second, func() { f.nodes[1].clockStep.Store(0) })
	}},
	"clock of the holder jumps and jumps back": {do: func(f *usageFleet) {
		holder := f.nodes[2]
		holder.clockStep.Store(int64(-7 * time.Second))
		time.AfterFunc(20*time.Second, func() { holder.clockStep.Store(0) })
	}},
}

// Each fault comes alone while requests run. Whatever happens, no window is reported twice with different counts,
// and no more windows are missed than the fault accounts for.
func TestUsageIsReportedOnceAndRight(t *testing.T) {
	for name, fault := range usageFaults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &usageFleet{truth: make(map[quetzalroad.UsageWindow]map[quetzalroad.TeamName]int)}
				f.log.Put(quetzalroad.LogStreamOperators, "config", quetzalroad.PublishedState{Version: 1})
				for i := range 6 {
					f.addNode(t, i)
				}
				time.Sleep(5 * time.Second)
				f.leases.Grant(&f.nodes[2].lease)
				f.count(12300 * time.Millisecond)
				fault.do(f)
				f.count(40 * time.Second)
				time.Sleep(usageDue)
				f.revoke()
				for _, u := range f.nodes {
					u.Kill()
					_ = u.Wait()
				}
				synctest.Wait()
				f.check(t, fault.missed)
			})
		})
	}
}

// check compares the reports to what was run.
func (f *usageFleet) check(t *testing.T, mayMiss int) {
	t.Helper()
	for _, violation := range f.api.Violations() {
		t.Error(violation)
	}
	missed := 0
	for w, truth := range f.truth {
		received, reported := f.api.Usage(w)
		after := received.At.Sub(windowEnd(w))
		right := reported && after <= usageDue && len(received.Teams) == len(truth)
		for _, u := range received.Teams {
			right = right && math.Abs(float64(u.Requests-truth[u.Team])) <= usageTolerance*float64(truth[u.Team])
		}
		if !right {
			missed++
			t.Logf("window %d: %v ran, %v reported %s after its end", w, truth, received.Teams, after)
		}
	}
	if missed > mayMiss {
		t.Errorf("%d of %d windows missed, late or wrong, want at most %d", missed, len(f.truth), mayMiss)
	}
}
