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
