package measurer

import (
	"runtime"
	"testing"
	"time"
)

// The required targets. maxBlockingFactor and maxSlowedFactor multiply the undisturbed p99 first-token time.
const (
	worstWindowTarget = 0.99
	maxWastedShare    = 0.02
	maxBlockingFactor = 1.5
	maxSlowedFactor   = 2
	scoreFactor       = 2
)

// singleThreaded sets GOMAXPROCS to 1 for a test, which makes its results differ less between runs.
func singleThreaded(t *testing.T) {
	t.Helper()
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

func TestChatHoldsItsTargetAtTheCrest(t *testing.T) {
	singleThreaded(t)
	for _, u := range users {
		r := runChecked(t, u.burst(), routerPolicy)
		if got := worstWindowAttainment(r.responsesOf("chat"), u.chatTarget); got < worstWindowTarget {
			t.Errorf("%s: %.1f%% of chats in target in the worst 5 s, want %.0f%%", u.name, 100*got, 100*worstWindowTarget)
		}
	}
}

func TestBurstRefusesNoDraftsAndWastesFewTokens(t *testing.T) {
	singleThreaded(t)
	u := users[0]
	r := runChecked(t, u.burst(), routerPolicy)
	if got := refusalRate(r.responsesOf("draft")); got > 0 {
		t.Errorf("%.1f%% of drafts were refused, want none", 100*got)
	}
	if got := r.wastedShare(); got > maxWastedShare {
		t.Errorf("%.1f%% of tokens were wasted", 100*got)
	}
}

func TestChatsAreNotBlockedByDrafts(t *testing.T) {
	singleThreaded(t)
	for _, u := range users {
		unloaded := firstTokenQuantile(runChecked(t, u.unloaded(), routerPolicy).responsesOf("chat"), 0.99)
		behindDrafts := firstTokenQuantile(runChecked(t, u.mixed(), routerPolicy).responsesOf("chat"), 0.99)
		if limit := time.Duration(maxBlockingFactor * float64(unloaded)); behindDrafts > limit {
			t.Errorf("%s: p99 first token behind drafts is %s, want at most %s", u.name, behindDrafts, limit)
		}
	}
}

func TestSlowEnginesAreAvoidedWithoutReports(t *testing.T) {
	singleThreaded(t)
	for _, u := range users {
		healthy := firstTokenQuantile(runChecked(t, u.slowEngines(1), routerPolicy).responsesOf("chat"), 0.99)
		slowed := firstTokenQuantile(runChecked(t, u.slowEngines(5), routerPolicy).responsesOf("chat"), 0.99)
		if limit := maxSlowedFactor * healthy; slowed > limit {
			t.Errorf("%s: p99 first token with a fifth of the engines slowed is %s, want at most %s", u.name, slowed, limit)
		}
	}
}
