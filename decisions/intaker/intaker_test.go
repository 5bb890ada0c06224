package intaker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// build returns an Intaker with defaults for the limits of a process.
func build(t *testing.T, limits quetzalroad.ProcessLimits) *Intaker {
	t.Helper()
	in := new(Intaker)
	in.Declare(new(configloader.Section))
	if err := in.Build(&kernel.Node{Limits: limits}); err != nil {
		t.Fatal(err)
	}
	return in
}

func connect(t *testing.T, in *Intaker, interrupt func()) quetzalroad.IntakeAccount {
	t.Helper()
	a, refusal := in.Connect(interrupt, interrupt)
	if refusal != nil {
		t.Fatal(refusal)
	}
	return a
}

// Defaults that don't follow the limits of the process let it exceed them, or refuse callers where none are known.
func TestDefaultsFollowTheLimitsOfTheProcess(t *testing.T) {
	type bounds struct{ Connections, Bytes int }
	const unlimited = 1<<63 - 1
	for name, c := range map[string]struct {
		limits quetzalroad.ProcessLimits
		want   bounds
	}{
		"none known":  {quetzalroad.ProcessLimits{}, bounds{unlimited, unlimited}},
		"descriptors": {quetzalroad.ProcessLimits{Descriptors: 4100}, bounds{3075, unlimited}},
		"both":        {quetzalroad.ProcessLimits{Descriptors: 4100, MemoryBytes: 112 << 20}, bounds{1792, 112 << 20 / 5}},
	} {
		t.Run(name, func(t *testing.T) {
			in := build(t, c.limits)
			if diff := cmp.Diff(c.want, bounds{in.connections.max, in.ledger.capacity}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Ordinary requests were refused while large ones held all memory.
func TestOrdinaryRequestsFitWhileLargeOnesHoldAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := build(t, quetzalroad.ProcessLimits{MemoryBytes: 50 << 20})
		large := connect(t, in, func() {})
		large.SetUrgency(0, time.Time{})
		if err := large.Hold(t.Context(), in.freeBytes+10<<20); err != nil {
			t.Fatal(err)
		}
		if err := connect(t, in, func() {}).Hold(t.Context(), in.freeBytes); err != nil {
			t.Error(err)
		}
	})
}

// A request was refused without waiting, or waited without end, or a refusal left memory in use.
func TestRequestsWaitWithinTheirTime(t *testing.T) {
	for name, c := range map[string]struct {
		releaseAfter time.Duration
		want         time.Duration
		refused      bool
	}{
		"memory comes free":          {time.Second, time.Second, false},
		"memory doesn't come free":   {time.Hour, 2 * time.Second, true},
		"the holder has to give way": {0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := build(t, quetzalroad.ProcessLimits{MemoryBytes: 50 << 20})
				var holder quetzalroad.IntakeAccount
				holder = connect(t, in, func() { holder.Release() })
				holder.SetUrgency(3, time.Time{})
				if err := holder.Hold(t.Context(), in.freeBytes+10<<20); err != nil {
					t.Fatal(err)
				}
				if c.releaseAfter > 0 {
					holder.SetReceived()
					time.AfterFunc(c.releaseAfter, holder.Release)
				}
				begun := time.Now()
				a := connect(t, in, func() {})
				a.SetUrgency(1, time.Time{})
				err := a.Hold(t.Context(), in.freeBytes+1<<20)
				if (err != nil) != c.refused || time.Since(begun) != c.want {
					t.Errorf("after %s: %v; want refused %v after %s", time.Since(begun), err, c.refused, c.want)
				}
				if err != nil && quetzalroad.AsRefusal(err).Outcome != quetzalroad.OutcomeNotRun {
					t.Error("the refusal doesn't state that the request has not run")
				}
				a.Close()
				time.Sleep(time.Hour)
				synctest.Wait()
				if in.ledger.held != 0 || len(in.ledger.entries) != 0 || len(in.ledger.waiting) != 0 {
					t.Errorf("%d bytes, %d requests and %d waiting are left", in.ledger.held, len(in.ledger.entries), len(in.ledger.waiting))
				}
			})
		})
	}
}

// Connections without a request kept callers with one from connecting, or one that had carried a request was closed.
func TestConnectionsWithoutARequestGiveWay(t *testing.T) {
	in := build(t, quetzalroad.ProcessLimits{})
	in.connections.max = 2
	interrupted := make(map[string]int)
	silent := connect(t, in, func() { interrupted["silent"]++ })
	connect(t, in, func() { interrupted["busy"]++ }).SetReceived()
	connect(t, in, func() { interrupted["last"]++ }).SetReceived()
	if diff := cmp.Diff(map[string]int{"silent": 1}, interrupted); diff != "" {
		t.Error(diff)
	}
	if _, refusal := in.Connect(func() {}, func() {}); refusal == nil || refusal.Reason != quetzalroad.ReasonTooManyConnections || refusal.RetryAfter <= 0 {
		t.Errorf("refusal %v", refusal)
	}
	silent.Close()
	if got := in.connections.len(); got != 2 {
		t.Errorf("%d connections are counted, want 2", got)
	}
}

// A crowd of requests that together need far more than there is blocked each other for good.
func TestCrowdOfLargeRequestsMakesProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, parts, part = 100, 40, 32 << 10
		in := build(t, quetzalroad.ProcessLimits{MemoryBytes: 50 << 20})
		served := make(chan bool, callers)
		for range callers {
			go func() {
				a := connect(t, in, func() {})
				defer a.Close()
				a.SetUrgency(1, time.Time{})
				for i := range parts {
					if err := a.Hold(context.Background(), (i+1)*part); err != nil {
						served <- false
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
				a.SetReceived()
				time.Sleep(100 * time.Millisecond)
				served <- true
			}()
		}
		count := 0
		for range callers {
			if <-served {
				count++
			}
		}
		synctest.Wait()
		if count < callers/10 {
			t.Errorf("%d of %d requests were served, want at least %d", count, callers, callers/10)
		}
		if in.ledger.held != 0 {
			t.Errorf("%d bytes are still held", in.ledger.held)
		}
	})
}
