// Package boottimer measures spans that go on while the machine is suspended,
// which the runtime's steady clock does not count.
package boottimer

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment. The zero value is long ago.
type Instant struct {
	steady time.Time
	boot   time.Duration
}

// Now marks the present moment.
func Now() Instant {
	return Instant{steady: time.Now(), boot: sinceBoot()}
}

// IsZero tells that no moment was marked.
func (m Instant) IsZero() bool {
	return m.steady.IsZero()
}

// Never is the age of a mark that was never set.
const Never = time.Duration(math.MaxInt64)

// Age is the time since the mark, with that of a suspended machine. The
// runtime's clock counts where it is ahead, as tests advance it.
func (m Instant) Age() time.Duration {
	if m.IsZero() {
		return Never
	}
	return max(time.Since(m.steady), sinceBoot()-m.boot)
}

// After tells that the mark is later than another.
func (m Instant) After(other Instant) bool {
	return m.steady.After(other.steady)
}

func sinceBoot() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Without this clock the steady one has to do.
		return 0
	}
	return time.Duration(at.Nano())
}

// Sub gives the moment a span earlier; never where that is the span.
func (m Instant) Sub(d time.Duration) Instant {
	if m.IsZero() || d == Never {
		return Instant{}
	}
	return Instant{steady: m.steady.Add(-d), boot: m.boot - d}
}
