package rotator

import (
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// An explanation that takes a turn would skip an upstream.
func TestExplanationNamesTheNextUpstreamAndTakesNoTurn(t *testing.T) {
	var r Rotator
	all := []quetzalroad.Upstream{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	request := new(quetzalroad.Request)
	for turn := range 7 {
		want := all[turn%len(all)].Name
		for _, c := range r.ExplainChoice(time.Now(), request, all).Candidates {
			if c.CanBeChosen != (c.Upstream.Name == want) {
				t.Errorf("turn %d of %s: %s can be chosen: %t", turn, want, c.Upstream.Name, c.CanBeChosen)
			}
		}
		if got := r.Choose(time.Now(), request, all).Name; got != want {
			t.Errorf("turn %d went to %s, want %s", turn, got, want)
		}
	}
}
