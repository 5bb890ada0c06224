package leaser_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// disturb makes one thing go wrong, or ends one that did.
func (sim *simulation) disturb(i int, copies []faker.LogCopy) {
	p := sim.processes[i]
	if holder := sim.holder(); holder != nil && sim.chance(0.6) {
		p = holder
	}
	switch kind := int(sim.upTo(10)); kind {
	case 0:
		p.freeze(sim.upTo(8 * time.Second))
	case 1, 2:
		p.cut(duration + sim.upTo(5*time.Second))
	case 3:
		p.node.Kill()
		sim.processes[p.index] = sim.start(p.index)
	case 4:
		go p.node.Stop(sim.t.Context())
		sim.processes[p.index] = sim.start(p.index)
	case 5:
		sim.log.SetUnavailable(true)
		time.Sleep(sim.upTo(6 * time.Second))
		sim.log.SetUnavailable(false)
	case 6:
		sim.log.Restore(copies[int(sim.upTo(time.Duration(len(copies))))])
	case 7:
		p.setLossy(0)
	case 8:
		p.stepClock()
	default:
		p.setLossy(float64(sim.upTo(time.Second)) / float64(time.Second))
	}
}

// holder returns a process that holds the lease by its own account; nil if there is none.
func (sim *simulation) holder() *process {
	for _, p := range sim.processes {
		if p.holds() {
			return p
		}
	}
	return nil
}

// runRandomly disturbs a fleet for a while, and returns the violations of the platform's rules.
func runRandomly(t *testing.T, seed uint64, f faults) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, steps, keptCopies = 6, 200, 5
		sim := newSimulation(t, nodes, seed, 0.5, f)
		defer sim.end()
		var copies []faker.LogCopy
		for range steps {
			time.Sleep(sim.upTo(4 * time.Second))
			copies = append(copies, sim.log.Copy())
			copies = copies[max(0, len(copies)-keptCopies):]
			sim.disturb(int(sim.upTo(nodes)), copies)
		}
		for _, p := range sim.processes {
			p.setLossy(0)
		}
		time.Sleep(30 * time.Second)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		violations = sim.violations
		if last := sim.accepted[len(sim.accepted)-1]; time.Since(last.at) > 5*time.Second {
			t.Errorf("seed %d: the last command arrived %s ago, though nothing fails", seed, time.Since(last.at))
		}
		t.Logf("seed %d: %d commands under %d tokens", seed, len(sim.accepted), len(sim.holders))
	})
	return violations
}

// Two nodes would act at once, a late command would arrive behind those of the next holder, or a report would be sent
// with two contents.
func TestRulesHoldWhateverFails(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			for _, v := range runRandomly(t, seed, faults{}) {
				t.Error(v)
			}
		})
	}
}

// The run above would say nothing if it didn't notice a lease without its safeguards.
func TestPlantedFaultsBreakTheRules(t *testing.T) {
	for name, f := range map[string]faults{"no margin": {noMargin: true}, "token kept in memory only": {forgetTokens: true}, "acting without checking": {unchecked: true}} {
		t.Run(name, func(t *testing.T) {
			for i := range uint64(20) {
				// Those are the seeds with short intervals.
				seed := 2*i + 1
				if violations := runRandomly(t, seed, f); len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Error("no rule was broken")
		})
	}
}
