// Package sloper is the command that measures what control costs at several
// sizes: bytes, processor time and memory a node, and the time in which an
// empty node recovers.
package sloper

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"runtime/pprof"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"gonum.org/v1/gonum/stat"

	"github.com/quetzalroad/quetzalroad/support/commander"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

type slopeOptions struct {
	streams   commander.IOStreams
	nodes     string
	places    string
	upstreams int
	teams     int
	rate      float64
	span      time.Duration
	profile   string
}

// Command is "slopes".
type Command struct {
	// Streams are the command's.
	Streams commander.IOStreams
	// Run measures; nil stands for the real one.
	Run     func(ctx context.Context, o *slopeOptions) error
	options slopeOptions
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "slopes" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "measure what control costs a node at several sizes" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `slopes [flags]:
  Brings up deployments of several sizes in this process, over loopback, with
  requests made at the interfaces, and prints bytes, processor time and memory
  a node with straight lines fitted to them.

  quetzalbench slopes -nodes 5,10,20,40
  quetzalbench slopes -nodes 2 -places 2,4,8,16
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	o := &c.options
	f.StringVar(&o.nodes, "nodes", "5,10,20,40", "nodes in each data centre, one size after another")
	f.StringVar(&o.places, "places", "1", "data centres, one size after another")
	f.IntVar(&o.upstreams, "upstreams", 68, "upstreams in each data centre")
	f.IntVar(&o.teams, "teams", 2600, "teams of the deployment")
	f.Float64Var(&o.rate, "rate", 25, "requests a second on each node")
	f.StringVar(&o.profile, "cpu-profile", "", "write a profile of the processor time to this file")
	f.DurationVar(&o.span, "span", 10*time.Second, "how long each size is measured")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.streams = c.Streams
	run := c.Run
	if run == nil {
		run = runSlopes
	}
	return c.Streams.ReportError("slopes", run(ctx, &c.options))
}

func parseList(name, text string) ([]int, error) {
	var list []int
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 1 {
			return nil, &commander.UsageError{Problem: fmt.Sprintf("-%s: %q is not a positive number", name, part)}
		}
		list = append(list, n)
	}
	return list, nil
}

// cost is what control costs a node of a deployment.
type cost struct {
	sent     float64
	received float64
	// byKind holds the bytes a second a node sends, by kind.
	byKind map[string]float64
	// core is the share of a core, heap the bytes of live memory.
	core float64
	heap float64
	pace float64
}

func runSlopes(ctx context.Context, o *slopeOptions) error {
	nodes, err := parseList("nodes", o.nodes)
	if err != nil {
		return err
	}
	places, err := parseList("places", o.places)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(o.streams.Out, "%-7s %-6s %10s %10s %10s %10s %9s %9s %8s\n",
		"places", "nodes", "heartbeat", "log", "reports", "received", "core", "heap", "pace"); err != nil {
		return err
	}
	var sizes, cores, heaps, beats []float64
	for _, p := range places {
		for _, n := range nodes {
			c, err := measure(ctx, o, size{places: p, nodes: n, upstreams: o.upstreams * p, teams: o.teams, rate: o.rate})
			if err != nil {
				return err
			}
			sizes = append(sizes, float64(p*n))
			cores, heaps, beats = append(cores, c.core), append(heaps, c.heap), append(beats, c.byKind["heartbeat"])
			if _, err := fmt.Fprintf(o.streams.Out, "%-7d %-6d %8.0f B %8.0f B %8.0f B %8.0f B %8.2f%% %6.1f MB %6.0fms\n",
				p, n, c.byKind["heartbeat"], c.byKind["log"], c.byKind["reports"], c.received, 100*c.core, c.heap/1e6, 1000*c.pace); err != nil {
				return err
			}
		}
	}
	if len(sizes) < 2 {
		return nil
	}
	line := func(what string, values []float64, scale float64, unit string) string {
		intercept, slope := stat.LinearRegression(sizes, values, nil, false)
		return fmt.Sprintf("%-10s = %.4g + %.4g × nodes, %s\n", what, intercept*scale, slope*scale, unit)
	}
	_, err = fmt.Fprint(o.streams.Out, line("heartbeat", beats, 1, "B/s sent a node"), line("core", cores, 100, "% of a core a node"), line("heap", heaps, 1e-6, "MB a node"))
	return err
}

// warmUp is how long a deployment runs before it is measured.
const warmUp = 15 * time.Second

func measure(ctx context.Context, o *slopeOptions, s size) (cost, error) {
	runtime.GC()
	var empty, full runtime.MemStats
	runtime.ReadMemStats(&empty)
	c, err := bringUp(ctx, s)
	defer c.close()
	if err != nil {
		return cost{}, err
	}
	playing, end := context.WithCancel(ctx)
	defer end()
	go c.play(playing)
	if err := sleeper.Sleep(ctx, warmUp); err != nil {
		return cost{}, err
	}
	stopProfile, err := o.startProfile()
	if err != nil {
		return cost{}, err
	}
	before, used := c.counters(), processor()
	err = sleeper.Sleep(ctx, o.span)
	stopProfile()
	if err != nil {
		return cost{}, err
	}
	after, usedThen := c.counters(), processor()
	runtime.GC()
	runtime.ReadMemStats(&full)
	return o.cost(s, before, after, usedThen-used, float64(full.HeapAlloc)-float64(empty.HeapAlloc)), nil
}

// startProfile begins a profile, if one is asked for, and gives what ends it.
func (o *slopeOptions) startProfile() (func(), error) {
	if o.profile == "" {
		return func() {}, nil
	}
	file, err := os.Create(o.profile)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.CombineErrors(err, file.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		// The profile was written; a failure to close shows when it is read.
		_ = file.Close()
	}, nil
}

func (o *slopeOptions) cost(s size, before, after counters, used time.Duration, heap float64) cost {
	nodes := float64(s.places * s.nodes)
	seconds := o.span.Seconds()
	c := cost{byKind: make(map[string]float64), core: used.Seconds() / seconds / nodes, heap: heap / nodes}
	for kind, n := range after.sent {
		c.byKind[kind] = float64(n-before.sent[kind]) / seconds / nodes
		c.sent += c.byKind[kind]
	}
	for kind, n := range after.received {
		if kind == "reports" {
			c.byKind[kind] = float64(n-before.received[kind]) / seconds / nodes
		}
		c.received += float64(n-before.received[kind]) / seconds / nodes
	}
	c.pace = after.pace
	return c
}

// counters sums the bytes of all nodes by kind.
type counters struct {
	sent     map[string]int64
	received map[string]int64
	// pace is the mean time between two rounds of heartbeats, in seconds.
	pace float64
}

func (c *cluster) counters() counters {
	total := counters{sent: make(map[string]int64), received: make(map[string]int64)}
	for _, n := range c.nodes {
		add(total.sent, n.Vars.Get("control-bytes-sent").String())
		add(total.received, n.Vars.Get("control-bytes-received").String())
		if seconds, err := strconv.ParseFloat(n.Vars.Get("heartbeat-pace-seconds").String(), 64); err == nil {
			total.pace += seconds / float64(len(c.nodes))
		}
	}
	return total
}

func add(sum map[string]int64, text string) {
	var one map[string]int64
	if json.Unmarshal([]byte(text), &one) != nil {
		return
	}
	for kind, n := range one {
		sum[kind] += n
	}
}

// processor gives the processor time of this process.
func processor() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
