package watcher_test

import (
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// revocationDeadline is the setting revoke-within of these tests.
const revocationDeadline = 5 * time.Second

// fixture is a node with a watcher on a fake log, in a synctest bubble.
type fixture struct {
	faker.KeyedLog
	node *kernel.Node
}

func runWithWatcher(t *testing.T, check func(t *testing.T, x *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := new(fixture)
		node, err := faker.BuildForwardNode(slog.New(slog.DiscardHandler), nil,
			kernel.Override{Slot: kernel.SlotKeyedLog, Component: &x.KeyedLog})
		if err != nil {
			t.Fatal(err)
		}
		x.node = node
		x.publish(publishedState(1))
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(1, false))
		x.node.Start()
		defer func() {
			x.node.Kill()
			if err := x.node.Wait(); err != nil {
				t.Error(err)
			}
		}()
		time.Sleep(100 * time.Millisecond)
		check(t, x)
	})
}

func (x *fixture) publish(s quetzalroad.PublishedState) {
	x.Put(quetzalroad.LogStreamOperators, "config", s)
}

// drainStates maps the upstreams in the directory to whether they are draining.
func (x *fixture) drainStates() map[quetzalroad.UpstreamName]bool {
	states := make(map[quetzalroad.UpstreamName]bool)
	for _, u := range x.node.Directory.Upstreams() {
		states[u.Name] = u.Draining
	}
	return states
}

// publishedState returns a state that routes /v/ to a service named after the version.
func publishedState(version int64) quetzalroad.PublishedState {
	return quetzalroad.PublishedState{
		Version:  version,
		Services: []quetzalroad.Service{{Name: serviceName(version)}},
		Teams:    []quetzalroad.Team{{Name: "team", KeyHashes: []quetzalroad.KeyHash{quetzalroad.HashKey("key")}}},
		Routes: []quetzalroad.Route{
			{Name: "short", Host: "Host.example", PathPrefix: "/", TrafficSplit: []quetzalroad.WeightedService{{Service: "short", Weight: 1}}},
			{Name: "long", Host: "host.example", PathPrefix: "/v/", TrafficSplit: []quetzalroad.WeightedService{{Service: serviceName(version), Weight: 1}}},
		},
	}
}

func serviceName(version int64) quetzalroad.ServiceName {
	return quetzalroad.ServiceName("service-" + string(rune('0'+version)))
}

var startedAt = time.UnixMilli(1_700_000_000_000)

func registration(sequence int64, draining bool) quetzalroad.UpstreamRegistration {
	return quetzalroad.UpstreamRegistration{StartedAt: startedAt, Sequence: sequence, Upstream: quetzalroad.Upstream{
		Service: "service-1", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "west-1", InstanceID: "a", MaxConcurrency: 4, Draining: draining,
	}}
}

func (x *fixture) routedService(t *testing.T, path string) quetzalroad.ServiceName {
	t.Helper()
	r, ok := x.node.RouteTable.Match("HOST.example:8080", path)
	if !ok {
		return ""
	}
	return r.TrafficSplit[0].Service
}

func TestRouteMatchesLongestPrefixAndIgnoresHostCase(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		for path, want := range map[string]quetzalroad.ServiceName{"/v/x": "service-1", "/v": "short", "/other": "short"} {
			if got := x.routedService(t, path); got != want {
				t.Errorf("%s is routed to %q, want %q", path, got, want)
			}
		}
		if _, ok := x.node.RouteTable.Match("elsewhere.example", "/v/x"); ok {
			t.Error("an unpublished host has a route")
		}
	})
}

func TestNewerVersionAppliesAtOnceAndOlderIsIgnored(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		x.publish(publishedState(3))
		time.Sleep(10 * time.Millisecond)
		x.publish(publishedState(2))
		x.Put(quetzalroad.LogStreamOperators, "config", "not a config")
		time.Sleep(5 * time.Second)
		if got := x.routedService(t, "/v/x"); got != "service-3" {
			t.Errorf("/v/x is routed to %q after an older version, want service-3", got)
		}
		if got := x.node.Freshness.Version(); got != 3 {
			t.Errorf("version %d in force, want 3", got)
		}
		if _, ok := x.node.Directory.Service("service-1"); ok {
			t.Error("a service that is no longer published is still in the directory")
		}
	})
}

