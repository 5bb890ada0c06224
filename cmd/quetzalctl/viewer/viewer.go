// Package viewer implements the command that shows one object.
package viewer

import (
	"context"
	"flag"
	"net/http"
	"net/url"

	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/runner"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

type showOptions struct {
	runner.Options
	kind string
}

// Command is the "show" command of a kind of object.
type Command struct {
	Streams commander.IOStreams
	// Kind is the kind's plural name in API paths.
	Kind string
	// Run shows the object; nil means runShow.
	Run     func(ctx context.Context, o *showOptions) error
	options showOptions
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "show" }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return "show one of the " + c.Kind + " as JSON" }

// Usage implements subcommands.Command.
func (*Command) Usage() string { return "show NAME:\n" }

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) { c.options.SetFlags(f) }

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Streams, c.options.kind = c.Streams, c.Kind
	run := c.Run
	if run == nil {
		run = runShow
	}
	err := c.options.Complete(f)
	if err == nil {
		err = run(ctx, &c.options)
	}
	return c.Streams.ReportError("show", err)
}

func runShow(ctx context.Context, o *showOptions) error {
	name, err := o.SingleArg("name")
	if err != nil {
		return err
	}
	response, err := o.Client.Do(ctx, http.MethodGet, o.kind+"/"+url.PathEscape(name), "", nil)
	if err != nil {
		return err
	}
	_, err = o.Streams.Out.Write(response.Body)
	return err
}
