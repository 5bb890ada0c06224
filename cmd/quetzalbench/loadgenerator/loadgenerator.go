// Package loadgenerator implements the load command. It sends requests to nodes
// over HTTP in an open loop: arrivals don't wait for earlier responses.
package loadgenerator

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalbench/chatclient"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalbench/reporter"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

type loadOptions struct {
	streams          commander.IOStreams
	nodes            string
	apiKey           string
	model            string
	chatRate         float64
	draftRate        float64
	maxChatTokens    int
	maxDraftTokens   int
	firstTokenTarget time.Duration
	burstFactor      float64
	burstStart       time.Duration
	burstEnd         time.Duration
	abandonRatio     float64
	duration         time.Duration
	seed             uint64
	jsonFile         string
	htmlFile         string
}

// Command is the load command.
type Command struct {
	Streams commander.IOStreams
	// Run overrides the implementation if not nil.
	Run     func(ctx context.Context, o *loadOptions) error
	options loadOptions
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "send chats and drafts to nodes in an open loop" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `load -nodes IP:port,… [flags]:
  Sends chats and drafts at the given rates, with a burst of chats and callers
  that disconnect early, and reports target attainment, goodput, wasted tokens,
  latency percentiles and refusals. -json writes the summary as JSON, -report
  an HTML page with plots.

  quetzalbench load -nodes 127.0.0.1:8080 -chat-rate 50 -swing 3 -swing-from 5s -swing-until 10s -report load.html
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	o := &c.options
	f.StringVar(&o.nodes, "nodes", "", "comma-separated caller addresses of the nodes")
	f.StringVar(&o.apiKey, "key", "demo-team-key", "API key of the team")
	f.StringVar(&o.model, "model", "llm-orcamentos", "model to request")
	f.Float64Var(&o.chatRate, "chat-rate", 30, "chats per second")
	f.Float64Var(&o.draftRate, "draft-rate", 2, "drafts per second")
	f.IntVar(&o.maxChatTokens, "chat-tokens", 40, "maximum tokens of a chat")
	f.IntVar(&o.maxDraftTokens, "draft-tokens", 400, "maximum tokens of a draft")
	f.DurationVar(&o.firstTokenTarget, "target", 500*time.Millisecond, "target for the time to the first token")
	f.Float64Var(&o.burstFactor, "swing", 1, "factor applied to the chat rate during the burst")
	f.DurationVar(&o.burstStart, "swing-from", 5*time.Second, "start of the burst")
	f.DurationVar(&o.burstEnd, "swing-until", 10*time.Second, "end of the burst")
	f.Float64Var(&o.abandonRatio, "leave", 0.02, "share of requests whose caller disconnects once the target has passed")
	f.DurationVar(&o.duration, "duration", 20*time.Second, "how long to send requests")
	f.Uint64Var(&o.seed, "seed", 1, "random seed of the arrivals")
	f.StringVar(&o.jsonFile, "json", "", "write the summary as JSON to this file")
	f.StringVar(&o.htmlFile, "report", "", "write an HTML page with plots to this file")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.streams = c.Streams
	run := c.Run
	if run == nil {
		run = runLoad
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return c.Streams.ReportError("load", run(ctx, &c.options))
}

// generator is one run of the command.
type generator struct {
	options   *loadOptions
	nodes     []netip.AddrPort
	client    *http.Client
	startedAt time.Time
	mu        sync.Mutex
	// results is guarded by mu.
	results []reporter.Result
}

func runLoad(ctx context.Context, o *loadOptions) error {
	g := &generator{options: o, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
	for text := range strings.SplitSeq(o.nodes, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return &commander.UsageError{Problem: fmt.Sprintf("-nodes: %q is not an IP address with a port", text)}
		}
		g.nodes = append(g.nodes, address)
	}
	if err := g.run(ctx); err != nil {
		return err
	}
	summary := reporter.Summarize(g.results, o.duration, o.firstTokenTarget)
	if err := summary.Print(o.streams.Out); err != nil {
		return err
	}
	if o.jsonFile != "" {
		data, err := json.MarshalIndent(summary.JSON(), "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.jsonFile, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	if o.htmlFile == "" {
		return nil
	}
	return reporter.WriteHTML(o.htmlFile, summary, g.results)
}

const progressInterval = 2 * time.Second

// run sends requests for the configured duration and waits for all responses.
func (g *generator) run(ctx context.Context) error {
	g.startedAt = time.Now()
	sendCtx, stopSending := context.WithTimeout(ctx, g.options.duration)
	defer stopSending()
	var requests sync.WaitGroup
	random := rand.New(rand.NewPCG(g.options.seed, 0))
	seeds := []uint64{random.Uint64(), random.Uint64()}
	requests.Go(func() { g.generateArrivals(sendCtx, ctx, &requests, "chat", seeds[0]) })
	requests.Go(func() { g.generateArrivals(sendCtx, ctx, &requests, "draft", seeds[1]) })
	done := make(chan struct{})
	go func() {
		requests.Wait()
		close(done)
	}()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return ctx.Err()
		case <-ticker.C:
			g.mu.Lock()
			completed := len(g.results)
			g.mu.Unlock()
			if _, err := fmt.Fprintf(g.options.streams.ErrOut, "%s: %d requests completed\n", time.Since(g.startedAt).Round(time.Second), completed); err != nil {
				return err
			}
		}
	}
}

// rateAt returns a profile's requests per second at a time since the start.
func (g *generator) rateAt(profile string, elapsed time.Duration) float64 {
	o := g.options
	if profile == "draft" {
		return o.draftRate
	}
	if elapsed >= o.burstStart && elapsed < o.burstEnd {
		return o.chatRate * o.burstFactor
	}
	return o.chatRate
}

// generateArrivals starts a profile's requests with exponential interarrival times until sendCtx ends or the rate
// is zero. The requests run under ctx, so that those in flight are completed after the sending period.
func (g *generator) generateArrivals(sendCtx, ctx context.Context, requests *sync.WaitGroup, profile string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	for number := 0; ; number++ {
		rate := g.rateAt(profile, time.Since(g.startedAt))
		if rate <= 0 {
			return
		}
		timer := time.NewTimer(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-timer.C:
		case <-sendCtx.Done():
			timer.Stop()
			return
		}
		node := g.nodes[random.IntN(len(g.nodes))]
		abandons := random.Float64() < g.options.abandonRatio
		requests.Go(func() { g.send(ctx, node, profile, number, abandons) })
	}
}

func (g *generator) send(ctx context.Context, node netip.AddrPort, profile string, number int, abandons bool) {
	o := g.options
	request := chatclient.Request{Node: node, APIKey: o.apiKey, Profile: profile, Model: o.model, Prompt: fmt.Sprintf("%s %d of run %d", profile, number, o.seed), MaxTokens: o.maxChatTokens}
	if profile == "draft" {
		request.MaxTokens = o.maxDraftTokens
	}
	if abandons {
		var abandon context.CancelFunc
		ctx, abandon = context.WithTimeout(ctx, o.firstTokenTarget)
		defer abandon()
	}
	sentAt := time.Since(g.startedAt)
	response, err := chatclient.Send(ctx, g.client, request)
	result := reporter.Result{SentAt: sentAt, Class: profile, FirstTokenLatency: response.FirstTokenLatency, Duration: response.Duration, Tokens: response.Tokens, Complete: response.Complete, ErrorCode: response.ErrorCode}
	switch {
	case err != nil && abandons:
		result.ErrorCode = "left"
	case err != nil:
		result.ErrorCode = "connection-failed"
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, result)
}
