// Package overheadmeasurer implements the overhead command. It compares requests
// through a node with the same requests sent directly to the engine.
package overheadmeasurer

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalbench/chatclient"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

type overheadOptions struct {
	streams     commander.IOStreams
	engine      string
	node        string
	admin       string
	apiKey      string
	adminKey    string
	model       string
	requests    int
	maxTokens   int
	openStreams int
}

// Command is the overhead command.
type Command struct {
	Streams commander.IOStreams
	// Run overrides the implementation if not nil.
	Run     func(ctx context.Context, o *overheadOptions) error
	options overheadOptions
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "overhead" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string {
	return "measure the latency and resources that a node adds to a request"
}

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `overhead -engine IP:port -node IP:port -admin IP:port [flags]:
  Sends the same chats alternately to an engine and through a node, and prints
  the first-token and inter-token latency of both. Then measures the node's CPU
  time per request and its memory per open stream.
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	o := &c.options
	f.StringVar(&o.engine, "engine", "", "address of the engine")
	f.StringVar(&o.node, "node", "", "caller address of the node")
	f.StringVar(&o.admin, "admin", "", "admin API address of the node")
	f.StringVar(&o.apiKey, "key", "demo-team-key", "API key of the team")
	f.StringVar(&o.adminKey, "admin-key", "demo-admin-key", "key of the admin API")
	f.StringVar(&o.model, "model", "llm-orcamentos", "model to request")
	f.IntVar(&o.requests, "requests", 200, "chats to send to the engine, and as many through the node")
	f.IntVar(&o.maxTokens, "tokens", 30, "maximum tokens of each response")
	f.IntVar(&o.openStreams, "open", 1000, "streams to hold open for the memory measurement")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.streams = c.Streams
	run := c.Run
	if run == nil {
		run = runOverhead
	}
	return c.Streams.ReportError("overhead", run(ctx, &c.options))
}

// latencies holds first-token and inter-token latencies, in microseconds.
type latencies struct {
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
}

func newLatencies() latencies {
	const maxValue, significantDigits = int64(time.Minute / time.Microsecond), 3
	return latencies{firstToken: hdrhistogram.New(1, maxValue, significantDigits), interToken: hdrhistogram.New(1, maxValue, significantDigits)}
}

func (l latencies) record(r chatclient.Result) error {
	err := l.firstToken.RecordValue(r.FirstTokenLatency.Microseconds())
	for _, latency := range r.InterTokenLatencies {
		err = errors.CombineErrors(err, l.interToken.RecordValue(max(1, latency.Microseconds())))
	}
	return err
}

func runOverhead(ctx context.Context, o *overheadOptions) error {
	engine, err := netip.ParseAddrPort(o.engine)
	if err != nil {
		return &commander.UsageError{Problem: "-engine: " + err.Error()}
	}
	node, err := netip.ParseAddrPort(o.node)
	if err != nil {
		return &commander.UsageError{Problem: "-node: " + err.Error()}
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.openStreams}}
	direct, viaNode := newLatencies(), newLatencies()
	for i := range o.requests {
		for _, target := range []struct {
			address   netip.AddrPort
			latencies latencies
		}{{engine, direct}, {node, viaNode}} {
			result, err := chatclient.Send(ctx, client, o.newRequest(target.address, i))
			if err != nil {
				return err
			}
			if !result.Complete {
				return errors.Newf("chat to %s did not complete: %s", target.address, result.ErrorCode)
			}
			if err := target.latencies.record(result); err != nil {
				return err
			}
		}
	}
	if err := o.printLatencies(direct, viaNode); err != nil {
		return err
	}
	if err := o.measureCPU(ctx, client, node); err != nil {
		return err
	}
	return o.measureStreamMemory(ctx, client, node)
}

func (o *overheadOptions) newRequest(address netip.AddrPort, number int) chatclient.Request {
	return chatclient.Request{Node: address, APIKey: o.apiKey, Model: o.model, Prompt: fmt.Sprintf("Question %d about panels", number), MaxTokens: o.maxTokens}
}

func (o *overheadOptions) printLatencies(direct, viaNode latencies) error {
	row := func(name string, directLatencies, nodeLatencies *hdrhistogram.Histogram, percentile float64) string {
		directValue, nodeValue := directLatencies.ValueAtQuantile(percentile), nodeLatencies.ValueAtQuantile(percentile)
		return fmt.Sprintf("%-28s %8d µs %8d µs %+8d µs\n", name, directValue, nodeValue, nodeValue-directValue)
	}
	_, err := fmt.Fprintf(o.streams.Out, "%-28s %11s %11s %11s\n%s%s%s%s", "", "direct", "via node", "added",
		row("first token, median", direct.firstToken, viaNode.firstToken, 50),
		row("first token, p99", direct.firstToken, viaNode.firstToken, 99),
		row("inter-token, median", direct.interToken, viaNode.interToken, 50),
		row("inter-token, p99", direct.interToken, viaNode.interToken, 99))
	return err
}

// nodeVars is the part of a node's expvar output that is read.
type nodeVars struct {
	Node struct {
		CPUSeconds float64 `json:"process-cpu-seconds"`
	} `json:"node"`
	Memstats struct {
		HeapInuse  uint64
		StackInuse uint64
	} `json:"memstats"`
}

// forceGC triggers a garbage collection if the node serves pprof, so that the
// memory read afterwards is memory in use.
func (o *overheadOptions) forceGC(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.admin+"/debug/pprof/heap?gc=1", http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+o.adminKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// readVars reads the node's variables after a garbage collection.
func (o *overheadOptions) readVars(ctx context.Context) (nodeVars, error) {
	var v nodeVars
	if err := o.forceGC(ctx); err != nil {
		return v, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.admin+"/debug/vars", http.NoBody)
	if err != nil {
		return v, err
	}
	request.Header.Set("Authorization", "Bearer "+o.adminKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return v, err
	}
	defer response.Body.Close()
	return v, json.NewDecoder(response.Body).Decode(&v)
}

const (
	// cpuWorkers is the number of concurrent chats while measuring CPU time.
	cpuWorkers        = 100
	requestsPerWorker = 40
)

// measureCPU measures the node's CPU time per request and its requests per
// second with many short concurrent chats.
func (o *overheadOptions) measureCPU(ctx context.Context, client *http.Client, node netip.AddrPort) error {
	before, err := o.readVars(ctx)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	errs := make(chan error, cpuWorkers)
	for w := range cpuWorkers {
		go func() {
			var err error
			for i := 0; i < requestsPerWorker && err == nil; i++ {
				_, err = chatclient.Send(ctx, client, o.newRequest(node, w*requestsPerWorker+i))
			}
			errs <- err
		}()
	}
	for range cpuWorkers {
		err = errors.CombineErrors(err, <-errs)
	}
	if err != nil {
		return err
	}
	elapsed := time.Since(startedAt)
	after, err := o.readVars(ctx)
	if err != nil {
		return err
	}
	requests := float64(cpuWorkers * requestsPerWorker)
	cpuSeconds := after.Node.CPUSeconds - before.Node.CPUSeconds
	_, err = fmt.Fprintf(o.streams.Out, "\n%.0f requests per second of at most %d tokens, %.0f µs of CPU time per request, %.2f cores\n",
		requests/elapsed.Seconds(), o.maxTokens, cpuSeconds/requests*1e6, cpuSeconds/elapsed.Seconds())
	return err
}

// settleTime is how long streams are open before the memory is read.
const settleTime = 2 * time.Second

// measureStreamMemory measures the memory of open streams, then cancels them.
func (o *overheadOptions) measureStreamMemory(ctx context.Context, client *http.Client, node netip.AddrPort) error {
	before, err := o.readVars(ctx)
	if err != nil {
		return err
	}
	streamCtx, cancelStreams := context.WithCancel(ctx)
	defer cancelStreams()
	stopped := make(chan struct{})
	for i := range o.openStreams {
		go func() {
			defer func() { stopped <- struct{}{} }()
			request := o.newRequest(node, i)
			request.MaxTokens = 0
			request.Prompt = fmt.Sprintf("A long proposal %d", i)
			// Errors are expected, since the streams are cancelled below.
			for streamCtx.Err() == nil {
				_, _ = chatclient.Send(streamCtx, client, request)
			}
		}()
	}
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	<-timer.C
	after, err := o.readVars(ctx)
	cancelStreams()
	for range o.openStreams {
		<-stopped
	}
	if err != nil {
		return err
	}
	usedBytes := float64(after.Memstats.HeapInuse+after.Memstats.StackInuse) - float64(before.Memstats.HeapInuse+before.Memstats.StackInuse)
	_, err = fmt.Fprintf(o.streams.Out, "%d open streams use %.1f MB more heap and stack, %.1f KB each\n", o.openStreams, usedBytes/1e6, usedBytes/1e3/float64(o.openStreams))
	return err
}
