package estimator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// fakeLoads is a load tracker with fixed estimates.
type fakeLoads struct {
	quetzalroad.LoadTracker
	estimates map[quetzalroad.UpstreamName]quetzalroad.LoadEstimate
}

func (l fakeLoads) Estimate(u quetzalroad.UpstreamName, _ time.Time) quetzalroad.LoadEstimate {
	return l.estimates[u]
}

// newSituation returns an estimator, a request and candidates, the same for the same seed.
func newSituation(t *testing.T, seed uint64) (*Estimator, *quetzalroad.Request, []quetzalroad.Upstream) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	l := fakeLoads{estimates: make(map[quetzalroad.UpstreamName]quetzalroad.LoadEstimate)}
	var all []quetzalroad.Upstream
	for i := range 1 + rng.IntN(30) {
		u := quetzalroad.Upstream{Name: quetzalroad.UpstreamName(fmt.Sprintf("u%02d", i)), MaxConcurrency: 1 + rng.IntN(64)}
		l.estimates[u.Name] = quetzalroad.LoadEstimate{
			Running: rng.IntN(80), Suspect: rng.IntN(5) == 0, InterTokenLatency: time.Duration(rng.IntN(100)) * time.Millisecond,
		}
		all = append(all, u)
	}
	e := new(Estimator)
	e.Declare(new(configloader.Section))
	if err := e.Build(&kernel.Node{LoadTracker: l}); err != nil {
		t.Fatal(err)
	}
	e.random.SetSeed(1 + int(seed))
	r := &quetzalroad.Request{PrefixHash: rng.Uint64N(4), Profile: quetzalroad.Profile{Preemptible: rng.IntN(2) == 0}}
	for range rng.IntN(20) {
		e.Choose(time.Unix(1000, 0), r, all)
	}
	return e, r, all
}

// An explanation from other code than the decision, or one that changes the usual latency, would name another
// upstream than the one that gets the request.
func TestExplanationAgreesWithChoice(t *testing.T) {
	now := time.Unix(1000, 0)
	for seed := range uint64(300) {
		e, r, all := newSituation(t, seed)
		choosable := make(map[quetzalroad.UpstreamName]bool)
		for _, c := range e.ExplainChoice(now, r, all).Candidates {
			choosable[c.Upstream.Name] = c.CanBeChosen
			if c.Chance > 0 && !c.CanBeChosen {
				t.Errorf("seed %d: %s has a chance and is explained as impossible", seed, c.Upstream.Name)
			}
		}
		unexplained, _, _ := newSituation(t, seed)
		for range 20 {
			got, want := e.Choose(now, r, all).Name, unexplained.Choose(now, r, all).Name
			if got != want {
				t.Fatalf("seed %d: %s was chosen after an explanation, %s without", seed, got, want)
			}
			if e.rehearsal("").latencies.Median("") != e.latencies.Median("") {
				t.Fatalf("seed %d: the explanation knows another usual latency", seed)
			}
		}
		for range 20 {
			rehearsal := e.rehearsal("")
			rehearsal.random.SetSeed(1)
			e.random.SetSeed(1)
			if want, got := rehearsal.Choose(now, r, all).Name, e.Choose(now, r, all).Name; got != want {
				t.Fatalf("seed %d: explained %s, chosen %s", seed, want, got)
			}
		}
	}
}

// Preemptible work on an upstream that is kept free of it would be explained, and not happen.
func TestExplanationKeepsPreemptibleWorkOffReservedUpstreams(t *testing.T) {
	for seed := range uint64(100) {
		e, r, all := newSituation(t, seed)
		for i, c := range e.ExplainChoice(time.Unix(1000, 0), r, all).Candidates {
			low, _ := e.eligibleRange(r, len(all))
			if reserved := i < low; reserved != (c.Pool == quetzalroad.PoolReserved) || reserved && c.CanBeChosen {
				t.Errorf("seed %d: %s is in pool %q, can be chosen: %t", seed, c.Upstream.Name, c.Pool, c.CanBeChosen)
			}
		}
	}
}
