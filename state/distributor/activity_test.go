package distributor

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// Counts that are sent again and again cost bytes, and those that another reader lacks are lost with the one before.
func TestReaderGetsWhatItLacks(t *testing.T) {
	count := func(w quetzalroad.UsageWindow, requests int) quetzalroad.NodeUsage {
		return quetzalroad.NodeUsage{Node: "n", Window: w, Teams: []quetzalroad.TeamUsage{{Team: "a", Requests: requests}}}
	}
	var u usageSharing
	for _, step := range []struct {
		reader     quetzalroad.NodeName
		usage      []quetzalroad.NodeUsage
		unanswered bool
		want       []quetzalroad.NodeUsage
	}{
		{reader: "r1", usage: []quetzalroad.NodeUsage{count(1, 5)}, unanswered: true, want: []quetzalroad.NodeUsage{count(1, 5)}},
		{reader: "r1", usage: []quetzalroad.NodeUsage{count(1, 5), count(2, 1)}, want: []quetzalroad.NodeUsage{count(1, 5), count(2, 1)}},
		{reader: "r1", usage: []quetzalroad.NodeUsage{count(1, 5), count(2, 1)}, want: []quetzalroad.NodeUsage{}},
		{reader: "r1", usage: []quetzalroad.NodeUsage{count(1, 5), count(2, 3)}, want: []quetzalroad.NodeUsage{count(2, 3)}},
		{reader: "r2", usage: []quetzalroad.NodeUsage{count(1, 5), count(2, 3)}, want: []quetzalroad.NodeUsage{count(1, 5), count(2, 3)}},
		{reader: "r2", usage: []quetzalroad.NodeUsage{count(2, 3)}, want: []quetzalroad.NodeUsage{}},
	} {
		got := u.unconfirmed(step.reader, step.usage)
		if diff := cmp.Diff(step.want, got); diff != "" {
			t.Errorf("to %s (-want +got):\n%s", step.reader, diff)
		}
		if !step.unanswered {
			u.confirm(step.reader, got)
		}
	}
}
