package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestASeedGivesItsScheduleAgain(t *testing.T) {
	if diff := cmp.Diff(Draw(7, time.Minute), Draw(7, time.Minute)); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(Draw(7, time.Minute), Draw(8, time.Minute)) {
		t.Error("two seeds give one schedule")
	}
}

func TestAllKindsComeAndOverlap(t *testing.T) {
	seen := make(map[Kind]int)
	overlaps, calm := 0, 0
	for seed := range uint64(100) {
		faults := Draw(seed, 30*time.Second)
		onlyPlanned := true
		for i, f := range faults {
			seen[f.Kind]++
			onlyPlanned = onlyPlanned && f.Kind.Planned()
			if f.At >= 30*time.Second || f.For <= 0 {
				t.Errorf("seed %d: %s", seed, f)
			}
			if i > 0 && f.At < faults[i-1].At+faults[i-1].For {
				overlaps++
			}
		}
		if onlyPlanned {
			calm++
		}
	}
	for _, k := range Kinds {
		if seen[k] == 0 {
			t.Errorf("%s never comes", k)
		}
	}
	if overlaps == 0 || calm == 0 || calm > 60 {
		t.Errorf("%d overlaps, %d of 100 schedules with planned faults only", overlaps, calm)
	}
}
