package watcher_test

import (
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// Keys that were asked for must not cease to be asked for because a state says nothing of them.
func TestStateWithoutTeamsOpensNoRoute(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(s *quetzalroad.PublishedState)
		require bool
	}{
		"no teams left":               {func(s *quetzalroad.PublishedState) { s.Teams = nil }, true},
		"teams without keys":          {func(s *quetzalroad.PublishedState) { s.Teams[0].KeyHashes = nil }, true},
		"teams are no longer stated":  {func(s *quetzalroad.PublishedState) { s.Teams, s.Keyless = nil, true }, true},
		"the same teams as before it": {func(*quetzalroad.PublishedState) {}, true},
	} {
		t.Run(name, func(t *testing.T) {
			runWithWatcher(t, func(t *testing.T, x *fixture) {
				state := publishedState(2)
				c.change(&state)
				x.publish(state)
				time.Sleep(time.Second)
				if got := x.node.Freshness.Version(); got != 2 {
					t.Fatalf("version %d in force", got)
				}
				if got := x.node.RouteTable.RequiresKey(); got != c.require {
					t.Errorf("RequiresKey() = %v, want %v", got, c.require)
				}
			})
		})
	}
}

func TestKeysAreRequiredOnceAStateHasTeams(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, x *fixture) {
		state := publishedState(2)
		state.Teams = nil
		x.publish(state)
		time.Sleep(time.Second)
		if _, ok := x.node.Directory.TeamByKey(quetzalroad.HashKey("key")); ok {
			t.Error("the withdrawn key names a team")
		}
		x.publish(publishedState(3))
		time.Sleep(time.Second)
		if _, ok := x.node.Directory.TeamByKey(quetzalroad.HashKey("key")); !ok || !x.node.RouteTable.RequiresKey() {
			t.Error("the key that is back names no team, or none is required")
		}
	})
}
