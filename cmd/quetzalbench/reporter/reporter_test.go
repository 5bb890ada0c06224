package reporter

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var answers = []Answer{
	{At: 0, Class: "chat", First: 100 * time.Millisecond, Took: time.Second, Tokens: 10, Whole: true},
	{At: time.Second, Class: "chat", First: 900 * time.Millisecond, Took: time.Second, Tokens: 10, Whole: true},
	{At: time.Second, Class: "chat", Code: "target-unreachable"},
	{At: 2 * time.Second, Class: "draft", First: time.Second, Tokens: 5, Code: "stream-cut"},
}

func TestSumCountsWhatCameInTarget(t *testing.T) {
	f := Sum(answers, 2*time.Second, 500*time.Millisecond)
	if f.Goodput != 0.5 || f.Tokens != 25 || f.Wasted != 5 {
		t.Errorf("figures %+v", f)
	}
	if diff := cmp.Diff(map[string]int{"target-unreachable": 1, "stream-cut": 1}, f.Codes); diff != "" {
		t.Errorf("codes (-want +got):\n%s", diff)
	}
	chat := f.Classes[0]
	if chat.Count != 3 || chat.Whole != 2 || chat.InTarget != 1 {
		t.Errorf("chat %+v", chat)
	}
}

func TestPageHoldsAPlotOfEachClass(t *testing.T) {
	file := filepath.Join(t.TempDir(), "load.html")
	if err := WriteHTML(file, Sum(answers, 2*time.Second, 500*time.Millisecond), answers); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(string(data), "<svg"); got != 4 {
		t.Errorf("%d plots, want 4", got)
	}
}
