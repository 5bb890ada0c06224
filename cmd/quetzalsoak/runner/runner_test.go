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
	var out strings.Builder
	o := shortOptions(t, &out)
	violations, err := runSeed(t.Context(), o, 1)
	if err != nil {
		t.Fatal(err)
	}
	if len(violations) > 0 {
		t.Error(out.String())
	}
	if _, err := os.Stat(filepath.Join(o.reportDirectory, "seed-1.html")); err != nil {
		t.Error(err)
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
