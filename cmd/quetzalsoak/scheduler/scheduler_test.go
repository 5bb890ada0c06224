package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestScheduleIsDeterministicBySeed(t *testing.T) {
	if diff := cmp.Diff(Generate(7, time.Minute), Generate(7, time.Minute)); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(Generate(7, time.Minute), Generate(8, time.Minute)) {
		t.Error("two seeds generate the same schedule")
	}
}

func TestAllKindsOccurAndOverlap(t *testing.T) {
	counts := make(map[Kind]int)
	overlaps, plannedOnly := 0, 0
	for seed := range uint64(100) {
		faults := Generate(seed, 30*time.Second)
		onlyPlanned := true
		for i, f := range faults {
			counts[f.Kind]++
			onlyPlanned = onlyPlanned && f.Kind.IsPlanned()
			if f.Start >= 30*time.Second || f.Duration <= 0 {
				t.Errorf("seed %d: %s", seed, f)
			}
			if i > 0 && f.Start < faults[i-1].Start+faults[i-1].Duration {
				overlaps++
			}
		}
		if onlyPlanned {
			plannedOnly++
		}
	}
	for _, k := range Kinds {
		if counts[k] == 0 {
			t.Errorf("no schedule contains %s", k)
		}
	}
	if overlaps == 0 || plannedOnly == 0 || plannedOnly > 60 {
		t.Errorf("%d overlapping faults, %d of 100 schedules with planned faults only", overlaps, plannedOnly)
	}
}
