package runner

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad/support/commander"
)

// buildNode builds the node's program for a test.
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
		streams: commander.IOStreams{Out: out, ErrOut: out}, program: buildNode(t), template: "../../../deploy/node.hujson",
		directory: t.TempDir(), report: t.TempDir(), nodes: 4, span: 6 * time.Second,
	}
}

func TestAShortSoakBreaksNoPromise(t *testing.T) {
	var out strings.Builder
	o := shortOptions(t, &out)
	findings, err := runSeed(t.Context(), o, 1)
	if err != nil {
		t.Fatal(err)
	}
	if len(findings) > 0 {
		t.Error(out.String())
	}
	if _, err := os.Stat(filepath.Join(o.report, "seed-1.html")); err != nil {
		t.Error(err)
	}
}

// TestSeedsThatFailedOnceAreReadable checks that each seed of seeds.txt stands with
// a line on its cause, as docs/OPERATIONS.md says how to run them.
func TestSeedsThatFailedOnceAreReadable(t *testing.T) {
	file, err := os.Open("seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		seed, cause, _ := strings.Cut(lines.Text(), " ")
		if _, err := strconv.ParseUint(seed, 10, 64); err != nil || cause == "" {
			t.Errorf("%q is no seed with its cause", lines.Text())
		}
	}
}
