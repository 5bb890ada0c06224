// Package drainer implements the commands that start and end the drain of an
// upstream.
package drainer

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"

	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/printer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/runner"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

type drainOptions struct {
	runner.Options
	verb string
}

// Command is the "upstream drain" or "upstream undrain" command.
type Command struct {
	Streams commander.IOStreams
	// Verb is "drain" or "undrain".
	Verb string
	// Run starts or ends the drain; nil means runDrain.
	Run     func(ctx context.Context, o *drainOptions) error
	options drainOptions
}

// Name implements subcommands.Command.
func (c *Command) Name() string { return c.Verb }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string {
	if c.Verb == "undrain" {
		return "send new requests to an upstream again"
	}
	return "stop sending new requests to an upstream"
}

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	return c.Verb + " NAME:\n  A drain takes effect within seconds, even while the log is unavailable.\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) { c.options.SetFlags(f) }

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Streams, c.options.verb = c.Streams, c.Verb
	run := c.Run
	if run == nil {
		run = runDrain
	}
	err := c.options.Complete(f)
	if err == nil {
		err = run(ctx, &c.options)
	}
	return c.Streams.ReportError(c.Verb, err)
}

func runDrain(ctx context.Context, o *drainOptions) error {
	name, err := o.SingleArg("upstream")
	if err != nil {
		return err
	}
	response, err := o.Client.Do(ctx, http.MethodPost, "upstreams/"+url.PathEscape(name)+"/"+o.verb, "", nil)
	if err != nil {
		return err
	}
	var result struct {
		Revision  int64 `json:"revision"`
		Published bool  `json:"published"`
	}
	if err := json.Unmarshal(response.Body, &result); err != nil {
		return err
	}
	if o.JSON {
		return printer.JSON(o.Streams.Out, json.RawMessage(response.Body))
	}
	message := fmt.Sprintf("published at revision %d", result.Revision)
	if !result.Published {
		message = "in force on the reachable nodes; published once the log is available again"
	}
	_, err = fmt.Fprintln(o.Streams.Out, message)
	return err
}
