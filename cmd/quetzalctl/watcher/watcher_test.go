package watcher

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/adminclient"
)

func TestClassifyNodes(t *testing.T) {
	applied, lagging, unreachable := classifyNodes([]adminclient.Node{
		{Name: "here", Offset: 9}, {Name: "has-it", Offset: 10, HeardAgo: "1m"}, {Name: "lags", Offset: 8, HeardAgo: "1s"}, {Name: "gone", Offset: 8, HeardAgo: "1m"},
	}, 9)
	if applied != 2 {
		t.Errorf("%d nodes have applied it, want 2", applied)
	}
	if diff := cmp.Diff([]string{"lags"}, lagging); diff != "" {
		t.Errorf("lagging (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"gone"}, unreachable); diff != "" {
		t.Errorf("unreachable (-want +got):\n%s", diff)
	}
}
