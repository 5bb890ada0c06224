package watcher

import (
	"sync"
	"testing"

	"github.com/quetzalroad/quetzalroad"
)

// While operators move a key from one team to another, requests with it must not be refused.
func TestMovingKeyAlwaysNamesATeam(t *testing.T) {
	moving := quetzalroad.HashKey("moving")
	team := func(name quetzalroad.TeamName, keys ...quetzalroad.KeyHash) quetzalroad.Team {
		return quetzalroad.Team{Name: name, KeyHashes: keys}
	}
	for name, states := range map[string][2][]quetzalroad.Team{
		"to another team":           {{team("a", moving), team("b")}, {team("a"), team("b", moving)}},
		"to one listed earlier":     {{team("a"), team("b", moving)}, {team("a", moving), team("b")}},
		"from a team that is gone":  {{team("a", moving)}, {team("b", moving)}},
		"and another the other way": {{team("a", moving), team("b"), team("c")}, {team("b"), team("c", moving)}},
	} {
		t.Run(name, func(t *testing.T) {
			const changes = 3000
			var w Watcher
			w.replaceTeams(states[0])
			done := make(chan struct{})
			var group sync.WaitGroup
			group.Go(func() {
				for {
					if _, ok := w.store.TeamByKey(moving); !ok {
						t.Error("the key names no team")
						return
					}
					select {
					case <-done:
						return
					default:
					}
				}
			})
			for i := range changes {
				w.replaceTeams(states[(i+1)%2])
			}
			close(done)
			group.Wait()
		})
	}
}
