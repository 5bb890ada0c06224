package boottimer

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestInstantAgesWithMonotonicClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instant := Now()
		time.Sleep(3 * time.Second)
		if age := instant.Age(); age != 3*time.Second {
			t.Errorf("age %v", age)
		}
		if later := Now(); !later.After(instant) || instant.After(later) {
			t.Error("the instants are out of order")
		}
	})
}

// A test with a fake clock may run slower than that clock. What it measures must not age with the machine.
func TestInstantOfFakeClockDoesNotAgeWithMachine(t *testing.T) {
	const runTime = 5 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		instant := Now()
		for start := bootTime(); bootTime()-start < runTime; {
			continue
		}
		if age := instant.Age(); age != 0 {
			t.Errorf("age %v while the fake clock stood still", age)
		}
		if age := instant.Sub(time.Second).Age(); age != time.Second {
			t.Errorf("age %v of the instant a second earlier", age)
		}
	})
}

func TestAgeIncludesSuspendedTime(t *testing.T) {
	instant := Now()
	instant.boot -= time.Minute
	if age := instant.Age(); age < time.Minute {
		t.Errorf("age %v, want at least the minute that only the boot clock counted", age)
	}
}

func TestZeroInstantHasMaximumAge(t *testing.T) {
	if age := (Instant{}).Age(); age != Never {
		t.Errorf("age %v", age)
	}
}
