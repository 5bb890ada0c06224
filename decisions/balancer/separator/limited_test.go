package separator

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// fakeThrottler holds the states of the upstreams that state limits.
type fakeThrottler struct {
	quetzalroad.Throttler
	states map[quetzalroad.UpstreamName]quetzalroad.ThrottleState
}

func (f fakeThrottler) HasLimits() bool { return len(f.states) > 0 }

func (f fakeThrottler) State(_ time.Time, u quetzalroad.UpstreamName) quetzalroad.ThrottleState {
	return f.states[u]
}

// chooseOften returns how often each of ten engines is chosen for a prompt.
func chooseOften(t *testing.T, states map[quetzalroad.UpstreamName]quetzalroad.ThrottleState, promptTokens int) map[quetzalroad.UpstreamName]int {
	t.Helper()
	s := new(Separator)
	s.Declare(new(configloader.Section))
	if err := s.Build(&kernel.Node{LoadTracker: &fakeLoads{}, Throttler: fakeThrottler{states: states}}); err != nil {
		t.Fatal(err)
	}
	var engines []quetzalroad.Upstream
	for i := range 10 {
		engines = append(engines, quetzalroad.Upstream{Name: quetzalroad.UpstreamName(fmt.Sprintf("e%d", i)), MaxConcurrency: 64})
	}
	chosen := make(map[quetzalroad.UpstreamName]int)
	for i := range 200 {
		r := &quetzalroad.Request{Service: quetzalroad.Service{Name: "s"}, Model: "m", PromptTokens: promptTokens, SharedPromptTokens: promptTokens / 2, PrefixHash: uint64(i + 1)}
		chosen[s.Choose(time.Now(), r, engines).Name]++
	}
	return chosen
}

const (
	shortPrompt = 500
	longPrompt  = 9000
)

func TestExhaustedEnginesAreNotChosen(t *testing.T) {
	states := make(map[quetzalroad.UpstreamName]quetzalroad.ThrottleState)
	for i := range 7 {
		states[quetzalroad.UpstreamName(fmt.Sprintf("e%d", i))] = quetzalroad.ThrottleExhausted
	}
	for _, tokens := range []int{shortPrompt, longPrompt} {
		for u, count := range chooseOften(t, states, tokens) {
			if states[u] == quetzalroad.ThrottleExhausted {
				t.Errorf("%s was chosen %d times for prompts of %d tokens", u, count, tokens)
			}
		}
	}
}

// A limit counts requests of any size.
func TestLongPromptsGetStatedLimitsFirst(t *testing.T) {
	open := map[quetzalroad.UpstreamName]quetzalroad.ThrottleState{"e0": quetzalroad.ThrottleOpen}
	if got := chooseOften(t, open, shortPrompt)["e0"]; got > 0 {
		t.Errorf("short prompts took %d parts of a limit that long ones may need", got)
	}
	spare := map[quetzalroad.UpstreamName]quetzalroad.ThrottleState{"e0": quetzalroad.ThrottleSpare}
	if got := chooseOften(t, spare, shortPrompt)["e0"]; got == 0 {
		t.Error("short prompts leave a part of a limit unused that is lost otherwise")
	}
	if got := chooseOften(t, spare, longPrompt)["e0"]; got == 0 {
		t.Error("long prompts leave a part of a limit unused that is lost otherwise")
	}
}

// A pool of engines that take little work would leave its requests to few others.
func TestEnginesWithLimitsAreInNoPool(t *testing.T) {
	states := make(map[quetzalroad.UpstreamName]quetzalroad.ThrottleState)
	for i := range 6 {
		states[quetzalroad.UpstreamName(fmt.Sprintf("e%d", i))] = quetzalroad.ThrottleExhausted
	}
	long, short := chooseOften(t, states, longPrompt), chooseOften(t, states, shortPrompt)
	if len(long) == 0 || len(short) == 0 || len(long)+len(short) < 4 {
		t.Errorf("long prompts went to %v, short ones to %v of four engines", long, short)
	}
}

func TestAllEnginesWithLimits(t *testing.T) {
	states := make(map[quetzalroad.UpstreamName]quetzalroad.ThrottleState)
	for i := range 10 {
		states[quetzalroad.UpstreamName(fmt.Sprintf("e%d", i))] = quetzalroad.ThrottleExhausted
	}
	states["e3"] = quetzalroad.ThrottleSpare
	for _, tokens := range []int{shortPrompt, longPrompt} {
		if got := chooseOften(t, states, tokens)["e3"]; got != 200 {
			t.Errorf("the only engine that takes a request was chosen %d times of 200 for prompts of %d tokens", got, tokens)
		}
	}
}
