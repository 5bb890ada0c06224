package separator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// situation is a separator with random engines, loads and demand.
type situation struct {
	separator  *Separator
	candidates []quetzalroad.Upstream
	request    *quetzalroad.Request
	now        time.Time
}

// newSituation returns the same situation for the same seed.
func newSituation(t *testing.T, seed uint64) *situation {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	l := newFakeLoads()
	l.latency, l.occupied = make(map[quetzalroad.UpstreamName]time.Duration), make(map[quetzalroad.UpstreamName]int)
	states := make(map[quetzalroad.UpstreamName]quetzalroad.ThrottleState)
	x := &situation{separator: newSeparator(t, l), candidates: newEngines(1 + rng.IntN(24)), now: time.Unix(1000, 0)}
	x.separator.random.SetSeed(1 + int(seed))
	suspectShare, limitShare := rng.Float64()*rng.Float64(), rng.Float64()*rng.Float64()
	for _, u := range x.candidates {
		l.running[u.Name], l.occupied[u.Name] = rng.IntN(80), rng.IntN(100)
		l.latency[u.Name] = time.Duration(rng.IntN(4)*rng.IntN(40)) * time.Millisecond
		l.suspect[u.Name] = rng.Float64() < suspectShare
		if rng.Float64() < limitShare {
			states[u.Name] = quetzalroad.ThrottleState(rng.IntN(4))
		}
	}
	x.separator.throttler = fakeThrottler{states: states}
	for range rng.IntN(60) {
		x.separator.Choose(x.now, newRequest(rng.IntN(6000), rng.Uint64N(4)), x.candidates)
		x.now = x.now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
	x.request = newRequest(rng.IntN(6000), rng.Uint64N(4))
	if rng.IntN(5) == 0 {
		x.request.Model = ""
	}
	return x
}

const situations = 300

// An explanation from other code than the decision would name another upstream than the one that gets the request.
func TestExplanationAgreesWithChoice(t *testing.T) {
	excluded := 0
	for seed := range uint64(situations) {
		x := newSituation(t, seed)
		explained := x.separator.ExplainChoice(x.now, x.request, x.candidates)
		// The bounds of the costs have to hold by themselves, without what the draws show.
		bounds := newPricer(x.separator.rehearsal(x.request.Service.Name), x.now, x.request, x.candidates)
		bounds.addAll(x.candidates)
		bounds.markChoosable()
		chances := 0.0
		for _, c := range explained.Candidates {
			chances += c.Chance
			canBeChosen := bounds.priced[c.Upstream.Name].CanBeChosen
			if c.Chance > 0 && !canBeChosen {
				t.Errorf("seed %d: %s has chance %g and is out of the bounds", seed, c.Upstream.Name, c.Chance)
			}
			if !canBeChosen {
				excluded++
			}
		}
		if chances < 0.999 || chances > 1.001 {
			t.Errorf("seed %d: chances add up to %g", seed, chances)
		}
		for draw := 1; draw < 8; draw++ {
			rehearsal := x.separator.rehearsal(x.request.Service.Name)
			rehearsal.random.SetSeed(draw)
			want := rehearsal.Choose(x.now, x.request, x.candidates).Name
			live := newSituation(t, seed).separator
			live.random.SetSeed(draw)
			if got := live.Choose(x.now, x.request, x.candidates).Name; got != want {
				t.Fatalf("seed %d, draw %d: explained %s, chosen %s", seed, draw, want, got)
			}
			if !bounds.priced[want].CanBeChosen {
				t.Errorf("seed %d, draw %d: %s was chosen and is explained as impossible", seed, draw, want)
			}
		}
	}
	if excluded == 0 {
		t.Error("no candidate of any situation is explained as impossible")
	}
}

// An explanation that records the request would shift the mix, and with it the pools and the owners of prefixes.
func TestExplanationChangesNoLaterChoice(t *testing.T) {
	for seed := range uint64(situations) {
		var choices [2][]quetzalroad.UpstreamName
		for i := range choices {
			x := newSituation(t, seed)
			x.separator.random.SetSeed(1 + int(seed))
			for p := range 40 {
				r := newRequest(200*p, uint64(p%4))
				if i == 1 && p%20 == 0 {
					x.separator.ExplainChoice(x.now, x.request, x.candidates)
				}
				choices[i] = append(choices[i], x.separator.Choose(x.now, r, x.candidates).Name)
			}
		}
		if diff := cmp.Diff(choices[0], choices[1]); diff != "" {
			t.Fatalf("seed %d (-without +with explanations):\n%s", seed, diff)
		}
	}
}

// A cost without its reason, or a reason that isn't in the cost, misleads the operator.
func TestExplanationNamesWhatCounts(t *testing.T) {
	l := newFakeLoads()
	s := newSeparator(t, l)
	all := newEngines(10)
	u := all[0].Name
	l.latency, l.occupied = map[quetzalroad.UpstreamName]time.Duration{u: time.Second}, map[quetzalroad.UpstreamName]int{u: 64}
	l.running[u], l.suspect[u] = 10, true
	s.shortPoolLatencies.Observe("llm", 20*time.Millisecond)
	s.longPoolLatencies.Observe("llm", 20*time.Millisecond)
	s.region = "elsewhere"
	for tokens, want := range map[int][]quetzalroad.CostPart{
		shortPrompt: {quetzalroad.CostLoad, quetzalroad.CostSlowness, quetzalroad.CostFullness, quetzalroad.CostRegion, quetzalroad.CostSuspect},
		longPrompt:  {quetzalroad.CostLoad, quetzalroad.CostSlowness, quetzalroad.CostUncachedPrompt, quetzalroad.CostRegion, quetzalroad.CostSuspect},
	} {
		x := s.ExplainChoice(time.Unix(1000, 0), newRequest(tokens, 1), all)
		got := make(map[quetzalroad.CostPart]bool)
		for _, i := range x.Candidates[0].Items {
			got[i.Part] = true
		}
		for _, part := range want {
			if !got[part] {
				t.Errorf("%d tokens: %s is missing in %v", tokens, part, got)
			}
		}
	}
}

// An operator who reads that a suspect engine may be chosen looks for a fault that isn't there.
func TestSuspectEngineIsExplainedAsImpossibleWhileOthersAreUsable(t *testing.T) {
	l := newFakeLoads()
	s := newSeparator(t, l)
	all := newEngines(12)
	for _, u := range all[1:] {
		l.suspect[u.Name] = true
	}
	for _, tokens := range []int{0, shortPrompt, longPrompt} {
		for i, c := range s.ExplainChoice(time.Unix(1000, 0), newRequest(tokens, 1), all).Candidates {
			if c.CanBeChosen != (i == 0) {
				t.Errorf("%d tokens: %s can be chosen: %t", tokens, c.Upstream.Name, c.CanBeChosen)
			}
		}
	}
}
