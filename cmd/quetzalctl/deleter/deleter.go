// Package deleter implements the command that deletes an object.
package deleter

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"

	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/runner"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/uploader"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

type deleteOptions struct {
	runner.Options
	kind     string
	revision string
}

// Command is the "delete" command of a kind of object.
type Command struct {
	Streams commander.IOStreams
	// Kind is the kind's plural name in API paths.
	Kind string
	// Run deletes the object; nil means runDelete.
	Run     func(ctx context.Context, o *deleteOptions) error
	options deleteOptions
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "delete" }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return "delete one of the " + c.Kind }

// Usage implements subcommands.Command.
func (*Command) Usage() string { return "delete [-revision N] NAME:\n" }

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.options.SetFlags(f)
	f.StringVar(&c.options.revision, "revision", "", "the revision that the change is based on")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Streams, c.options.kind = c.Streams, c.Kind
	run := c.Run
	if run == nil {
		run = runDelete
	}
	err := c.options.Complete(f)
	if err == nil {
		err = run(ctx, &c.options)
	}
	return c.Streams.ReportError("delete", err)
}

func runDelete(ctx context.Context, o *deleteOptions) error {
	name, err := o.SingleArg("name")
	if err != nil {
		return err
	}
	path := o.kind + "/" + url.PathEscape(name)
	if o.revision == "" {
		if o.revision, err = uploader.CurrentRevision(ctx, o.Client, path); err != nil {
			return err
		}
	}
	if o.revision == "new" {
		return fmt.Errorf("%q does not exist in %s", name, o.kind)
	}
	if _, err := o.Client.Do(ctx, http.MethodDelete, path, o.revision, nil); err != nil {
		return err
	}
	_, err = fmt.Fprintln(o.Streams.Out, "deleted")
	return err
}
