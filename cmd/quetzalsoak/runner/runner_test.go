package runner

import (
	"bufio"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/requester"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/checker"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/scheduler"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// buildNode builds the node's executable and returns its path.
func buildNode(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "quetzalroad")
	if out, err := exec.Command("go", "build", "-o", program, "github.com/quetzalroad/quetzalroad/cmd/quetzalroad").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

func shortOptions(t *testing.T, out *strings.Builder) options {
	t.Helper()
	return options{
		streams: commander.IOStreams{Out: out, ErrOut: out}, nodeProgram: buildNode(t), settingsTemplate: "../../../deploy/node.hujson",
		directory: t.TempDir(), reportDirectory: t.TempDir(), nodeCount: 4, faultPeriod: 6 * time.Second,
	}
}

func TestShortSoakHasNoViolations(t *testing.T) {
	for _, c := range []struct {
		seed        uint64
		faultPeriod time.Duration
		kinds       []scheduler.Kind
	}{
		{1, 6 * time.Second, []scheduler.Kind{scheduler.ServerGarblesStreams}},
		{78, 9 * time.Second, []scheduler.Kind{scheduler.ServerUpgrade, scheduler.AllNodesKill}},
		{25, 6 * time.Second, []scheduler.Kind{scheduler.ServerTakenAway}},
		{15, 7 * time.Second, []scheduler.Kind{scheduler.UnseenVersion}},
		{159, 8 * time.Second, []scheduler.Kind{scheduler.NodesKilledAtJoin}},
	} {
		t.Run(strconv.FormatUint(c.seed, 10), func(t *testing.T) {
			var out strings.Builder
			o := shortOptions(t, &out)
			o.faultPeriod = c.faultPeriod
			faults := scheduler.Generate(c.seed, o.faultPeriod)
			for _, k := range c.kinds {
				if !slices.ContainsFunc(faults, func(f scheduler.Fault) bool { return f.Kind == k }) {
					t.Errorf("the schedule has no %s", k)
				}
			}
			violations, err := runSeed(t.Context(), o, c.seed)
			if err != nil {
				t.Fatal(err)
			}
			if len(violations) > 0 {
				t.Error(out.String())
			}
			if _, err := os.Stat(filepath.Join(o.reportDirectory, "seed-"+strconv.FormatUint(c.seed, 10)+".html")); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestCallersResumeStreamsThatBrokeOff(t *testing.T) {
	const events = "id: 4\ndata: piece 4\n\n: comment\n\nid: 5\ndata: piece 5\n\nid: 6\nda"
	broken := checker.Exchange{
		Request: requester.Request{ID: "r0", Events: 20, LastEventID: 3}, Response: requester.Response{Status: http.StatusOK, Body: events},
		Class: checker.Class{Name: "draft", Retryable: true}, Node: 1, Team: "team",
	}
	resumed, ok := new(loadGenerator).resumeStream(broken)
	want := checker.Exchange{Request: requester.Request{ID: "r1", Events: 20, LastEventID: 5, Resumes: "r0"}, Class: broken.Class, Team: "team"}
	if diff := cmp.Diff(want, resumed); !ok || diff != "" {
		t.Errorf("resumed: %v (-want +got):\n%s", ok, diff)
	}
	unanswered := resumed
	unanswered.ID = "r2"
	if again, ok := new(loadGenerator).resumeStream(unanswered); !ok || again.LastEventID != 5 || again.Resumes != "r0" {
		t.Errorf("a request for the rest that got no answer is repeated: %v, %+v", ok, again)
	}
	for name, modify := range map[string]func(e *checker.Exchange){
		"complete":       func(e *checker.Exchange) { e.Complete = true },
		"refused":        func(e *checker.Exchange) { e.Status = http.StatusServiceUnavailable },
		"not resumable":  func(e *checker.Exchange) { e.Class.Retryable = false },
		"without events": func(e *checker.Exchange) { e.Response.Body = "id: 4\nda" },
		"garbled":        func(e *checker.Exchange) { e.Response.Body += "x\n\n" },
	} {
		other := broken
		modify(&other)
		if _, ok := new(loadGenerator).resumeStream(other); ok {
			t.Errorf("%s: the stream is resumed", name)
		}
	}
}

// TestFailedSeedsHaveACause checks that each line of seeds.txt is a seed followed
// by the cause of its failure, as DEVELOPERS.md requires.
func TestFailedSeedsHaveACause(t *testing.T) {
	file, err := os.Open("seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		seed, cause, _ := strings.Cut(scanner.Text(), " ")
		if _, err := strconv.ParseUint(seed, 10, 64); err != nil || cause == "" {
			t.Errorf("%q is not a seed followed by a cause", scanner.Text())
		}
	}
}
