package throttler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// An upstream may be started again in the pause that it asked for, which it may not ask for once more.
func TestPauseOutlivesARestartOfTheUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttler := newFleet(t, 1)[0]
		started := time.Now()
		throttler.Pause(time.Now(), quetzalroad.IncarnationName("u", started), 2*time.Second)
		again := quetzalroad.IncarnationName("u", started.Add(time.Second))
		if throttler.acquire(again) || throttler.State(time.Now(), again) != quetzalroad.ThrottleExhausted {
			t.Error("it may be sent a request")
		}
		if !throttler.acquire(quetzalroad.IncarnationName("v", started)) {
			t.Error("another upstream may not")
		}
		time.Sleep(2 * time.Second)
		if !throttler.acquire(again) {
			t.Error("the pause does not end")
		}
	})
}

func TestPausedUpstreamGetsNothingUntilItsPauseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttler := newFleet(t, 1)[0]
		throttler.Pause(time.Now(), "u", 2*time.Second)
		// A shorter one doesn't end it sooner.
		throttler.Pause(time.Now(), "u", time.Second)
		for range 19 {
			if throttler.acquire("u") || throttler.State(time.Now(), "u") != quetzalroad.ThrottleExhausted || !throttler.HasLimits() {
				t.Fatal("a paused upstream may be sent a request")
			}
			if !throttler.acquire("v") {
				t.Fatal("another upstream may not")
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		if !throttler.acquire("u") || throttler.State(time.Now(), "u") != quetzalroad.ThrottleNone || throttler.HasLimits() {
			t.Error("the pause does not end")
		}
	})
}

func TestNoPauseWithoutATime(t *testing.T) {
	throttler := newFleet(t, 1)[0]
	for _, d := range []time.Duration{0, -time.Second} {
		throttler.Pause(time.Now(), "u", d)
	}
	if !throttler.acquire("u") || throttler.HasLimits() {
		t.Error("the upstream is paused")
	}
}

// Requests that are refused because all upstreams asked for a pause are told to come back after the first one,
// and not all at once.
func TestRetryAfterPausesIsTrueAndSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttler := newFleet(t, 1)[0]
		candidates := []quetzalroad.Upstream{{Name: "u"}, {Name: "v"}}
		throttler.Pause(time.Now(), "u", 2*time.Second)
		throttler.Pause(time.Now(), "v", 4*time.Second)
		different := make(map[time.Duration]bool)
		for range 50 {
			d := throttler.RetryAfter(time.Now(), "service", 0, candidates)
			if d < 2*time.Second || d > 2*time.Second+2*time.Second/pauseSpread {
				t.Fatalf("retry after %v", d)
			}
			different[d] = true
		}
		if len(different) < 10 {
			t.Errorf("%d different times for 50 requests", len(different))
		}
	})
}

func TestRetryAfterALongPauseIsNotCutShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttler := newFleet(t, 1)[0]
		throttler.Pause(time.Now(), "u", time.Minute)
		if d := throttler.RetryAfter(time.Now(), "service", 0, []quetzalroad.Upstream{{Name: "u"}}); d < time.Minute {
			t.Errorf("retry after %v, before the pause ends", d)
		}
	})
}

func TestPauseHoldsUnderALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttler := newFleet(t, 1)[0]
		throttler.UpdateLimit(time.Now(), "u", limitOf(100))
		time.Sleep(time.Second)
		throttler.Pause(time.Now(), "u", time.Second)
		if throttler.acquire("u") {
			t.Error("a paused upstream may be sent a request under its limit")
		}
		if d := throttler.RetryAfter(time.Now(), "service", 0, []quetzalroad.Upstream{{Name: "u"}}); d < time.Second {
			t.Errorf("retry after %v, before the pause ends", d)
		}
	})
}
