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
	monotonic time.Time
	boot      time.Duration
}

// Now marks the present moment.
func Now() Instant {
	return Instant{monotonic: time.Now(), boot: bootTime()}
}

// IsZero tells that no moment was marked.
func (i Instant) IsZero() bool {
	return i.monotonic.IsZero()
}

// Never is the age of a mark that was never set.
const Never = time.Duration(math.MaxInt64)

// Age is the time since the mark, with that of a suspended machine. The
// runtime's clock counts where it is ahead, as tests advance it.
func (i Instant) Age() time.Duration {
	if i.IsZero() {
		return Never
	}
	return max(time.Since(i.monotonic), bootTime()-i.boot)
}

// After tells that the mark is later than another.
func (i Instant) After(other Instant) bool {
	return i.monotonic.After(other.monotonic)
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without this clock the steady one has to do.
		return 0
	}
	return time.Duration(ts.Nano())
}

// Sub gives the moment a span earlier; never where that is the span.
func (i Instant) Sub(d time.Duration) Instant {
	if i.IsZero() || d == Never {
		return Instant{}
	}
	return Instant{monotonic: i.monotonic.Add(-d), boot: i.boot - d}
}
