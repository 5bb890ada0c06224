// Package routeexplainer implements the command that shows where a request would go now, and why.
package routeexplainer

import (
	"context"
	"flag"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/runner"
	"github.com/quetzalroad/quetzalroad/codecs/explanationmapper"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// segmentList collects the values of a flag that may be repeated.
type segmentList []string

// String implements flag.Value.
func (l *segmentList) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *segmentList) Set(value string) error {
	*l = append(*l, value)
	return nil
}

// unset is the value of a count that is not stated.
const unset = -1

type routeOptions struct {
	runner.Options
	service, model, host, path, profile string
	promptTokens, maxTokens             int
	segments                            segmentList
}

// Command is the "route" command.
type Command struct {
	Streams commander.IOStreams
	// Run explains the route; nil means runRoute.
	Run     func(ctx context.Context, o *routeOptions) error
	options routeOptions
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "route" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string {
	return "show where a request would go now, and why, without sending it"
}

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `route -service NAME | -model NAME | [-host HOST] -path PATH:
  Asks the first node that responds. Each upstream of the service is listed with
  what counts for and against it. Equal upstreams are drawn at random.

  quetzalctl route -service llm -segment system:3000 -segment question:400
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	o := &c.options
	o.SetFlags(f)
	f.StringVar(&o.service, "service", "", "service that gets the request")
	f.StringVar(&o.model, "model", "", "requested model; the service's first one if not stated")
	f.StringVar(&o.host, "host", "", "host of the request, with -path")
	f.StringVar(&o.path, "path", "", "path of the request, whose route determines the services")
	f.StringVar(&o.profile, "profile", "", "profile of the request")
	f.IntVar(&o.promptTokens, "prompt-tokens", unset, "length of the prompt; the sum of the segments if not stated")
	f.IntVar(&o.maxTokens, "max-tokens", unset, "bound of the generated tokens")
	f.Var(&o.segments, "segment", "segment of the prompt as ID:TOKENS, repeated in order; other requests may share all but the last")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Streams = c.Streams
	run := c.Run
	if run == nil {
		run = runRoute
	}
	err := c.options.Complete(f)
	if err == nil {
		err = c.options.check()
	}
	if err == nil {
		err = run(ctx, &c.options)
	}
	return c.Streams.ReportError(c.Name(), err)
}

func (o *routeOptions) check() error {
	if len(o.Args) > 0 {
		return &commander.UsageError{Problem: "no arguments expected, got " + strconv.Quote(o.Args[0])}
	}
	if o.service == "" && o.model == "" && o.path == "" {
		return &commander.UsageError{Problem: "-service, -model or -path is required"}
	}
	if o.service != "" && o.path != "" {
		return &commander.UsageError{Problem: "-service and -path exclude each other"}
	}
	return nil
}

// query returns the request's description for the admin API.
func (o *routeOptions) query() string {
	query := url.Values{"segment": o.segments}
	for name, value := range map[string]string{"service": o.service, "model": o.model, "host": o.host, "path": o.path, "profile": o.profile} {
		if value != "" {
			query.Set(name, value)
		}
	}
	for name, value := range map[string]int{"prompt-tokens": o.promptTokens, "max-tokens": o.maxTokens} {
		if value != unset {
			query.Set(name, strconv.Itoa(value))
		}
	}
	return query.Encode()
}

func runRoute(ctx context.Context, o *routeOptions) error {
	response, err := o.Client.Do(ctx, http.MethodGet, "route?"+o.query(), "", nil)
	if err != nil {
		return err
	}
	if o.JSON {
		_, err := o.Streams.Out.Write(response.Body)
		return err
	}
	answer, err := explanationmapper.Decode(response.Body)
	if err != nil {
		return errors.Wrap(err, response.Node.String())
	}
	return printAnswer(o.Streams, answer)
}
