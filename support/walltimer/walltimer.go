// Package walltimer tells the time of day without the short steps of the machine's clock.
//
// Clocks of VMs jump by seconds and back. The time since the last accepted reading, which includes suspended
// time, shows a step of the clock, which is ignored until it has lasted for a while.
package walltimer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

const (
	// stepTolerance is the difference up to which a clock is not considered to have stepped.
	stepTolerance = 100 * time.Millisecond
	// acceptAfter is how long a step has to last until it is accepted.
	acceptAfter = time.Minute
)

// Timer tells the time of day. The zero value trusts the first reading.
type Timer struct {
	accepted atomic.Pointer[reading]
	// hasStepped is set while the clock differs from the accepted time. It is set under mu.
	hasStepped atomic.Bool
	mu         sync.Mutex
	// step is that difference, and steppedAt when it was first seen. Both are guarded by mu.
	step      time.Duration
	steppedAt boottimer.Instant
}

// reading is a time of day and when it was read.
type reading struct {
	time time.Time
	at   boottimer.Instant
}

// Time returns the time of day without recent steps, given the current reading of the machine's clock.
func (t *Timer) Time(now time.Time) time.Time {
	now = now.Round(0)
	accepted := t.accepted.Load()
	if accepted == nil {
		return t.begin(now)
	}
	steady := accepted.time.Add(accepted.at.Age())
	step := now.Sub(steady)
	if step.Abs() <= stepTolerance {
		t.hasStepped.Store(false)
		return steady
	}
	return t.observeStep(now, steady, step)
}

func (t *Timer) begin(now time.Time) time.Time {
	t.accepted.CompareAndSwap(nil, &reading{time: now, at: boottimer.Now()})
	return now
}

// observeStep accepts a step that has lasted, and returns the time of day.
func (t *Timer) observeStep(now, steady time.Time, step time.Duration) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasStepped.Load() || (step-t.step).Abs() > stepTolerance {
		t.step, t.steppedAt = step, boottimer.Now()
		t.hasStepped.Store(true)
		return steady
	}
	if t.steppedAt.Age() < acceptAfter {
		return steady
	}
	t.accepted.Store(&reading{time: now, at: boottimer.Now()})
	t.hasStepped.Store(false)
	return now
}
