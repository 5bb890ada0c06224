// Package runner is the command that soaks nodes: for each seed it brings a
// deployment up, injects the seed's faults under load, and lists the promises
// that were broken.
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

	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/deployer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/judge"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/plotter"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/scheduler"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// options say what to run.
type options struct {
	streams   commander.IOStreams
	program   string
	template  string
	directory string
	report    string
	seed      uint64
	seeds     int
	nodes     int
	span      time.Duration
}

// Command is "run".
type Command struct {
	// Streams are the command's.
	Streams commander.IOStreams
	options options
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "soak nodes under faults drawn from seeds" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `run -node PROGRAM [flags]:
  Runs nodes as processes on loopback before stand-ins of the users' platform,
  injects the faults of each seed, and checks the platform's promises. It exits 0
  only if none was broken. Of a seed that failed the nodes' logs are kept.

  go build -o /tmp/quetzalroad ./cmd/quetzalroad
  quetzalsoak run -node /tmp/quetzalroad -seed 1 -seeds 50
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	o := &c.options
	f.StringVar(&o.program, "node", "", "the node's program")
	f.StringVar(&o.template, "template", "deploy/node.hujson", "the template of the nodes' settings")
	f.StringVar(&o.directory, "directory", filepath.Join(os.TempDir(), "quetzalsoak"), "where settings and logs are kept")
	f.StringVar(&o.report, "report", "", "write a page with a plot of each seed to this directory")
	f.Uint64Var(&o.seed, "seed", 1, "the first seed")
	f.IntVar(&o.seeds, "seeds", 1, "how many seeds to run, one after another")
	f.IntVar(&o.nodes, "nodes", 5, "how many nodes")
	f.DurationVar(&o.span, "span", 20*time.Second, "how long faults begin")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.streams = c.Streams
	if c.options.program == "" || f.NArg() > 0 {
		return c.Streams.ReportError("run", &commander.UsageError{Problem: "-node is needed, and nothing beside flags"})
	}
	return c.Streams.ReportError("run", runSeeds(ctx, c.options))
}

var errBroken = errors.New("promises were broken")

func runSeeds(ctx context.Context, o options) error {
	var failed error
	for i := range uint64(o.seeds) {
		findings, err := runSeed(ctx, o, o.seed+i)
		if err != nil {
			return err
		}
		if len(findings) > 0 {
			failed = errBroken
		}
	}
	return failed
}

// result is what a seed's run gave.
type result struct {
	plotter.Run
	served int
}

// runSeed runs one seed and tells of it.
func runSeed(ctx context.Context, o options, seed uint64) ([]judge.Finding, error) {
	directory := filepath.Join(o.directory, fmt.Sprintf("seed-%d", seed))
	if err := errors.CombineErrors(os.RemoveAll(directory), os.MkdirAll(directory, 0o755)); err != nil {
		return nil, err
	}
	r, err := soak(ctx, o, seed, directory)
	if err != nil {
		return nil, err
	}
	if err := tell(o, r, directory); err != nil {
		return nil, err
	}
	if o.report != "" {
		if err := plotter.Write(filepath.Join(o.report, fmt.Sprintf("seed-%d.html", seed)), r.Run); err != nil {
			return nil, err
		}
	}
	if len(r.Findings) > 0 {
		return r.Findings, nil
	}
	return nil, os.RemoveAll(directory)
}

func tell(o options, r result, directory string) error {
	share := 100 * float64(r.served) / float64(max(1, len(r.Sent)))
	if _, err := fmt.Fprintf(o.streams.Out, "seed %d: %d faults, %d requests, %.1f%% served, %d broken promises\n", r.Seed, len(r.Faults), len(r.Sent), share, len(r.Findings)); err != nil {
		return err
	}
	if len(r.Findings) == 0 {
		return nil
	}
	var b strings.Builder
	for _, f := range r.Faults {
		fmt.Fprintf(&b, "  %s\n", f)
	}
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "  broken: %s\n", f)
	}
	_, err := fmt.Fprintf(o.streams.Out, "%s  logs: %s\n", b.String(), directory)
	return err
}

const (
	// recovery is the time after the last fault in which all must work again,
	// and recovered the time of traffic after it that is looked at.
	recovery  = 12 * time.Second
	recovered = 3 * time.Second
	// recoveredShare is the share of the requests that must be served then.
	recoveredShare = 0.25
)

// soak runs a deployment under the faults of a seed.
func soak(ctx context.Context, o options, seed uint64, directory string) (result, error) {
	r := result{Run: plotter.Run{Seed: seed, Faults: scheduler.Draw(seed, o.span)}}
	running, end := context.WithCancel(ctx)
	d, err := deployer.Start(running, deployer.Options{
		Program: o.program, Template: o.template, Directory: directory, Nodes: o.nodes, Logger: slog.New(slog.NewTextHandler(o.streams.ErrOut, nil)),
	})
	if d != nil {
		defer d.Close()
	}
	defer end()
	if err != nil {
		return r, err
	}
	traffic, stop := context.WithCancel(running)
	defer stop()
	r.Began = time.Now()
	var group sync.WaitGroup
	group.Go(func() { watchStalls(traffic, d.Judge) })
	l := &load{Deployment: d, seed: seed, ready: make([]atomic.Bool, len(d.Nodes))}
	for i := range d.Nodes {
		group.Go(func() { l.watch(traffic, i) })
	}
	for i := range callers * len(d.Nodes) {
		group.Go(func() { l.call(traffic, i) })
	}
	i := &injector{Deployment: d}
	i.inject(running, r.Began, r.Faults)
	over := time.Now()
	i.wait(running, recovery+recovered)
	stop()
	group.Wait()
	r.Sent = d.Judge.Sent()
	r.served = checkRecovery(d.Judge, r.Sent, over.Add(recovery))
	checkLogs(d)
	r.Findings = d.Judge.Findings()
	return r, ctx.Err()
}

// checkRecovery checks that requests are served again, and counts all that were.
func checkRecovery(j *judge.Judge, sent []judge.Sent, from time.Time) int {
	served, late, lateServed := 0, 0, 0
	for _, s := range sent {
		good := s.Complete && s.Status == http.StatusOK
		if good {
			served++
		}
		if s.Response.SentAt.After(from) {
			late++
			if good {
				lateServed++
			}
		}
	}
	if float64(lateServed) < recoveredShare*float64(late) || late == 0 {
		j.Find(judge.Finding{Rule: "recovery", What: fmt.Sprintf("%d of %d requests were served %s after the last fault", lateServed, late, recovery)})
	}
	return served
}

// checkLogs looks for broken invariants and failed tasks in the nodes' logs.
func checkLogs(d *deployer.Deployment) {
	for _, n := range d.Nodes {
		file, err := os.Open(n.Log)
		if err != nil {
			d.Judge.Find(judge.Finding{Rule: "log", What: err.Error()})
			continue
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			text := lines.Text()
			if strings.Contains(text, `"invariant broken"`) || strings.Contains(text, `"level":"ERROR"`) || strings.HasPrefix(text, "panic:") {
				d.Judge.Find(judge.Finding{Rule: "log", What: text})
			}
		}
		// It was only read.
		_ = file.Close()
	}
}

const (
	// stallTick is how often the soak looks at its own clock, and stallBound how
	// late it may be before what it saw counts as the machine's.
	stallTick  = 50 * time.Millisecond
	stallBound = 200 * time.Millisecond
)

// watchStalls tells the judge when the machine itself stood still, in which no
// bound of time can hold.
func watchStalls(ctx context.Context, j *judge.Judge) {
	last := time.Now()
	for {
		select {
		case <-time.After(stallTick):
		case <-ctx.Done():
			return
		}
		now := time.Now()
		if now.Sub(last) > stallTick+stallBound {
			j.Trouble(everybody, last, now, false)
		}
		last = now
	}
}
