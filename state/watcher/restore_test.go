package watcher_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// restoreTimeout is the time within which a node has to follow a log that was restored.
const restoreTimeout = 3 * time.Second

// incarnation returns the name of the upstream that registered under a key.
func incarnation(key string) quetzalroad.UpstreamName {
	return quetzalroad.UpstreamName(key + "@" + strconv.FormatInt(startedAt.UnixMilli(), 36))
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
