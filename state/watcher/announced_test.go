package watcher_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// What an upstream says of itself holds before its registration says so, while the log is away, and after an
// older registration is read.
func TestAnnouncedDrainHoldsWhateverTheRegistrationSays(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(1, false))
		time.Sleep(3 * time.Second)
		name := x.node.Directory.Upstreams()[0].Name
		check := func(when string) {
			t.Helper()
			if diff := cmp.Diff(map[quetzalroad.UpstreamName]bool{name: true}, x.drainStates()); diff != "" {
				t.Errorf("%s (-want +got):\n%s", when, diff)
			}
		}
		x.node.DrainMarker.MarkDraining(name)
		check("at once")
		x.SetUnavailable(true)
		time.Sleep(5 * time.Second)
		check("while the log is away")
		x.SetUnavailable(false)
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(2, false))
		time.Sleep(5 * time.Second)
		check("after another registration that says ready")
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(1, false))
		time.Sleep(5 * time.Second)
		check("after an older registration")
	})
}

// The mark belongs to one incarnation.
func TestRebornUpstreamIsFreeOfAnAnnouncedDrain(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		x.Put(quetzalroad.LogStreamUpstreams, "a", registration(1, false))
		time.Sleep(3 * time.Second)
		first := x.node.Directory.Upstreams()[0].Name
		x.node.DrainMarker.MarkDraining(first)
		reborn := registration(1, false)
		reborn.StartedAt = startedAt.Add(time.Minute)
		x.Put(quetzalroad.LogStreamUpstreams, "a", reborn)
		time.Sleep(3 * time.Second)
		for name, draining := range x.drainStates() {
			if name == first || draining {
				t.Errorf("upstream %s, draining %v", name, draining)
			}
		}
		// A late response of the former incarnation marks nobody.
		x.node.DrainMarker.MarkDraining(first)
		for name, draining := range x.drainStates() {
			if draining {
				t.Errorf("upstream %s drains because of a former incarnation", name)
			}
		}
	})
}
