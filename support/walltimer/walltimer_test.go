package walltimer

import (
	"testing"
	"testing/synctest"
	"time"
)

// A clock that jumps and jumps back would move counts to other windows.
func TestStepCountsOnlyOnceItHasLasted(t *testing.T) {
	for name, step := range map[string]time.Duration{"forward": 7 * time.Second, "back": -7 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var timer Timer
				timer.Time(time.Now())
				for range 55 {
					time.Sleep(time.Second)
					if got := timer.Time(time.Now().Add(step)); !got.Equal(time.Now()) {
						t.Fatalf("%s ahead of the time", time.Until(got))
					}
				}
				time.Sleep(time.Second)
				timer.Time(time.Now())
				for range 120 {
					time.Sleep(time.Second)
					timer.Time(time.Now().Add(step))
				}
				if got, want := timer.Time(time.Now().Add(step)), time.Now().Add(step); !got.Equal(want) {
					t.Errorf("%s instead of %s", got, want)
				}
			})
		})
	}
}

// A drift that is corrected must not add up.
func TestSmallDifferenceIsNoStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var timer Timer
		timer.Time(time.Now())
		time.Sleep(time.Second)
		if got := timer.Time(time.Now().Add(50 * time.Millisecond)); !got.Equal(time.Now()) {
			t.Errorf("%s ahead", time.Until(got))
		}
	})
}
