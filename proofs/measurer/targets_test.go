package measurer

import (
	"runtime"
	"testing"
	"time"
)

// The stated targets on the rig.
const (
	crestTarget    = 0.99
	wasteTarget    = 0.02
	blockingFactor = 1.5
	slowedFactor   = 2
	scoreFactor    = 2
)

// oneThread makes a run's figures the same each time.
func oneThread(t *testing.T) {
	t.Helper()
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

func TestChatHoldsItsTargetAtTheCrest(t *testing.T) {
	oneThread(t)
	for _, u := range users {
		o := checked(t, u.burst(), ours)
		if got := crest(o.of("chat"), u.chatTarget); got < crestTarget {
			t.Errorf("%s: %.1f%% of chats in target in the worst 5 s, want %.0f%%", u.name, 100*got, 100*crestTarget)
		}
	}
}

func TestDraftsProgressAndLittleIsWastedInTheBurst(t *testing.T) {
	oneThread(t)
	u := users[0]
	o := checked(t, u.burst(), ours)
	if got := refusedShare(o.of("draft")); got > 0 {
		t.Errorf("%.1f%% of drafts were refused", 100*got)
	}
	if got := o.wastedShare(); got > wasteTarget {
		t.Errorf("%.1f%% of tokens were wasted", 100*got)
	}
}

func TestShortWorkIsNotBlockedByLongWork(t *testing.T) {
	oneThread(t)
	for _, u := range users {
		alone := firstToken(checked(t, u.unloaded(), ours).of("chat"), 0.99)
		behind := firstToken(checked(t, u.mixed(), ours).of("chat"), 0.99)
		if bound := time.Duration(blockingFactor * float64(alone)); behind > bound {
			t.Errorf("%s: p99 first token behind drafts is %s, want at most %s", u.name, behind, bound)
		}
	}
}

func TestSlowedEnginesAreAvoidedUnseen(t *testing.T) {
	oneThread(t)
	for _, u := range users {
		sound := firstToken(checked(t, u.slowed(1), ours).of("chat"), 0.99)
		slowed := firstToken(checked(t, u.slowed(5), ours).of("chat"), 0.99)
		if bound := slowedFactor * sound; slowed > bound {
			t.Errorf("%s: p99 first token with a fifth slowed is %s, want at most %s", u.name, slowed, bound)
		}
	}
}
