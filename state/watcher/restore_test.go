package watcher_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// restoreTimeout is the time within which a node has to follow a log that was restored.
const restoreTimeout = 3 * time.Second

// incarnation returns the name of the upstream that registered under a key.
func incarnation(key string) quetzalroad.UpstreamName {
	return quetzalroad.IncarnationName(key, startedAt)
}

func TestStateUnderAnOffsetGivenOutAgainIsApplied(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		older := x.Copy()
		x.publish(publishedState(2))
		time.Sleep(time.Second)
		x.SetUnavailable(true)
		time.Sleep(2 * time.Second)
		x.Restore(older)
		x.publish(publishedState(3))
		x.Put(quetzalroad.LogStreamOperators, "another-key", "no state")
		x.SetUnavailable(false)
		time.Sleep(restoreTimeout)
		if got := x.node.Freshness.Version(); got < 3 {
			t.Errorf("version %d in force, want 3", got)
		}
	})
}

func TestUpstreamUnderAnOffsetGivenOutAgainIsListed(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		older := x.Copy()
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(2, false))
		time.Sleep(5 * time.Second)
		x.Restore(older)
		x.Put(quetzalroad.LogStreamUpstreams, "b", registration(1, false))
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(2, false))
		time.Sleep(restoreTimeout)
		want := map[quetzalroad.UpstreamName]bool{incarnation("a"): false, incarnation("b"): false}
		if diff := cmp.Diff(want, x.drainStates()); diff != "" {
			t.Errorf("upstreams (-want +got):\n%s", diff)
		}
	})
}

// lists reports whether the directory has the upstream that registered under a key.
func (x *fixture) lists(key string) bool {
	_, listed := x.drainStates()[incarnation(key)]
	return listed
}

// restoreWith restores the log from a copy, during an outage of two seconds, and writes to it before it is back.
func (x *fixture) restoreWith(c faker.LogCopy, write func()) {
	x.SetUnavailable(true)
	time.Sleep(2 * time.Second)
	x.Restore(c)
	write()
	x.SetUnavailable(false)
	time.Sleep(restoreTimeout)
}

func TestVersionInForceOutlivesARestore(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		older := x.Copy()
		x.publish(publishedState(3))
		time.Sleep(time.Second)
		x.restoreWith(older, func() { x.publish(publishedState(2)) })
		if got := x.routedService(t, "/v/x"); got != "service-3" {
			t.Errorf("routed to %q after an older version was restored, want service-3", got)
		}
	})
}

// What was published in the lost seconds is published again, perhaps with other content.
func TestVersionGivenOutAgainWithOtherContentIsApplied(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		older := x.Copy()
		x.publish(publishedState(3))
		time.Sleep(time.Second)
		another := publishedState(3)
		another.Routes = publishedState(4).Routes
		x.restoreWith(older, func() { x.publish(another) })
		if got := x.routedService(t, "/v/x"); got != "service-4" {
			t.Errorf("routed to %q, want service-4 as published after the restore", got)
		}
		// In one epoch a version has one content.
		x.publish(publishedState(3))
		time.Sleep(time.Second)
		if got := x.routedService(t, "/v/x"); got != "service-4" {
			t.Errorf("routed to %q after the same version came again, want service-4", got)
		}
	})
}

func TestUpstreamThatLeftDoesNotReturnWithARestore(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		// The copy holds a later sequence number than the node has read.
		before := x.Copy()
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(5, false))
		older := x.Copy()
		x.Restore(before)
		time.Sleep(5 * time.Second)
		x.Put(quetzalroad.LogStreamUpstreams, "a", nil)
		time.Sleep(5 * time.Second)
		if got := x.drainStates(); len(got) != 0 {
			t.Fatalf("upstreams %v after the only one left", got)
		}
		x.restoreWith(older, func() {})
		if x.lists("a") {
			t.Error("an upstream that left is listed after a restore")
		}
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(5, false))
		time.Sleep(restoreTimeout)
		if !x.lists("a") {
			t.Error("an upstream that registered after the restore is not listed")
		}
	})
}

func TestDrainAnnouncedInLostRecordsHolds(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		older := x.Copy()
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(2, true))
		time.Sleep(5 * time.Second)
		x.restoreWith(older, func() { x.Put(quetzalroad.LogStreamUpstreams, "a", registration(1, false)) })
		want := map[quetzalroad.UpstreamName]bool{incarnation("a"): true}
		if diff := cmp.Diff(want, x.drainStates()); diff != "" {
			t.Errorf("upstreams (-want +got):\n%s", diff)
		}
	})
}

func TestUpstreamWhoseRegistrationWasLostIsKeptUntilItRegistersAgain(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		older := x.Copy()
		x.Put(quetzalroad.LogStreamUpstreams, "b", registration(1, false))
		time.Sleep(5 * time.Second)
		x.Restore(older)
		for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(50 * time.Millisecond) {
			if !x.lists("b") {
				t.Fatalf("removed %s after the restore", time.Since(start))
			}
		}
		x.Put(quetzalroad.LogStreamUpstreams, "b", registration(1, false))
		time.Sleep(10 * time.Second)
		if !x.lists("b") {
			t.Error("not listed although it registered again")
		}
	})
}

func TestUpstreamThatRegistersAgainLateIsListedAgain(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		older := x.Copy()
		x.Put(quetzalroad.LogStreamUpstreams, "b", registration(1, false))
		time.Sleep(5 * time.Second)
		x.Restore(older)
		time.Sleep(10 * time.Second)
		if x.lists("b") {
			t.Fatal("listed ten seconds after its registration was lost")
		}
		x.Put(quetzalroad.LogStreamUpstreams, "b", registration(1, false))
		time.Sleep(restoreTimeout)
		if !x.lists("b") {
			t.Error("not listed although it registered again")
		}
	})
}

// An older registration shows that the upstream's key is in use.
func TestUpstreamThatRegistersAgainInAnyOrderIsKept(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		older := x.Copy()
		x.Put(quetzalroad.LogStreamUpstreams, "b", registration(1, false))
		x.Put(quetzalroad.LogStreamUpstreams, "b", registration(2, false))
		time.Sleep(5 * time.Second)
		x.Restore(older)
		time.Sleep(1500 * time.Millisecond)
		x.Put(quetzalroad.LogStreamUpstreams, "b", registration(1, false))
		time.Sleep(10 * time.Second)
		if !x.lists("b") {
			t.Error("removed although it registered again")
		}
	})
}

// Views of the directory are cached by revision and by applied offset.
func TestRevisionsAreNotGivenOutAgain(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		type seen struct {
			revision quetzalroad.Revision
			applied  quetzalroad.Offset
		}
		look := func() seen {
			u, _ := x.node.Directory.Upstream(incarnation("a"))
			return seen{revision: u.Revision, applied: x.node.Directory.AppliedOffset()}
		}
		older := x.Copy()
		larger := registration(2, false)
		larger.Upstream.MaxConcurrency = 9
		x.Put(quetzalroad.LogStreamUpstreams, "a", larger)
		x.publish(publishedState(2))
		time.Sleep(5 * time.Second)
		before := look()
		smaller := registration(3, false)
		smaller.Upstream.MaxConcurrency = 1
		x.restoreWith(older, func() {
			x.Put(quetzalroad.LogStreamUpstreams, "a", smaller)
			x.publish(publishedState(3))
		})
		after := look()
		if before.revision == after.revision || before.applied == after.applied {
			t.Errorf("%+v before and %+v after other records under the same offsets", before, after)
		}
	})
}
