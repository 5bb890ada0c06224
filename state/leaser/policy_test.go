package leaser

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/leasemapper"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

var testPolicy = policy{duration: 3 * time.Second, margin: 500 * time.Millisecond, renewEvery: time.Second, checkEvery: 5 * time.Second, candidates: 3}

// A node that claims early acts beside the holder; one that never claims leaves the duties undone.
func TestClaimDelay(t *testing.T) {
	held := &leasemapper.Record{Holder: "a", Token: 7, Epoch: 1}
	released := &leasemapper.Record{Holder: "a", Token: 7, Epoch: 1, Released: true, RecentHolders: []quetzalroad.NodeName{"b"}}
	for name, c := range map[string]struct {
		view view
		want time.Duration
	}{
		"held, read for the first time":    {view{record: held, self: "c"}, 3500 * time.Millisecond},
		"held, unchanged":                  {view{record: held, self: "c", unchangedFor: 3500 * time.Millisecond}, 0},
		"held, unchanged, lower rank":      {view{record: held, self: "c", rank: 2, unchangedFor: 3500 * time.Millisecond}, 400 * time.Millisecond},
		"own record, not confirmed":        {view{record: held, self: "a", own: true}, 0},
		"record of an earlier process":     {view{record: held, self: "a"}, 3500 * time.Millisecond},
		"released":                         {view{record: released, self: "c"}, 0},
		"released, lower rank":             {view{record: released, self: "c", rank: 1}, 200 * time.Millisecond},
		"released by this node":            {view{record: released, self: "a"}, 3500 * time.Millisecond},
		"held by this node shortly before": {view{record: released, self: "b"}, 3500 * time.Millisecond},
		"no record of a new epoch":         {view{self: "c", unchangedFor: time.Hour, epochKnownFor: time.Second}, 2500 * time.Millisecond},
	} {
		if got := testPolicy.claimDelay(c.view); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// Tokens that repeat or fall, or states that pass for complete, break the platform's rules after a restore.
func TestNextRecord(t *testing.T) {
	knownSince := time.Unix(50, 0)
	c := claimant{node: "c", incarnation: "i", epoch: 2, epochKnownSince: knownSince}
	states := map[quetzalroad.DutyName][]byte{"d": []byte("s")}
	const firstToken = 2<<32 + 1
	for name, test := range map[string]struct {
		previous *leasemapper.Record
		want     leasemapper.Record
	}{
		"first": {nil, leasemapper.Record{Token: firstToken, LostBefore: knownSince}},
		"of an earlier epoch": {
			&leasemapper.Record{Holder: "a", Token: 1<<32 + 9, Epoch: 1, States: states},
			leasemapper.Record{Token: firstToken, LostBefore: knownSince, States: states, RecentHolders: []quetzalroad.NodeName{"a"}},
		},
		"of this epoch": {
			&leasemapper.Record{Holder: "a", Token: firstToken, Epoch: 2, Released: true, LostBefore: time.Unix(9, 0), States: states, RecentHolders: []quetzalroad.NodeName{"b", "a"}},
			leasemapper.Record{Token: firstToken + 1, LostBefore: time.Unix(9, 0), States: states, RecentHolders: []quetzalroad.NodeName{"a", "b"}},
		},
	} {
		test.want.Holder, test.want.Incarnation, test.want.Epoch = "c", "i", 2
		if diff := cmp.Diff(test.want, nextRecord(test.previous, c)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// Reads by every node of a large fleet would use up the calls that the store allows.
func TestReadsGrowSlowlyWithTheFleet(t *testing.T) {
	perSecond := 0.0
	for rank := range 300 {
		perSecond += 1 / testPolicy.readInterval(rank, rank < testPolicy.candidates).Seconds()
	}
	if perSecond > 6 {
		t.Errorf("%.1f reads a second of 300 nodes", perSecond)
	}
}

// A report would be decided a second time if the states that hold it seemed to have been lost before it was due.
func TestClockThatWasSetBackDoesNotHideLostStates(t *testing.T) {
	start := time.Unix(1000, 0)
	if got := latestTime(start.Add(-7*time.Second), start); !got.Equal(start) {
		t.Errorf("%s, want %s", got, start)
	}
	if got := latestTime(start.Add(7*time.Second), start); !got.Equal(start.Add(7 * time.Second)) {
		t.Errorf("%s, want 7 s after %s", got, start)
	}
}

// A duty would send a state that was found in the log while a later write of this process may still replace it.
func TestStateIsThatOfTheLastConfirmedWrite(t *testing.T) {
	state := func(s string) leasemapper.Record {
		return withState(leasemapper.Record{Holder: "a", Token: 7, Epoch: 1}, "d", []byte(s))
	}
	l := &Leaser{policy: testPolicy}
	g := newGrant(t.Context(), l, state("confirmed"), boottimer.Now())
	defer g.end(reasonKilled)
	g.adopt(state("found"))
	if got := string(g.State("d")); got != "confirmed" {
		t.Errorf("state %q", got)
	}
	g.extend(withState(g.nextBase(), "other", nil), boottimer.Now())
	if got := string(g.State("d")); got != "found" {
		t.Errorf("state %q after a confirmed write", got)
	}
}

// A log that states an earlier epoch than the record's is not the one that the lease was granted in: its tokens would be
// lower than those in use.
func TestNoLeaseIsReadBelowTheEpochOfARecord(t *testing.T) {
	value, err := leasemapper.Encode(leasemapper.Record{Holder: "a", Incarnation: "i", Token: 2<<epochShift + 1, Epoch: 2})
	if err != nil {
		t.Fatal(err)
	}
	s := readResult{epoch: 1}
	if err := s.pick([]quetzalroad.KeyedRecord{{Key: recordKey(2), Value: value}}); err == nil {
		t.Error("a claim in epoch 1 would follow a lease in epoch 2")
	}
}
