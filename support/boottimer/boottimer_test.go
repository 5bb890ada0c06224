package boottimer

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestAMarkAgesWithTheRuntimesClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := Now()
		time.Sleep(3 * time.Second)
		if age := m.Age(); age != 3*time.Second {
			t.Errorf("age %v", age)
		}
		if later := Now(); !later.After(m) || m.After(later) {
			t.Error("the marks are out of order")
		}
	})
}

func TestTimeInASuspendedMachineCounts(t *testing.T) {
	m := Now()
	m.boot -= time.Minute
	if age := m.Age(); age < time.Minute {
		t.Errorf("age %v, want the minute that only the boot clock saw", age)
	}
}

func TestAMarkThatWasNeverSetIsAsOldAsCanBe(t *testing.T) {
	if age := (Instant{}).Age(); age != Never {
		t.Errorf("age %v", age)
	}
}
