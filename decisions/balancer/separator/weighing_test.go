package separator

import (
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// The owner of a prefix is left only on evidence: leaving it without means to prefill the prefix again, and staying
// in spite of it means to wait longer than prefilling takes.
func TestOwnerIsLeftOnlyOnEvidence(t *testing.T) {
	prompt := weighedPrompt{shared: 6000, unshared: 3000, output: 100}
	idle := engineState{slots: 24, slowness: 1}
	manyPrefixes := prefixDemand{prompts: 32, distinct: 32, meanShared: 6000, meanOther: 3000, scale: 50}
	for name, c := range map[string]struct {
		owner  engineState
		demand prefixDemand
		cache  int
		off    bool
		leaves bool
	}{
		"nothing is known":                  {owner: idle},
		"moderately busy":                   {owner: engineState{slots: 24, running: 6, occupancy: 12, slowness: 1}},
		"all slots taken, none waits":       {owner: engineState{slots: 24, running: 6, occupancy: 24, slowness: 1}},
		"requests wait for slots":           {owner: engineState{slots: 24, running: 6, occupancy: 32, slowness: 1}, leaves: true},
		"requests wait, but not weighed":    {owner: engineState{slots: 24, running: 6, occupancy: 32, slowness: 1}, off: true},
		"slow with many requests":           {owner: engineState{slots: 24, running: 6, occupancy: 16, slowness: 2}, leaves: true},
		"long steps with few requests":      {owner: engineState{slots: 24, running: 2, occupancy: 3, slowness: 2}},
		"its memory holds all prefixes":     {owner: idle, demand: manyPrefixes, cache: 2000000},
		"prefix is gone, and another queue": {owner: engineState{slots: 24, running: 4, slowness: 1}, demand: manyPrefixes, cache: 20000, leaves: true},
		"prefix is gone, but not weighed":   {owner: engineState{slots: 24, running: 4, slowness: 1}, demand: manyPrefixes, cache: 20000, off: true},
		"memory unknown":                    {owner: engineState{slots: 24, running: 4, slowness: 1}, demand: manyPrefixes},
		"demand unknown":                    {owner: engineState{slots: 24, running: 4, slowness: 1}, cache: 20000},
		"prompt does not fit, queue":        {owner: engineState{slots: 24, running: 1, slowness: 1}, cache: 5000, leaves: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := weighing{weight: 1, requestCost: 350, slotCost: 1000, busyShare: 0.5, slowLimit: 2}
			if c.off {
				w.weight = 0
			}
			const engines = 10
			held := w.ownerProbability(c.cache, prompt, c.demand, c.owner.running, engines)
			cost := func(e engineState, held float64) float64 {
				return w.queue(e)*e.slowness + w.slotWait(e) + w.prefill(prompt, e, held)
			}
			if leaves := cost(c.owner, held) > cost(idle, 0); leaves != c.leaves {
				t.Errorf("leaves the owner: %v, want %v", leaves, c.leaves)
			}
		})
	}
}

// A frequent prefix is used again before others displace it.
func TestFrequentPrefixIsHeldWhereOthersAreNot(t *testing.T) {
	rare := prefixDemand{prompts: 32, distinct: 30, meanShared: 6000, meanOther: 3000, scale: 50}
	frequent := rare
	frequent.share = 0.2
	const cache, engines = 100000, 10
	if p := heldProbability(cache, rare, 0, engines); p > 0.9 {
		t.Errorf("a rare prefix is held with probability %.2f", p)
	}
	if p := heldProbability(cache, frequent, 0, engines); p != 1 {
		t.Errorf("a frequent prefix is held with probability %.2f, want 1", p)
	}
}

// A cached prefix must not bring long prompts to the engines for short ones, whose steps they would delay.
func TestLongPromptsStayInTheirPoolWhenOwnersAreFull(t *testing.T) {
	loads := newFakeLoads()
	s := newSeparator(t, loads)
	s.weighing.weight = 1
	all := newEngines(10)
	order, shortCount := s.partitionEngines(time.Unix(1000, 0), "llm", all)
	loads.occupied = make(map[quetzalroad.UpstreamName]int)
	for _, u := range order[shortCount:] {
		loads.occupied[u.Name] = u.MaxConcurrency + 8
	}
	for p := range 50 {
		u := s.Choose(time.Unix(1000, 0), newRequest(9000, uint64(p+1)), all)
		for _, short := range order[:shortCount] {
			if u.Name == short.Name {
				t.Fatalf("a long prompt went to %s, an engine for short ones", u.Name)
			}
		}
	}
}
