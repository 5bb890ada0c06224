// Package runner implements the "run" command: for each seed it starts a
// deployment, injects the seed's faults under load, and prints the violated
// guarantees.
package runner

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/checker"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/deployer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/plotter"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/scheduler"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// options are the flags of the command.
type options struct {
	streams          commander.IOStreams
	nodeProgram      string
	settingsTemplate string
	directory        string
	reportDirectory  string
	firstSeed        uint64
	seedCount        int
	nodeCount        int
	faultPeriod      time.Duration
}

// Command is the "run" command.
type Command struct {
	// Streams are the command's input and outputs.
	Streams commander.IOStreams
	options options
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "run nodes under faults generated from seeds" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `run -node PROGRAM [flags]:
  Runs nodes as processes on loopback with emulators of the users' platform,
  injects the faults of each seed, and checks the platform's guarantees. It exits
  with 0 only if none was violated. The nodes' logs of a failed seed are kept.

  go build -o /tmp/quetzalroad ./cmd/quetzalroad
  quetzalsoak run -node /tmp/quetzalroad -seed 1 -seeds 50
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	o := &c.options
	f.StringVar(&o.nodeProgram, "node", "", "path of the node's executable")
	f.StringVar(&o.settingsTemplate, "template", "deploy/node.hujson", "path of the template of the nodes' settings")
	f.StringVar(&o.directory, "directory", filepath.Join(os.TempDir(), "quetzalsoak"), "directory for settings and logs")
	f.StringVar(&o.reportDirectory, "report", "", "directory to write an HTML page with a plot of each seed to")
	f.Uint64Var(&o.firstSeed, "seed", 1, "first seed")
	f.IntVar(&o.seedCount, "seeds", 1, "number of consecutive seeds to run, one after another")
	f.IntVar(&o.nodeCount, "nodes", 5, "number of nodes")
	f.DurationVar(&o.faultPeriod, "span", 20*time.Second, "period in which faults start")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.streams = c.Streams
	if c.options.nodeProgram == "" || f.NArg() > 0 {
		return c.Streams.ReportError("run", &commander.UsageError{Problem: "-node is required, and arguments other than flags are not allowed"})
	}
	return c.Streams.ReportError("run", runSeeds(ctx, c.options))
}

var errViolations = errors.New("guarantees were violated")

func runSeeds(ctx context.Context, o options) error {
	var result error
	for i := range uint64(o.seedCount) {
		violations, err := runSeed(ctx, o, o.firstSeed+i)
		if err != nil {
			return err
		}
		if len(violations) > 0 {
			result = errViolations
		}
	}
	return result
}

// seedResult is the result of a seed's run.
type seedResult struct {
	plotter.Run
	servedCount int
	// resumedCount is how many of the requests resumed a stream that had broken off.
	resumedCount int
}

// runSeed runs one seed, prints its result, and returns the violations. It keeps the logs only if there are any.
func runSeed(ctx context.Context, o options, seed uint64) ([]checker.Violation, error) {
	directory := filepath.Join(o.directory, fmt.Sprintf("seed-%d", seed))
	if err := errors.CombineErrors(os.RemoveAll(directory), os.MkdirAll(directory, 0o755)); err != nil {
		return nil, err
	}
	r, err := soak(ctx, o, seed, directory)
	if err != nil {
		return nil, err
	}
	if err := printResult(o, r, directory); err != nil {
		return nil, err
	}
	if o.reportDirectory != "" {
		if err := plotter.Write(filepath.Join(o.reportDirectory, fmt.Sprintf("seed-%d.html", seed)), r.Run); err != nil {
			return nil, err
		}
	}
	if len(r.Violations) > 0 {
		return r.Violations, nil
	}
	return nil, os.RemoveAll(directory)
}

func printResult(o options, r seedResult, directory string) error {
	servedPercent := 100 * float64(r.servedCount) / float64(max(1, len(r.Exchanges)))
	if _, err := fmt.Fprintf(o.streams.Out, "seed %d: %d faults, %d requests, %d resumed, %.1f%% served, %d violations\n", r.Seed, len(r.Faults), len(r.Exchanges), r.resumedCount, servedPercent, len(r.Violations)); err != nil {
		return err
	}
	if len(r.Violations) == 0 {
		return nil
	}
	var b strings.Builder
	for _, f := range r.Faults {
		fmt.Fprintf(&b, "  %s\n", f)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "  violation: %s\n", v)
	}
	_, err := fmt.Fprintf(o.streams.Out, "%s  logs: %s\n", b.String(), directory)
	return err
}

const (
	// recoveryTimeout is how long after the last fault the deployment may take to
	// recover, and recoveryCheckPeriod how long traffic is checked after that.
	recoveryTimeout     = 12 * time.Second
	recoveryCheckPeriod = 3 * time.Second
	// minRecoveredShare is the share of the requests sent during the check that must be served.
	minRecoveredShare = 0.25
)

// soak runs a deployment under load and the faults of a seed, and checks what was recorded.
func soak(ctx context.Context, o options, seed uint64, directory string) (seedResult, error) {
	r := seedResult{Run: plotter.Run{Seed: seed, Faults: scheduler.Generate(seed, o.faultPeriod)}}
	runCtx, endRun := context.WithCancel(ctx)
	d, err := deployer.Start(runCtx, deployer.Options{
		NodeProgram: o.nodeProgram, SettingsTemplate: o.settingsTemplate, Directory: directory, NodeCount: o.nodeCount, Logger: slog.New(slog.NewTextHandler(o.streams.ErrOut, nil)),
	})
	if d != nil {
		defer d.Close()
	}
	defer endRun()
	if err != nil {
		return r, err
	}
	trafficCtx, stopTraffic := context.WithCancel(runCtx)
	defer stopTraffic()
	r.Start = time.Now()
	var group sync.WaitGroup
	group.Go(func() { watchStalls(trafficCtx, d.Checker) })
	generator := &loadGenerator{Deployment: d, seed: seed, ready: make([]atomic.Bool, len(d.Nodes))}
	for i := range d.Nodes {
		group.Go(func() { generator.pollReadiness(trafficCtx, i) })
	}
	for i := range callersPerNode * len(d.Nodes) {
		group.Go(func() { generator.runCaller(trafficCtx, i) })
	}
	faultInjector := &injector{Deployment: d}
	faultInjector.inject(runCtx, r.Start, r.Faults)
	faultsEnded := time.Now()
	faultInjector.sleep(runCtx, recoveryTimeout+recoveryCheckPeriod)
	stopTraffic()
	group.Wait()
	r.Exchanges = d.Checker.Exchanges()
	r.servedCount = checkRecovery(d.Checker, r.Exchanges, faultsEnded.Add(recoveryTimeout))
	r.resumedCount = countResumed(r.Exchanges)
	checkLogs(d)
	r.Violations = d.Checker.Check()
	return r, ctx.Err()
}

// countResumed returns how many requests resumed a stream.
func countResumed(exchanges []checker.Exchange) int {
	resumed := 0
	for _, e := range exchanges {
		if e.LastEventID > 0 {
			resumed++
		}
	}
	return resumed
}

// checkRecovery checks that requests are served again after the recovery, and
// returns how many were served in the whole run.
func checkRecovery(c *checker.Checker, exchanges []checker.Exchange, recoveredBy time.Time) int {
	served, sentAfter, servedAfter := 0, 0, 0
	for _, e := range exchanges {
		succeeded := e.Complete && e.Status == http.StatusOK
		if succeeded {
			served++
		}
		if e.Response.SentAt.After(recoveredBy) {
			sentAfter++
			if succeeded {
				servedAfter++
			}
		}
	}
	if float64(servedAfter) < minRecoveredShare*float64(sentAfter) || sentAfter == 0 {
		c.RecordViolation(checker.Violation{Rule: "recovery", Detail: fmt.Sprintf("%d of %d requests were served later than %s after the last fault", servedAfter, sentAfter, recoveryTimeout)})
	}
	return served
}

// checkLogs reports violated invariants, errors and panics in the nodes' logs.
func checkLogs(d *deployer.Deployment) {
	for _, n := range d.Nodes {
		file, err := os.Open(n.LogFile)
		if err != nil {
			d.Checker.RecordViolation(checker.Violation{Rule: "log", Detail: err.Error()})
			continue
		}
		scanner := bufio.NewScanner(file)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			line := scanner.Text()
			if strings.Contains(line, `"invariant broken"`) || strings.Contains(line, `"level":"ERROR"`) || strings.HasPrefix(line, "panic:") {
				d.Checker.RecordViolation(checker.Violation{Rule: "log", Detail: line})
			}
		}
		// Closing a file that was only read loses no data.
		_ = file.Close()
	}
}

const (
	// stallCheckInterval is how often the run checks its own clock, and stallThreshold
	// how late a check may be before it counts as a stall of the machine.
	stallCheckInterval = 50 * time.Millisecond
	stallThreshold     = 200 * time.Millisecond
)

// watchStalls records stalls of the machine as disruptions of all nodes, since no
// time limit can hold during them.
func watchStalls(ctx context.Context, c *checker.Checker) {
	last := time.Now()
	for {
		select {
		case <-time.After(stallCheckInterval):
		case <-ctx.Done():
			return
		}
		now := time.Now()
		if now.Sub(last) > stallCheckInterval+stallThreshold {
			c.RecordDisruption(allNodes, last, now, false)
		}
		last = now
	}
}
