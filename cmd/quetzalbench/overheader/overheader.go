// Package overheader is the command that measures what a node adds to a
// request over the same engine called directly.
package overheader

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

	"github.com/quetzalroad/quetzalroad/cmd/quetzalbench/chatter"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

type overheadOptions struct {
	streams  commander.IOStreams
	engine   string
	node     string
	admin    string
	key      string
	adminKey string
	model    string
	requests int
	tokens   int
	streamed int
}

// Command is "overhead".
type Command struct {
	// Streams are the command's.
	Streams commander.IOStreams
	// Run measures; nil stands for the real one.
	Run     func(ctx context.Context, o *overheadOptions) error
	options overheadOptions
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "overhead" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "measure what a node adds to a request" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `overhead -engine IP:port -node IP:port -admin IP:port [flags]:
  Sends the same chats to an engine directly and through a node, in turn, and
  prints the first token and the time between tokens of both; then the
  processor time a request and the memory of a thousand open streams.
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	o := &c.options
	f.StringVar(&o.engine, "engine", "", "address of the engine")
	f.StringVar(&o.node, "node", "", "callers' address of the node")
	f.StringVar(&o.admin, "admin", "", "operators' address of the node")
	f.StringVar(&o.key, "key", "demo-team-key", "the team's key")
	f.StringVar(&o.adminKey, "admin-key", "demo-admin-key", "the operators' key")
	f.StringVar(&o.model, "model", "llm-orcamentos", "the model")
	f.IntVar(&o.requests, "requests", 200, "chats sent each way")
	f.IntVar(&o.tokens, "tokens", 30, "tokens of each answer at most")
	f.IntVar(&o.streamed, "open", 1000, "streams held open for the memory")
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

// times holds first tokens and gaps, in microseconds.
type times struct {
	first *hdrhistogram.Histogram
	gap   *hdrhistogram.Histogram
}

func newTimes() times {
	const highest, figures = int64(time.Minute / time.Microsecond), 3
	return times{first: hdrhistogram.New(1, highest, figures), gap: hdrhistogram.New(1, highest, figures)}
}

func (t times) add(a chatter.Answer) error {
	err := t.first.RecordValue(a.First.Microseconds())
	for _, g := range a.Gaps {
		err = errors.CombineErrors(err, t.gap.RecordValue(max(1, g.Microseconds())))
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
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.streamed}}
	direct, through := newTimes(), newTimes()
	for i := range o.requests {
		for _, way := range []struct {
			to    netip.AddrPort
			times times
		}{{engine, direct}, {node, through}} {
			a, err := chatter.Send(ctx, client, o.ask(way.to, i))
			if err != nil {
				return err
			}
			if !a.Whole {
				return errors.Newf("a chat to %s was not answered whole: %s", way.to, a.Code)
			}
			if err := way.times.add(a); err != nil {
				return err
			}
		}
	}
	if err := o.print(direct, through); err != nil {
		return err
	}
	if err := o.busy(ctx, client, node); err != nil {
		return err
	}
	return o.hold(ctx, client, node)
}

func (o *overheadOptions) ask(to netip.AddrPort, number int) chatter.Ask {
	return chatter.Ask{To: to, Key: o.key, Model: o.model, Text: fmt.Sprintf("Question %d about panels", number), MaxTokens: o.tokens}
}

func (o *overheadOptions) print(direct, through times) error {
	row := func(name string, a, b *hdrhistogram.Histogram, q float64) string {
		x, y := a.ValueAtQuantile(q), b.ValueAtQuantile(q)
		return fmt.Sprintf("%-28s %8d µs %8d µs %+8d µs\n", name, x, y, y-x)
	}
	_, err := fmt.Fprintf(o.streams.Out, "%-28s %11s %11s %11s\n%s%s%s%s", "", "direct", "by a node", "added",
		row("first token, median", direct.first, through.first, 50),
		row("first token, p99", direct.first, through.first, 99),
		row("between tokens, median", direct.gap, through.gap, 50),
		row("between tokens, p99", direct.gap, through.gap, 99))
	return err
}

// vars is what is read of a node's counters.
type vars struct {
	Node struct {
		Processor float64 `json:"process-cpu-seconds"`
	} `json:"node"`
	Memstats struct {
		HeapInuse  uint64
		StackInuse uint64
	} `json:"memstats"`
}

// collect makes the node collect its garbage, where it offers profiles, so that
// its memory holds no more than what is in use.
func (o *overheadOptions) collect(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.admin+"/debug/pprof/heap?gc=1", http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+o.adminKey)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

func (o *overheadOptions) vars(ctx context.Context) (vars, error) {
	var v vars
	if err := o.collect(ctx); err != nil {
		return v, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.admin+"/debug/vars", http.NoBody)
	if err != nil {
		return v, err
	}
	request.Header.Set("Authorization", "Bearer "+o.adminKey)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return v, err
	}
	defer answer.Body.Close()
	return v, json.NewDecoder(answer.Body).Decode(&v)
}

const (
	// busyWorkers is how many chats are open at once for the processor time.
	busyWorkers = 100
	// busyEach is how many chats each worker sends.
	busyEach = 40
)

// busy measures the processor time of the node's process a request, and the
// requests a second, with many short chats at once.
func (o *overheadOptions) busy(ctx context.Context, client *http.Client, node netip.AddrPort) error {
	before, err := o.vars(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	failed := make(chan error, busyWorkers)
	for w := range busyWorkers {
		go func() {
			var err error
			for i := 0; i < busyEach && err == nil; i++ {
				_, err = chatter.Send(ctx, client, o.ask(node, w*busyEach+i))
			}
			failed <- err
		}()
	}
	for range busyWorkers {
		err = errors.CombineErrors(err, <-failed)
	}
	if err != nil {
		return err
	}
	took := time.Since(began)
	after, err := o.vars(ctx)
	if err != nil {
		return err
	}
	count := float64(busyWorkers * busyEach)
	used := after.Node.Processor - before.Node.Processor
	_, err = fmt.Fprintf(o.streams.Out, "\n%.0f requests a second of at most %d tokens, %.0f µs of processor time a request, %.2f cores\n",
		count/took.Seconds(), o.tokens, used/count*1e6, used/took.Seconds())
	return err
}

// settle is how long streams are held before the memory is read.
const settle = 2 * time.Second

// hold measures the memory of open streams. They are cut off afterwards.
func (o *overheadOptions) hold(ctx context.Context, client *http.Client, node netip.AddrPort) error {
	before, err := o.vars(ctx)
	if err != nil {
		return err
	}
	holding, release := context.WithCancel(ctx)
	defer release()
	ended := make(chan struct{})
	for i := range o.streamed {
		go func() {
			defer func() { ended <- struct{}{} }()
			ask := o.ask(node, i)
			ask.MaxTokens = 0
			ask.Text = fmt.Sprintf("A long proposal %d", i)
			// The streams are cut off below, which is no failure.
			for holding.Err() == nil {
				_, _ = chatter.Send(holding, client, ask)
			}
		}()
	}
	timer := time.NewTimer(settle)
	defer timer.Stop()
	<-timer.C
	after, err := o.vars(ctx)
	release()
	for range o.streamed {
		<-ended
	}
	if err != nil {
		return err
	}
	used := float64(after.Memstats.HeapInuse+after.Memstats.StackInuse) - float64(before.Memstats.HeapInuse+before.Memstats.StackInuse)
	_, err = fmt.Fprintf(o.streams.Out, "%d open streams take %.1f MB more heap and stack, %.1f KB each\n", o.streamed, used/1e6, used/1e3/float64(o.streamed))
	return err
}