func TestCompactedHistoryIsReloaded(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		x.SetUnavailable(true)
		time.Sleep(time.Second)
		x.publish(publishedState(4))
		x.Put(quetzalroad.LogStreamUpstreams, "b", registration(1, false))
		x.Compact(quetzalroad.LogStreamOperators)
		x.Compact(quetzalroad.LogStreamUpstreams)
		x.SetUnavailable(false)
		time.Sleep(3 * time.Second)
		if got := x.node.Freshness.Version(); got != 4 {
			t.Errorf("version %d in force, want 4", got)
		}
		if got := len(x.drainStates()); got != 2 {
			t.Errorf("%d upstreams, want 2", got)
		}
	})
}

func TestUnconfirmedViewStopsKeyedWorkWithinRevocationDeadline(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		time.Sleep(10 * time.Second)
		if !x.node.Freshness.IsFresh() || x.node.Ready() != nil {
			t.Fatal("the view is too old while the log is available")
		}
		x.SetStalled(true)
		silentSince := time.Now()
		for x.node.Freshness.IsFresh() {
			time.Sleep(10 * time.Millisecond)
		}
		if elapsed := time.Since(silentSince); elapsed > revocationDeadline {
			t.Errorf("keyed work was accepted for %v after the log stopped responding", elapsed)
		}
		if age := x.node.Freshness.Age(); age >= revocationDeadline {
			t.Errorf("keyed work was accepted until the view was %v old", age)
		}
		if x.node.Ready() == nil {
			t.Error("a node whose view is too old is ready")
		}
		x.SetStalled(false)
		time.Sleep(4 * time.Second)
		if !x.node.Freshness.IsFresh() || x.node.Ready() != nil {
			t.Error("the view is still too old after the log recovered")
		}
	})
}

func TestReadsBackOffDuringOutageAndRecoverPromptly(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		const outage = 20 * time.Second
		x.SetUnavailable(true)
		time.Sleep(outage)
		if got := x.FailedCalls(); got > 50 {
			t.Errorf("%d failed calls in %v, want at most 50", got, outage)
		}
		x.publish(publishedState(5))
		x.SetUnavailable(false)
		time.Sleep(2 * time.Second)
		if got := x.node.Freshness.Version(); got != 5 {
			t.Errorf("version %d in force two seconds after the log recovered, want 5", got)
		}
	})
}

func TestDrainingIsFinalForAnIncarnation(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(5, true))
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(4, false))
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(6, false))
		time.Sleep(3 * time.Second)
		for name, draining := range x.drainStates() {
			if !draining {
				t.Errorf("%s is not draining after it announced a drain", name)
			}
		}
		x.Put(quetzalroad.LogStreamUpstreams, "a", nil)
		time.Sleep(3 * time.Second)
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(6, false))
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff(map[quetzalroad.UpstreamName]bool{}, x.drainStates()); diff != "" {
			t.Errorf("an old registration restored a removed upstream (-want +got):\n%s", diff)
		}
	})
}

func TestDeletedRegistrationRemovesUpstreamWhileLogIsAvailable(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		time.Sleep(4 * time.Second)
		x.Put(quetzalroad.LogStreamUpstreams, "a", nil)
		time.Sleep(2 * time.Second)
		if got := x.drainStates(); len(got) != 0 {
			t.Errorf("%v still in the directory", got)
		}
	})
}

func TestDrainAppliesWithinDeadline(t *testing.T) {
	const drainDeadline = 3 * time.Second
	for phase := time.Duration(0); phase < drainDeadline; phase += 300 * time.Millisecond {
		runWithWatcher(t, func(t *testing.T, x *fixture) {
			time.Sleep(phase)
			x.Put(quetzalroad.LogStreamUpstreams, "a", registration(2, true))
			time.Sleep(drainDeadline)
			for name, draining := range x.drainStates() {
				if !draining {
					t.Errorf("phase %v: %s still gets work", phase, name)
				}
			}
		})
	}
}

func TestDrainAppliesWithinDeadlineAfterOneFailedRead(t *testing.T) {
	const drainDeadline = 3 * time.Second
	for phase := time.Duration(0); phase < drainDeadline; phase += 300 * time.Millisecond {
		runWithWatcher(t, func(t *testing.T, x *fixture) {
			time.Sleep(phase)
			x.Put(quetzalroad.LogStreamUpstreams, "a", registration(2, true))
			reads := x.CompletedCalls()
			x.SetStalled(true)
			time.Sleep(600 * time.Millisecond)
			x.SetStalled(false)
			time.Sleep(drainDeadline - 600*time.Millisecond)
			if x.CompletedCalls() == reads {
				t.Fatalf("phase %v: the log was not read at all", phase)
			}
			for name, draining := range x.drainStates() {
				if !draining {
					t.Errorf("phase %v: %s still gets work", phase, name)
				}
			}
		})
	}
}

