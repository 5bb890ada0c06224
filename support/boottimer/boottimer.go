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
	// boot is the reading of the machine's boot clock; zero if there is none, as with a fake clock.
	boot time.Duration
}

// Now returns the current instant.
func Now() Instant {
	now := time.Now()
	if isFake(now) {
		return Instant{monotonic: now}
	}
	return Instant{monotonic: now, boot: bootTime()}
}

// isFake reports whether a current time is that of a fake clock, which has no monotonic reading. The machine's
// clocks don't follow it.
func isFake(now time.Time) bool {
	// Round strips the monotonic reading; Equal would ignore it.
	return now == now.Round(0)
}

// IsZero reports whether the instant is the zero value.
func (i Instant) IsZero() bool {
	return i.monotonic.IsZero()
}

// Never is the age of the zero Instant.
const Never = time.Duration(math.MaxInt64)

// Age returns the time since the instant, including suspended time.
func (i Instant) Age() time.Duration {
	if i.IsZero() {
		return Never
	}
	age := time.Since(i.monotonic)
	if i.boot == 0 {
		return age
	}
	return max(age, bootTime()-i.boot)
}

// After reports whether the instant is later than another.
func (i Instant) After(other Instant) bool {
	return i.monotonic.After(other.monotonic)
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// Sub returns the instant d earlier; the zero Instant if i is zero or d is Never.
func (i Instant) Sub(d time.Duration) Instant {
	if i.IsZero() || d == Never {
		return Instant{}
	}
	earlier := Instant{monotonic: i.monotonic.Add(-d)}
	if i.boot != 0 {
		earlier.boot = i.boot - d
	}
	return earlier
}
