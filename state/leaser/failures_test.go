package leaser_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// runFleet runs a test on three nodes of which one has held the lease for a while.
func runFleet(t *testing.T, lateShare float64, f func(t *testing.T, sim *simulation, holder *process)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 3, 0, lateShare, faults{})
		defer sim.end()
		time.Sleep(15 * time.Second)
		f(t, sim, sim.awaitHolder(t, nil, 0))
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for _, v := range sim.violations {
			t.Error(v)
		}
	})
}

// awaitHolder waits until a process other than a given one holds the lease.
func (sim *simulation) awaitHolder(t *testing.T, other *process, timeout time.Duration) *process {
	t.Helper()
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		for _, p := range sim.processes {
			if p != other && p.holds() {
				return p
			}
		}
		if time.Since(start) > timeout {
			t.Fatalf("no process holds the lease after %s", timeout)
		}
	}
}

func token(t *testing.T, p *process) quetzalroad.FencingToken {
	t.Helper()
	h, held := p.node.Leaser.Holder()
	if !held {
		t.Fatal("no holder is known")
	}
	return h.Token
}

// The duties would end with their holder, or start on another node while its commands may arrive.
func TestAnotherNodeTakesOverOnceTheLeaseIsOver(t *testing.T) {
	for name, fail := range map[string]func(p *process){
		"killed":       func(p *process) { p.node.Kill() },
		"frozen":       func(p *process) { p.freeze(time.Minute) },
		"disconnected": func(p *process) { p.cut(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 0, func(t *testing.T, sim *simulation, holder *process) {
				before, failedAt := token(t, holder), time.Now()
				fail(holder)
				next := sim.awaitHolder(t, holder, takeOver+time.Second)
				if after := time.Since(failedAt); after < takeOver-sim.renewEvery {
					t.Errorf("taken over after %s", after)
				}
				if got := token(t, next); got != before+1 {
					t.Errorf("token %d after %d", got, before)
				}
			})
		})
	}
}

// Two nodes would act if one took over without the log's consent, and none if nobody tried again.
func TestNoNodeHoldsTheLeaseWithoutTheLog(t *testing.T) {
	for name, set := range map[string]func(sim *simulation, failed bool){
		"down":   func(sim *simulation, failed bool) { sim.log.SetUnavailable(failed) },
		"silent": func(sim *simulation, failed bool) { sim.log.SetStalled(failed) },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 0, func(t *testing.T, sim *simulation, _ *process) {
				set(sim, true)
				for range 20 {
					time.Sleep(duration)
					for _, p := range sim.processes {
						if p.holds() {
							t.Errorf("%s holds the lease", p.name)
						}
					}
				}
				set(sim, false)
				sim.awaitHolder(t, nil, 2*time.Second)
			})
		})
	}
}

// Each lost response would cost a change of the holder, or make a holder act on a renewal that the log doesn't have.
func TestHolderKeepsItsTokenWhenCallsAndResponsesAreLost(t *testing.T) {
	runFleet(t, 0, func(t *testing.T, _ *simulation, holder *process) {
		before := token(t, holder)
		for range 20 {
			holder.setLossy(1)
			time.Sleep(1200 * time.Millisecond)
			holder.setLossy(0)
			time.Sleep(8 * time.Second)
		}
		if got := token(t, holder); got != before || holder.count("lease-losses") != "0" || holder.count("lease-renewal-failures") == "0" {
			t.Errorf("token %d, want %d; %s losses, %s failures of renewals", got, before, holder.count("lease-losses"), holder.count("lease-renewal-failures"))
		}
	})
}

// A node that stops would leave the duties undone for seconds, or hand them over while a command may arrive.
func TestStoppingHolderHandsOverUnlessACommandMayBeInFlight(t *testing.T) {
	for name, lateShare := range map[string]float64{"confirmed": 0, "unconfirmed": 1} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, lateShare, func(t *testing.T, sim *simulation, holder *process) {
				before, stoppedAt := token(t, holder), time.Now()
				go holder.node.Stop(t.Context())
				next := sim.awaitHolder(t, holder, takeOver+time.Second)
				if after := time.Since(stoppedAt); (after > 2*time.Second) != (lateShare > 0) {
					t.Errorf("taken over after %s", after)
				}
				if got := token(t, next); got != before+1 {
					t.Errorf("token %d after %d", got, before)
				}
			})
		})
	}
}

// A restored log would issue tokens and accept states a second time. A write that was sent before the restore may be
// stored after it, and would replace the lease that was granted since.
func TestRestoredLogIssuesHigherTokensAndIgnoresWritesOfBefore(t *testing.T) {
	runFleet(t, 0, func(t *testing.T, sim *simulation, holder *process) {
		older := sim.log.Copy()
		records, _, err := sim.log.ReadLatest(t.Context(), quetzalroad.LogStreamLeases)
		if err != nil || len(records) != 1 {
			t.Fatalf("%d records, error %v", len(records), err)
		}
		time.Sleep(5 * time.Second)
		before := token(t, holder)
		sim.log.Restore(older)
		time.Sleep(2 * takeOver)
		next := sim.awaitHolder(t, nil, 0)
		after, losses := token(t, next), next.count("lease-losses")
		if after>>32 != 2 || after <= before {
			t.Errorf("token %d after %d", after, before)
		}
		_, bounds, err := sim.log.ReadLatest(t.Context(), quetzalroad.LogStreamLeases)
		if err == nil {
			_, err = sim.log.PutKeyedAt(t.Context(), quetzalroad.LogStreamLeases, records[0].Key, records[0].Value, bounds.End)
		}
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * takeOver)
		if got := token(t, next); got != after || next.count("lease-losses") != losses {
			t.Errorf("token %d after a late write, want %d; %s losses, before %s", got, after, next.count("lease-losses"), losses)
		}
	})
}
