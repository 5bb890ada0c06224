// Package scalingmeasurer implements the slopes command. It measures the cost of
// the control plane at several deployment sizes: bytes, CPU time and memory per
// node.
package scalingmeasurer

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

type scalingOptions struct {
	streams        commander.IOStreams
	nodes          string
	dataCentres    string
	upstreams      int
	teams          int
	rate           float64
	duration       time.Duration
	cpuProfileFile string
}

// Command is the slopes command.
type Command struct {
	Streams commander.IOStreams
	// Run overrides the implementation if not nil.
	Run     func(ctx context.Context, o *scalingOptions) error
	options scalingOptions
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "slopes" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string {
	return "measure the control-plane cost per node at several deployment sizes"
}

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `slopes [flags]:
  Starts deployments of several sizes in this process, connected over loopback,
  and prints the bytes, CPU time and memory per node, with linear fits of the
  heartbeat bytes, the CPU time and the heap.
  Requests call the nodes' interfaces directly and send nothing upstream.

  quetzalbench slopes -nodes 5,10,20,40
  quetzalbench slopes -nodes 2 -places 2,4,8,16
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	o := &c.options
	f.StringVar(&o.nodes, "nodes", "5,10,20,40", "comma-separated numbers of nodes in each data centre")
	f.StringVar(&o.dataCentres, "places", "1", "comma-separated numbers of data centres")
	f.IntVar(&o.upstreams, "upstreams", 68, "upstreams in each data centre")
	f.IntVar(&o.teams, "teams", 2600, "teams of the deployment")
	f.Float64Var(&o.rate, "rate", 25, "requests per second on each node")
	f.StringVar(&o.cpuProfileFile, "cpu-profile", "", "write a CPU profile to this file")
	f.DurationVar(&o.duration, "span", 10*time.Second, "how long to measure each size")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.streams = c.Streams
	run := c.Run
	if run == nil {
		run = runScaling
	}
	return c.Streams.ReportError("slopes", run(ctx, &c.options))
}

func parseList(flagName, text string) ([]int, error) {
	var list []int
	for item := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(item))
		if err != nil || n < 1 {
			return nil, &commander.UsageError{Problem: fmt.Sprintf("-%s: %q is not a positive number", flagName, item)}
		}
		list = append(list, n)
	}
	return list, nil
}

// nodeCost is the control-plane cost per node of a deployment.
type nodeCost struct {
	// sentBytes and receivedBytes are per second.
	sentBytes     float64
	receivedBytes float64
	// bytesByKind holds bytes per second by kind: received for reports, else sent.
	bytesByKind map[string]float64
	// cpuCores is the number of cores used.
	cpuCores float64
	// heapBytes is live heap memory, and heartbeatInterval is in seconds.
	heapBytes         float64
	heartbeatInterval float64
}

func runScaling(ctx context.Context, o *scalingOptions) error {
	nodes, err := parseList("nodes", o.nodes)
	if err != nil {
		return err
	}
	dataCentres, err := parseList("places", o.dataCentres)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(o.streams.Out, "%-7s %-6s %10s %10s %10s %10s %9s %9s %8s\n",
		"places", "nodes", "heartbeat", "log", "reports", "received", "core", "heap", "pace"); err != nil {
		return err
	}
	var nodeCounts, cores, heaps, heartbeatRates []float64
	for _, dataCentreCount := range dataCentres {
		for _, nodeCount := range nodes {
			c, err := measureCost(ctx, o, deploymentSize{dataCentres: dataCentreCount, nodesPerDataCentre: nodeCount, upstreams: o.upstreams * dataCentreCount, teams: o.teams, requestRate: o.rate})
			if err != nil {
				return err
			}
			nodeCounts = append(nodeCounts, float64(dataCentreCount*nodeCount))
			cores, heaps, heartbeatRates = append(cores, c.cpuCores), append(heaps, c.heapBytes), append(heartbeatRates, c.bytesByKind["heartbeat"])
			if _, err := fmt.Fprintf(o.streams.Out, "%-7d %-6d %8.0f B %8.0f B %8.0f B %8.0f B %8.2f%% %6.1f MB %6.0fms\n",
				dataCentreCount, nodeCount, c.bytesByKind["heartbeat"], c.bytesByKind["log"], c.bytesByKind["reports"], c.receivedBytes, 100*c.cpuCores, c.heapBytes/1e6, 1000*c.heartbeatInterval); err != nil {
				return err
			}
		}
	}
	if len(nodeCounts) < 2 {
		return nil
	}
	fitLine := func(metric string, values []float64, scale float64, unit string) string {
		intercept, slope := stat.LinearRegression(nodeCounts, values, nil, false)
		return fmt.Sprintf("%-10s = %.4g + %.4g × nodes, %s\n", metric, intercept*scale, slope*scale, unit)
	}
	_, err = fmt.Fprint(o.streams.Out, fitLine("heartbeat", heartbeatRates, 1, "B/s sent per node"), fitLine("core", cores, 100, "% of a core per node"), fitLine("heap", heaps, 1e-6, "MB per node"))
	return err
}

// warmUp is how long requests run before the measurement starts.
const warmUp = 15 * time.Second

func measureCost(ctx context.Context, o *scalingOptions, s deploymentSize) (nodeCost, error) {
	runtime.GC()
	var memBefore, memAfter runtime.MemStats
	runtime.ReadMemStats(&memBefore)
	c, err := startCluster(ctx, s)
	defer c.close()
	if err != nil {
		return nodeCost{}, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go c.generateRequests(loadCtx)
	if err := sleeper.Sleep(ctx, warmUp); err != nil {
		return nodeCost{}, err
	}
	stopProfile, err := o.startCPUProfile()
	if err != nil {
		return nodeCost{}, err
	}
	countersBefore, cpuBefore := c.readCounters(), processCPUTime()
	err = sleeper.Sleep(ctx, o.duration)
	stopProfile()
	if err != nil {
		return nodeCost{}, err
	}
	countersAfter, cpuAfter := c.readCounters(), processCPUTime()
	runtime.GC()
	runtime.ReadMemStats(&memAfter)
	return o.costPerNode(s, countersBefore, countersAfter, cpuAfter-cpuBefore, float64(memAfter.HeapAlloc)-float64(memBefore.HeapAlloc)), nil
}

// startCPUProfile starts a profile if one is requested, and returns its stop function.
func (o *scalingOptions) startCPUProfile() (func(), error) {
	if o.cpuProfileFile == "" {
		return func() {}, nil
	}
	file, err := os.Create(o.cpuProfileFile)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.CombineErrors(err, file.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		// The profile is written already; a failed close shows when it is read.
		_ = file.Close()
	}, nil
}

func (o *scalingOptions) costPerNode(s deploymentSize, before, after trafficCounters, cpuTime time.Duration, totalHeapBytes float64) nodeCost {
	nodes := float64(s.dataCentres * s.nodesPerDataCentre)
	seconds := o.duration.Seconds()
	c := nodeCost{bytesByKind: make(map[string]float64), cpuCores: cpuTime.Seconds() / seconds / nodes, heapBytes: totalHeapBytes / nodes}
	for kind, n := range after.sent {
		c.bytesByKind[kind] = float64(n-before.sent[kind]) / seconds / nodes
		c.sentBytes += c.bytesByKind[kind]
	}
	for kind, n := range after.received {
		if kind == "reports" {
			c.bytesByKind[kind] = float64(n-before.received[kind]) / seconds / nodes
		}
		c.receivedBytes += float64(n-before.received[kind]) / seconds / nodes
	}
	c.heartbeatInterval = after.heartbeatInterval
	return c
}

// trafficCounters holds the bytes of all nodes by kind.
type trafficCounters struct {
	sent     map[string]int64
	received map[string]int64
	// heartbeatInterval is the mean over all nodes, in seconds.
	heartbeatInterval float64
}

func (c *cluster) readCounters() trafficCounters {
	total := trafficCounters{sent: make(map[string]int64), received: make(map[string]int64)}
	for _, n := range c.nodes {
		addByKind(total.sent, n.Vars.Get("control-bytes-sent").String())
		addByKind(total.received, n.Vars.Get("control-bytes-received").String())
		if seconds, err := strconv.ParseFloat(n.Vars.Get("heartbeat-pace-seconds").String(), 64); err == nil {
			total.heartbeatInterval += seconds / float64(len(c.nodes))
		}
	}
	return total
}

// addByKind adds the counts of a JSON object to the totals.
func addByKind(totals map[string]int64, countsJSON string) {
	var counts map[string]int64
	if json.Unmarshal([]byte(countsJSON), &counts) != nil {
		return
	}
	for kind, n := range counts {
		totals[kind] += n
	}
}

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
