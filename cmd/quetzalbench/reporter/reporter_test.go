package reporter

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var testResults = []Result{
	{SentAt: 0, Class: "chat", FirstTokenLatency: 100 * time.Millisecond, Duration: time.Second, Tokens: 10, Complete: true},
	{SentAt: time.Second, Class: "chat", FirstTokenLatency: 900 * time.Millisecond, Duration: time.Second, Tokens: 10, Complete: true},
	{SentAt: time.Second, Class: "chat", ErrorCode: "target-unreachable"},
	{SentAt: 2 * time.Second, Class: "draft", FirstTokenLatency: time.Second, Tokens: 5, ErrorCode: "stream-cut"},
}

func TestSummarizeCountsResponsesWithinTarget(t *testing.T) {
	summary := Summarize(testResults, 2*time.Second, 500*time.Millisecond)
	if summary.Goodput != 0.5 || summary.Tokens != 25 || summary.WastedTokens != 5 {
		t.Errorf("summary %+v", summary)
	}
	if diff := cmp.Diff(map[string]int{"target-unreachable": 1, "stream-cut": 1}, summary.ErrorCounts); diff != "" {
		t.Errorf("codes (-want +got):\n%s", diff)
	}
	chat := summary.Classes[0]
	if chat.Count != 3 || chat.Complete != 2 || chat.MetTarget != 1 {
		t.Errorf("chat %+v", chat)
	}
}

func TestWriteHTMLPlotsEachClass(t *testing.T) {
	path := filepath.Join(t.TempDir(), "load.html")
	if err := WriteHTML(path, Summarize(testResults, 2*time.Second, 500*time.Millisecond), testResults); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(string(data), "<svg"); got != 4 {
		t.Errorf("%d plots, want 4", got)
	}
}
