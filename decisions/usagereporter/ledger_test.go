package usagereporter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

const window quetzalroad.UsageWindow = 353445120

// after returns the time some seconds after the end of the window.
func after(seconds float64) time.Time {
	return time.Unix(5*int64(window+1), 0).Add(time.Duration(seconds * float64(time.Second)))
}

// reported returns a report of a publisher with what two incarnations of a node counted.
func reported(publisher quetzalroad.NodeName, writtenAt float64, first, second int) quetzalroad.ActivityReport {
	r := quetzalroad.ActivityReport{Node: publisher, WrittenAt: after(writtenAt)}
	for i, requests := range []int{first, second} {
		r.Usage = append(r.Usage, quetzalroad.NodeUsage{Node: "n", StartedAt: time.Unix(int64(i), 0), Window: window, Teams: []quetzalroad.TeamUsage{{Team: "a", Requests: requests}}})
	}
	return r
}

func newLedger() *ledger {
	l := &ledger{schedule: newSchedule(5*time.Second, 10*time.Second)}
	l.begin(after(0), &quetzalroad.UsageState{DecidedThrough: window - 1}, time.Time{})
	return l
}

// A window that is decided too early lacks counts, and one that is decided too late is of no use.
func TestWindowIsDecidedOnceItsCountsAreComplete(t *testing.T) {
	for name, c := range map[string]struct {
		reports    []quetzalroad.ActivityReport
		now        float64
		lostBefore float64
		want       verdict
	}{
		"complete":                      {reports: []quetzalroad.ActivityReport{reported("p", 1.2, 1, 1)}, now: 2.5, want: verdictReport},
		"complete, but early":           {reports: []quetzalroad.ActivityReport{reported("p", 1.2, 1, 1)}, now: 2.4, want: verdictWait},
		"written too early":             {reports: []quetzalroad.ActivityReport{reported("p", 0.9, 1, 1)}, now: 5.9, want: verdictWait},
		"another publisher is missing":  {reports: []quetzalroad.ActivityReport{reported("p", 2, 1, 1), reported("q", -3, 1, 1)}, now: 5.9, want: verdictWait},
		"it has been missing for long":  {reports: []quetzalroad.ActivityReport{reported("p", 2, 1, 1), reported("q", -11, 1, 1)}, now: 2.5, want: verdictReport},
		"it stays missing":              {reports: []quetzalroad.ActivityReport{reported("p", 2, 1, 1), reported("q", -3, 1, 1)}, now: 6, want: verdictReport},
		"no publisher has reported":     {reports: []quetzalroad.ActivityReport{reported("p", -1, 1, 1)}, now: 14, want: verdictWait},
		"counts are gone":               {reports: []quetzalroad.ActivityReport{reported("p", 14, 1, 1)}, now: 15.1, want: verdictSkip},
		"a decision may have been lost": {reports: []quetzalroad.ActivityReport{reported("p", 2, 1, 1)}, now: 2.5, lostBefore: 0.1, want: verdictSkip},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			if c.lostBefore > 0 {
				l.lostBefore = after(c.lostBefore)
			}
			l.merge(after(c.now), c.reports)
			if w, got := l.next(after(c.now), after(c.now)); got != c.want || w != window {
				t.Errorf("window %d: verdict %d, want %d", w, got, c.want)
			}
		})
	}
}

// A node that is seen by two publishers, or whose publisher vanished, must count once.
func TestLargestCountOfEachIncarnationIsReported(t *testing.T) {
	l := newLedger()
	l.merge(after(1), []quetzalroad.ActivityReport{reported("p", 0.5, 3, 1), reported("q", 1, 2, 4)})
	l.merge(after(2.5), []quetzalroad.ActivityReport{reported("q", 2, 2, 5)})
	want := quetzalroad.UsageReport{Window: window, Teams: []quetzalroad.TeamUsage{{Team: "a", Requests: 8}}}
	if diff := cmp.Diff(want, l.decide(window)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if w, got := l.next(after(5), after(5)); w != window+1 || got != verdictWait {
		t.Errorf("verdict %d on window %d after the decision", got, w)
	}
	if diff := cmp.Diff([]quetzalroad.UsageReport{want}, l.expire(after(60.1))); diff != "" {
		t.Errorf("expired (-want +got):\n%s", diff)
	}
}

// After a long gap, the windows in it must neither be decided nor keep the holder busy one by one.
func TestGapIsSkippedAtOnce(t *testing.T) {
	l := newLedger()
	if skipped := l.skip(after(1e6)); skipped != 200_000-2 {
		t.Errorf("%d windows skipped", skipped)
	}
	if _, got := l.next(after(1e6), after(1e6)); got != verdictWait {
		t.Errorf("verdict %d", got)
	}
}