func TestRegistrationExpiredDuringSilentOutageIsHeldAfterRecovery(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		time.Sleep(2 * time.Second)
		x.SetStalled(true)
		time.Sleep(4 * time.Second)
		x.Put(quetzalroad.LogStreamUpstreams, "a", nil)
		x.SetStalled(false)
		time.Sleep(2100 * time.Millisecond)
		if got := len(x.drainStates()); got != 1 {
			t.Errorf("%d upstreams two seconds after the log recovered, want 1", got)
		}
	})
}

func TestRegistrationExpiredDuringOutageIsHeldForGracePeriod(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		x.Put(quetzalroad.LogStreamUpstreams, "b", registration(1, false))
		time.Sleep(2 * time.Second)
		x.SetUnavailable(true)
		time.Sleep(4 * time.Second)
		x.Put(quetzalroad.LogStreamUpstreams, "a", nil)
		x.Put(quetzalroad.LogStreamUpstreams, "b", nil)
		x.SetUnavailable(false)
		time.Sleep(1500 * time.Millisecond)
		if got := len(x.drainStates()); got != 2 {
			t.Fatalf("%d upstreams right after the log recovered, want 2", got)
		}
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(2, false))
		time.Sleep(4 * time.Second)
		if got := x.drainStates(); len(got) != 1 {
			t.Errorf("%v, want only the upstream that was written again", got)
		}
	})
}

func TestNewIncarnationUnderSameKeyGetsNewName(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		before := x.drainStates()
		restarted := registration(1, false)
		restarted.StartedAt = startedAt.Add(time.Minute)
		x.Put(quetzalroad.LogStreamUpstreams, "a", restarted)
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(9, false))
		time.Sleep(3 * time.Second)
		after := x.drainStates()
		if len(after) != 1 {
			t.Fatalf("%v, want one upstream", after)
		}
		for name := range after {
			if _, reused := before[name]; reused {
				t.Errorf("the new incarnation reuses the name %s", name)
			}
			if u, _ := x.node.Directory.Upstream(name); u.Region != "west" || u.InstanceID != "a" {
				t.Errorf("region %q and instance %q, want west and a", u.Region, u.InstanceID)
			}
		}
	})
}

func TestUndecodableRegistrationIsSkipped(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		x.Put(quetzalroad.LogStreamUpstreams, "junk", "not a registration")
		x.Put(quetzalroad.LogStreamUpstreams, "b", registration(1, false))
		time.Sleep(3 * time.Second)
		if got := len(x.drainStates()); got != 2 {
			t.Errorf("%d upstreams, want 2", got)
		}
	})
}

func TestTeamTierTakesPrecedenceOverRouteTier(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		state := publishedState(2)
		state.Routes[0].Profile.Tier, state.Routes[1].Profile.Tier = 2, 1
		highTeam := quetzalroad.Team{Name: "urgent", HasTier: true, Tier: 0}
		lowTeam := quetzalroad.Team{Name: "usual", HasTier: true, Tier: 3}
		state.Teams = append(state.Teams, highTeam, lowTeam)
		x.publish(state)
		time.Sleep(10 * time.Millisecond)
		got := []quetzalroad.Tier{
			x.node.RouteTable.EffectiveTier(1, highTeam), x.node.RouteTable.EffectiveTier(2, highTeam), x.node.RouteTable.EffectiveTier(1, lowTeam), x.node.RouteTable.EffectiveTier(2, lowTeam),
		}
		if diff := cmp.Diff([]quetzalroad.Tier{0, 1, 2, 3}, got); diff != "" {
			t.Errorf("tiers (-want +got):\n%s", diff)
		}
	})
}

// Reads are further apart than the grace period's end may wait.
func TestMissingUpstreamIsRemovedWhenItsGracePeriodEnds(t *testing.T) {
	const (
		grace = 2300 * time.Millisecond
		slack = 100 * time.Millisecond
		step  = 10 * time.Millisecond
	)
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		x.SetUnavailable(true)
		time.Sleep(4 * time.Second)
		x.Put(quetzalroad.LogStreamUpstreams, "a", nil)
		x.SetUnavailable(false)
		recovered := time.Now()
		// The backoff after a failed read is at most a second.
		const mostBackoff = time.Second
		for len(x.drainStates()) > 0 {
			if time.Since(recovered) > mostBackoff+grace+slack {
				t.Fatalf("the upstream is still listed %s after the log recovered", time.Since(recovered))
			}
			time.Sleep(step)
		}
	})
}
