// Package boottimer measures elapsed time including time during which the machine
// was suspended, which Go's monotonic clock does not count.
package boottimer

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time. The age of the zero value is Never.
type Instant struct {
	monotonic time.Time
	boot      time.Duration
}

// Now returns the current instant.
func Now() Instant {
	return Instant{monotonic: time.Now(), boot: bootTime()}
}

// IsZero reports whether the instant is the zero value.
func (i Instant) IsZero() bool {
	return i.monotonic.IsZero()
}

// Never is the age of the zero Instant.
const Never = time.Duration(math.MaxInt64)

// Age returns the time since the instant, including suspended time. Go's monotonic
// clock is used if it is ahead, as tests with a fake clock advance only that one.
func (i Instant) Age() time.Duration {
	if i.IsZero() {
		return Never
	}
	return max(time.Since(i.monotonic), bootTime()-i.boot)
}

// After reports whether the instant is later than another.
func (i Instant) After(other Instant) bool {
	return i.monotonic.After(other.monotonic)
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without this clock, only the monotonic one is used.
		return 0
	}
	return time.Duration(ts.Nano())
}

// Sub returns the instant d earlier; the zero Instant if i is zero or d is Never.
func (i Instant) Sub(d time.Duration) Instant {
	if i.IsZero() || d == Never {
		return Instant{}
	}
	return Instant{monotonic: i.monotonic.Add(-d), boot: i.boot - d}
}
