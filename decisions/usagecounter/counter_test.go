package usagecounter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

const (
	testWindow    = 5 * time.Second
	testRetention = 15 * time.Second
)

func teams(requests ...int) []quetzalroad.TeamUsage {
	usage := []quetzalroad.TeamUsage{{Team: "a", Requests: requests[0]}}
	if len(requests) > 1 {
		usage = append(usage, quetzalroad.TeamUsage{Team: "b", Requests: requests[1]})
	}
	return usage
}

// Counts in another window than that of the true time are wrong in both.
func TestRequestsAreCountedInTheWindowOfTheTrueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("n", testWindow, testRetention)
		first := WindowAt(time.Now(), testWindow)
		c.CountRun(time.Now(), "a")
		c.CountRun(time.Now(), "b")
		time.Sleep(testWindow)
		c.CountRun(time.Now(), "a")
		c.CountRun(time.Now().Add(9*time.Second), "a")
		c.CountRun(time.Now().Add(-9*time.Second), "a")
		want := []quetzalroad.NodeUsage{
			{Node: "n", StartedAt: c.startedAt, Window: first, Teams: teams(1, 1)},
			{Node: "n", StartedAt: c.startedAt, Window: first + 1, Teams: teams(3)},
		}
		if diff := cmp.Diff(want, c.LocalUsage(time.Now())); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		time.Sleep(testRetention)
		if diff := cmp.Diff(want[1:], c.LocalUsage(time.Now())); diff != "" {
			t.Errorf("after the retention (-want +got):\n%s", diff)
		}
	})
}

// What arrives late, or on two ways, must not undo or double what is known.
func TestCountsOfOtherNodesOnlyGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("n", testWindow, testRetention)
		now := time.Now()
		entry := func(startedAt time.Time, requests int) quetzalroad.NodeUsage {
			return quetzalroad.NodeUsage{Node: "m", StartedAt: startedAt, Window: WindowAt(now, testWindow), Teams: teams(requests)}
		}
		for _, requests := range []int{2, 5, 3} {
			c.UpdatePeerUsage(now, []quetzalroad.NodeUsage{entry(now, requests)})
		}
		c.UpdatePeerUsage(now, []quetzalroad.NodeUsage{entry(now.Add(time.Second), 1), {Node: "m", Window: 1, Teams: teams(7)}})
		want := []quetzalroad.NodeUsage{entry(now, 5), entry(now.Add(time.Second), 1)}
		if diff := cmp.Diff(want, c.KnownUsage(now)); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		time.Sleep(testWindow + testRetention)
		if got := c.KnownUsage(time.Now()); len(got) > 0 {
			t.Errorf("%v is kept after the retention", got)
		}
	})
}
