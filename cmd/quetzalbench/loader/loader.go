// Package loader is the command that drives nodes over HTTP in an open loop:
// requests come when their time has come, whether or not earlier ones were
// answered.
package loader

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

	"github.com/quetzalroad/quetzalroad/cmd/quetzalbench/chatter"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalbench/reporter"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

type loadOptions struct {
	streams    commander.IOStreams
	nodes      string
	key        string
	model      string
	chatRate   float64
	draftRate  float64
	chatTokens int
	draftToken int
	target     time.Duration
	swing      float64
	swingFrom  time.Duration
	swingUntil time.Duration
	leave      float64
	duration   time.Duration
	seed       uint64
	out        string
	report     string
}

// Command is "load".
type Command struct {
	// Streams are the command's.
	Streams commander.IOStreams
	// Run drives the load; nil stands for the real one.
	Run     func(ctx context.Context, o *loadOptions) error
	options loadOptions
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "drive nodes with chats and drafts in an open loop" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `load -nodes IP:port,… [flags]:
  Sends chats and drafts at their rates, with a swing of the chats' rate and
  callers that leave early, and reports attainment, goodput, waste, percentiles
  and refusals. -json writes the figures, -report an HTML page with plots.

  quetzalbench load -nodes 127.0.0.1:8080 -chat-rate 50 -swing 3 -swing-from 5s -swing-until 10s -report load.html
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	o := &c.options
	f.StringVar(&o.nodes, "nodes", "", "callers' addresses of the nodes, separated by commas")
	f.StringVar(&o.key, "key", "demo-team-key", "the team's key")
	f.StringVar(&o.model, "model", "llm-orcamentos", "the model")
	f.Float64Var(&o.chatRate, "chat-rate", 30, "chats a second")
	f.Float64Var(&o.draftRate, "draft-rate", 2, "drafts a second")
	f.IntVar(&o.chatTokens, "chat-tokens", 40, "bound on a chat's tokens")
	f.IntVar(&o.draftToken, "draft-tokens", 400, "bound on a draft's tokens")
	f.DurationVar(&o.target, "target", 500*time.Millisecond, "time within which a chat's first token has to come")
	f.Float64Var(&o.swing, "swing", 1, "factor of the chats' rate during the swing")
	f.DurationVar(&o.swingFrom, "swing-from", 5*time.Second, "begin of the swing")
	f.DurationVar(&o.swingUntil, "swing-until", 10*time.Second, "end of the swing")
	f.Float64Var(&o.leave, "leave", 0.02, "share of callers that leave after the target")
	f.DurationVar(&o.duration, "duration", 20*time.Second, "how long requests are sent")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the arrivals")
	f.StringVar(&o.out, "json", "", "write the figures to this file")
	f.StringVar(&o.report, "report", "", "write an HTML page with plots to this file")
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

// load is a run under way.
type load struct {
	options *loadOptions
	nodes   []netip.AddrPort
	client  *http.Client
	began   time.Time
	mu      sync.Mutex
	// answers is guarded by mu.
	answers []reporter.Answer
}

func runLoad(ctx context.Context, o *loadOptions) error {
	l := &load{options: o, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
	for part := range strings.SplitSeq(o.nodes, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return &commander.UsageError{Problem: fmt.Sprintf("-nodes: %q is not an IP address with a port", part)}
		}
		l.nodes = append(l.nodes, a)
	}
	if err := l.drive(ctx); err != nil {
		return err
	}
	figures := reporter.Sum(l.answers, o.duration, o.target)
	if err := figures.Print(o.streams.Out); err != nil {
		return err
	}
	if o.out != "" {
		data, err := json.MarshalIndent(figures.Form(), "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.out, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	if o.report == "" {
		return nil
	}
	return reporter.WriteHTML(o.report, figures, l.answers)
}

// progressEvery is the time between two progress lines.
const progressEvery = 2 * time.Second

// drive sends the requests and waits for the last answer.
func (l *load) drive(ctx context.Context) error {
	l.began = time.Now()
	sending, end := context.WithTimeout(ctx, l.options.duration)
	defer end()
	var group sync.WaitGroup
	random := rand.New(rand.NewPCG(l.options.seed, 0))
	seeds := []uint64{random.Uint64(), random.Uint64()}
	group.Go(func() { l.arrive(sending, ctx, &group, "chat", seeds[0]) })
	group.Go(func() { l.arrive(sending, ctx, &group, "draft", seeds[1]) })
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return ctx.Err()
		case <-ticker.C:
			l.mu.Lock()
			count := len(l.answers)
			l.mu.Unlock()
			if _, err := fmt.Fprintf(l.options.streams.ErrOut, "%s: %d answered\n", time.Since(l.began).Round(time.Second), count); err != nil {
				return err
			}
		}
	}
}

// rate gives the requests a second of a profile at a time of the run.
func (l *load) rate(profile string, at time.Duration) float64 {
	o := l.options
	if profile == "draft" {
		return o.draftRate
	}
	if at >= o.swingFrom && at < o.swingUntil {
		return o.chatRate * o.swing
	}
	return o.chatRate
}

// arrive sends the requests of a profile when their time has come.
func (l *load) arrive(sending, ctx context.Context, group *sync.WaitGroup, profile string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	for number := 0; ; number++ {
		rate := l.rate(profile, time.Since(l.began))
		if rate <= 0 {
			return
		}
		timer := time.NewTimer(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-timer.C:
		case <-sending.Done():
			timer.Stop()
			return
		}
		to := l.nodes[random.IntN(len(l.nodes))]
		leaves := random.Float64() < l.options.leave
		group.Go(func() { l.send(ctx, to, profile, number, leaves) })
	}
}

func (l *load) send(ctx context.Context, to netip.AddrPort, profile string, number int, leaves bool) {
	o := l.options
	ask := chatter.Ask{To: to, Key: o.key, Profile: profile, Model: o.model, Text: fmt.Sprintf("%s %d of run %d", profile, number, o.seed), MaxTokens: o.chatTokens}
	if profile == "draft" {
		ask.MaxTokens = o.draftToken
	}
	if leaves {
		var leave context.CancelFunc
		ctx, leave = context.WithTimeout(ctx, o.target)
		defer leave()
	}
	at := time.Since(l.began)
	a, err := chatter.Send(ctx, l.client, ask)
	one := reporter.Answer{At: at, Class: profile, First: a.First, Took: a.Took, Tokens: a.Tokens, Whole: a.Whole, Code: a.Code}
	switch {
	case err != nil && leaves:
		one.Code = "left"
	case err != nil:
		one.Code = "connection-failed"
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, one)
}
