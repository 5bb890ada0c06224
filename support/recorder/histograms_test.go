package recorder

import (
	"fmt"
	"math"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// Each route in use took 213 KB of histograms, so that a thousand routes took more than the memory of a small VM.
func TestHistogramsOfManyClassesTakeLittleMemory(t *testing.T) {
	const classes, maxBytesPerClass = 1024, 16 << 10
	var r Recorder
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range classes {
		class := quetzalroad.Class(fmt.Sprint(i))
		r.ObserveQueueWait(class, time.Millisecond)
		r.ObserveFirstToken(class, time.Second, true)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perClass := (int(after.HeapAlloc) - int(before.HeapAlloc)) / classes
	t.Logf("%d bytes a class", perClass)
	if perClass > maxBytesPerClass {
		t.Errorf("%d bytes a class, want at most %d", perClass, maxBytesPerClass)
	}
	if got := r.firstTokens.class("1").merged().TotalCount(); got != 1 {
		t.Errorf("%d observations, want 1", got)
	}
}

// Classes without end, as of routes that come and go, took memory without end.
func TestClassesAreBoundedAndReleased(t *testing.T) {
	var r Recorder
	for i := range 2 * maxClasses {
		class := quetzalroad.Class(fmt.Sprint(i))
		r.ObserveFirstToken(class, time.Second, true)
		r.CountOutcome(class, quetzalroad.OutcomeCompleted)
	}
	if got := r.firstTokens.count.Load(); got > maxClasses+1 {
		t.Errorf("%d classes are kept, want at most %d", got, maxClasses+1)
	}
	r.RetainClasses(map[quetzalroad.Class]bool{"7": true})
	kept := 0
	r.firstTokens.classes.Range(func(any, any) bool { kept++; return true })
	if kept != 1 || r.firstTokens.count.Load() != 1 || r.outcomes.Get("7/completed") == nil || r.outcomes.Get("8/completed") != nil || r.inTarget.Get("8") != nil {
		t.Errorf("%d classes are left, with the outcomes %s", kept, r.outcomes.String())
	}
}

// Observations of several cores were lost, or a percentile was further off than a digit allows.
func TestHistogramCountsConcurrentObservations(t *testing.T) {
	const observers, observations = 8, 1000
	var r Recorder
	var group sync.WaitGroup
	for range observers {
		group.Go(func() {
			for i := range observations {
				r.ObserveFirstToken("class", time.Duration(i+1)*time.Millisecond, true)
			}
		})
	}
	group.Wait()
	merged := r.firstTokens.class("class").merged()
	if got := merged.TotalCount(); got != observers*observations {
		t.Errorf("%d observations, want %d", got, observers*observations)
	}
	const wantP99 = 990_000
	if got := float64(merged.ValueAtQuantile(99)); math.Abs(got/wantP99-1) > 0.1 {
		t.Errorf("p99 is %g microseconds, want %d within a tenth", got, wantP99)
	}
}
