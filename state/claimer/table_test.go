package claimer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/claimmapper"
)

func claim(key, id string, at time.Time) claimmapper.Entry {
	return claimmapper.Entry{Kind: claimmapper.EntryClaim, Key: quetzalroad.HashKey(key), RequestHash: quetzalroad.HashKey("call"), ID: quetzalroad.RequestID(id), ClaimedAt: at}
}

func TestFirstClaimWinsAndRepeatedClaimIsIdempotent(t *testing.T) {
	var table table
	sh := table.shard(quetzalroad.HashKey("key"))
	now := time.Unix(1000, 0)
	var got []quetzalroad.ClaimState
	for _, e := range []claimmapper.Entry{claim("key", "a", now), claim("key", "b", now), claim("key", "a", now), claim("key", "c", now.Add(2*time.Hour))} {
		got = append(got, sh.applyClaim(e, time.Hour))
	}
	want := []quetzalroad.ClaimState{quetzalroad.ClaimGranted, quetzalroad.ClaimHeld, quetzalroad.ClaimGranted, quetzalroad.ClaimExpired}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestOnlyTheHolderCanReleaseAKey(t *testing.T) {
	var table table
	sh := table.shard(quetzalroad.HashKey("key"))
	now := time.Unix(1000, 0)
	sh.applyClaim(claim("key", "a", now), time.Hour)
	sh.applyRelease(claim("key", "b", now))
	if got := sh.applyClaim(claim("key", "c", now), time.Hour); got != quetzalroad.ClaimHeld {
		t.Errorf("after a release by another request the key is %v", got)
	}
	sh.applyRelease(claim("key", "a", now))
	if got := sh.applyClaim(claim("key", "c", now), time.Hour); got != quetzalroad.ClaimGranted {
		t.Errorf("after the holder's release the key is %v", got)
	}
}

func TestLateReleaseDoesNotUndoAnOutcome(t *testing.T) {
	var table table
	sh := table.shard(quetzalroad.HashKey("key"))
	now := time.Unix(1000, 0)
	sh.applyClaim(claim("key", "a", now), time.Hour)
	sh.applyOutcome(claim("key", "a", now))
	sh.applyRelease(claim("key", "a", now))
	if got := sh.applyClaim(claim("key", "b", now), time.Hour); got != quetzalroad.ClaimCompleted {
		t.Errorf("the key is %v", got)
	}
}

func BenchmarkClaimMemory(b *testing.B) {
	const count = 100000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		all := new(table)
		for i := range count {
			e := claim(fmt.Sprintf("key-%d", i), fmt.Sprintf("1d98a205-5fdd-4aa8-87d2-%012d/1d98a205-5fdd-4aa8-87d2-dae736115eef", i), time.Unix(1, 0))
			all.shard(e.Key).applyClaim(e, time.Hour)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/key")
		runtime.KeepAlive(all)
	}
}

func TestRestatedClaimTakesPrecedenceOverLaterOnes(t *testing.T) {
	var table table
	sh := table.shard(quetzalroad.HashKey("key"))
	now := time.Unix(1000, 0)
	sh.applyClaim(claim("key", "later", now), time.Hour)
	restated := claim("key", "first", now)
	restated.Kind = claimmapper.EntryRestatement
	sh.applyRestatement(restated)
	sh.applyRelease(claim("key", "later", now))
	another := claim("key", "another", now)
	another.Kind = claimmapper.EntryRestatement
	sh.applyRestatement(another)
	if got := sh.entries[quetzalroad.HashKey("key")]; got == nil || got.holder != "first" {
		t.Errorf("holder %+v, want the first restated one", got)
	}
}
