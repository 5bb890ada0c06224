package scheduler

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
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

// kindsSinceDigest are the kinds that were added since the digest of schedules was made.
var kindsSinceDigest = []Kind{ServerGarblesStreams, ServerGarblesResponses, ServerUpgrade, AllNodesKill, ServerTakenAway, UnseenVersion, NodesKilledAtJoin}

func TestNewKindsLeaveSchedulesOfExistingSeedsAsTheyAre(t *testing.T) {
	digest := sha256.New()
	for seed := range uint64(300) {
		for _, f := range Generate(seed, 20*time.Second) {
			if !slices.Contains(kindsSinceDigest, f.Kind) {
				fmt.Fprintln(digest, seed, f)
			}
		}
	}
	const want = "01b78458e846f2b83d838a8d49a7e683ad927ffddf82d7b7a977e20c287accf3"
	if diff := cmp.Diff(want, hex.EncodeToString(digest.Sum(nil))); diff != "" {
		t.Error(diff)
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
