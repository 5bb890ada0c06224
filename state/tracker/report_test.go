package tracker

import (
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// No later report would count, and that one would never expire.
func TestReportMeasuredInTheFutureDoesNotHideLaterOnes(t *testing.T) {
	tracker := &Tracker{reportTTL: time.Second}
	now := time.Unix(1_700_000_000, 0)
	tracker.UpdateReport("u", now, quetzalroad.LoadReport{MeasuredAt: now.AddDate(100, 0, 0), Running: 50, Leaving: true})
	if e := tracker.Estimate("u", now.Add(2*time.Second)); e.Running != 0 {
		t.Errorf("%d running by a report that is two seconds old", e.Running)
	}
	now = now.Add(3 * time.Second)
	tracker.UpdateReport("u", now, quetzalroad.LoadReport{MeasuredAt: now, Running: 1})
	if e := tracker.Estimate("u", now); e.Running != 1 || e.Leaving {
		t.Errorf("%d running, leaving %v, by a report of one", e.Running, e.Leaving)
	}
}
