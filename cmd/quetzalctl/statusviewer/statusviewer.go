// Package statusviewer implements the commands that show the status of a node, once
// or periodically.
package statusviewer

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os/signal"
	"sort"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/printer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/runner"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// clearScreen clears the terminal and moves the cursor to the top.
const clearScreen = "\x1b[H\x1b[2J"

type statusOptions struct {
	runner.Options
	// interval is the refresh interval; zero means to show the status once.
	interval time.Duration
}

// Command is the "status" command or, if Top is set, the "top" command.
type Command struct {
	Streams commander.IOStreams
	// Top makes the command refresh the status periodically.
	Top bool
	// Run shows the status; nil means runStatus.
	Run     func(ctx context.Context, o *statusOptions) error
	options statusOptions
}

// Name implements subcommands.Command.
func (c *Command) Name() string {
	if c.Top {
		return "top"
	}
	return "status"
}

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string {
	if c.Top {
		return "show a node's state and refresh it periodically"
	}
	return "show a node's state: classes, queues, refusals, upstreams"
}

// Usage implements subcommands.Command.
func (c *Command) Usage() string { return c.Name() + " [-json]:\n" }

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.options.SetFlags(f)
	if c.Top {
		f.DurationVar(&c.options.interval, "every", 2*time.Second, "refresh interval")
	}
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Streams = c.Streams
	run := c.Run
	if run == nil {
		run = runStatus
	}
	err := c.options.Complete(f)
	if err == nil {
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		err = run(ctx, &c.options)
	}
	return c.Streams.ReportError(c.Name(), err)
}

func runStatus(ctx context.Context, o *statusOptions) error {
	for {
		if err := printStatus(ctx, o); err != nil {
			return err
		}
		if o.interval <= 0 {
			return nil
		}
		timer := time.NewTimer(o.interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		if o.Streams.IsTerminal {
			if _, err := fmt.Fprint(o.Streams.Out, clearScreen); err != nil {
				return err
			}
		}
	}
}

// nodeStatus is the status that a node reports.
type nodeStatus struct {
	Node           string           `json:"node"`
	DataCentre     string           `json:"data-centre"`
	Ready          bool             `json:"ready"`
	NotReadyReason string           `json:"not-ready-because"`
	InFlight       int              `json:"open"`
	Offset         int64            `json:"offset"`
	LogEpoch       uint64           `json:"log-epoch"`
	QueuedByTier   []int            `json:"queued-by-tier"`
	Upstreams      []upstreamStatus `json:"upstreams"`
	Counters       counters         `json:"counters"`
}

type upstreamStatus struct {
	Name           string `json:"name"`
	Service        string `json:"service"`
	MaxConcurrency int    `json:"slots"`
	Running        int    `json:"running"`
	Draining       bool   `json:"draining"`
	Leaving        bool   `json:"leaving"`
	Suspect        bool   `json:"suspect"`
}

type counters struct {
	FirstTokens         map[string]histogram `json:"first-tokens"`
	FirstTokensInTarget map[string]int64     `json:"first-tokens-in-target"`
	Refusals            map[string]int64     `json:"refusals"`
	Retries             map[string]int64     `json:"retries"`
}

type histogram struct {
	Count int64  `json:"count"`
	P50   string `json:"p50"`
	P95   string `json:"p95"`
	P99   string `json:"p99"`
}

func printStatus(ctx context.Context, o *statusOptions) error {
	response, err := o.Client.Do(ctx, http.MethodGet, "status", "", nil)
	if err != nil {
		return err
	}
	if o.JSON {
		_, err := o.Streams.Out.Write(response.Body)
		return err
	}
	var status nodeStatus
	if err := json.Unmarshal(response.Body, &status); err != nil {
		return errors.Wrap(err, "status")
	}
	return status.print(o.Streams)
}

func (s nodeStatus) print(streams commander.IOStreams) error {
	readiness := "ready"
	if !s.Ready {
		readiness = "not ready: " + s.NotReadyReason
	}
	if _, err := fmt.Fprintf(streams.Out, "%s in %s, %s, offset %d, log epoch %d, %d open, queued by tier %v\n\n", s.Node, s.DataCentre, readiness, s.Offset, s.LogEpoch, s.InFlight, s.QueuedByTier); err != nil {
		return err
	}
	if err := printer.Table(streams, []string{"class", "first-tokens", "in-target", "p50", "p95", "p99"}, s.classRows()); err != nil {
		return err
	}
	var rows [][]string
	for _, u := range s.Upstreams {
		rows = append(rows, []string{u.Name, u.Service, strconv.Itoa(u.Running), strconv.Itoa(u.MaxConcurrency), u.state()})
	}
	if _, err := fmt.Fprintln(streams.Out); err != nil {
		return err
	}
	if err := printer.Table(streams, []string{"upstream", "service", "running", "slots", "state"}, rows); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(streams.Out); err != nil {
		return err
	}
	return printer.Table(streams, []string{"counter", "reason", "count"}, append(counterRows("refused", s.Counters.Refusals), counterRows("retried", s.Counters.Retries)...))
}

func (s nodeStatus) classRows() [][]string {
	var rows [][]string
	for class, h := range s.Counters.FirstTokens {
		inTarget := "-"
		if h.Count > 0 {
			inTarget = fmt.Sprintf("%.2f%%", 100*float64(s.Counters.FirstTokensInTarget[class])/float64(h.Count))
		}
		rows = append(rows, []string{class, strconv.FormatInt(h.Count, 10), inTarget, h.P50, h.P95, h.P99})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][0] < rows[j][0] })
	return rows
}

func (u upstreamStatus) state() string {
	switch {
	case u.Draining:
		return "draining"
	case u.Leaving:
		return "leaving"
	case u.Suspect:
		return "suspect"
	}
	return "in use"
}

func counterRows(counter string, countsByReason map[string]int64) [][]string {
	var rows [][]string
	for reason, n := range countsByReason {
		rows = append(rows, []string{counter, reason, strconv.FormatInt(n, 10)})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][1] < rows[j][1] })
	return rows
}
