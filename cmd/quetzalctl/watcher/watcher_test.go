package watcher

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/caller"
)

func TestNodesAreSortedByWhatTheyHave(t *testing.T) {
	done, late, silent := sort([]caller.Node{
		{Name: "here", Offset: 9}, {Name: "has-it", Offset: 10, HeardAgo: "1m"}, {Name: "lags", Offset: 8, HeardAgo: "1s"}, {Name: "gone", Offset: 8, HeardAgo: "1m"},
	}, 9)
	if done != 2 {
		t.Errorf("%d have it", done)
	}
	if diff := cmp.Diff([]string{"lags"}, late); diff != "" {
		t.Errorf("late (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"gone"}, silent); diff != "" {
		t.Errorf("silent (-want +got):\n%s", diff)
	}
}
