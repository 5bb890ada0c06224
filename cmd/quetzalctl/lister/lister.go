// Package lister implements the command that lists the objects of a kind.
package lister

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/printer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/runner"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

type listOptions struct {
	runner.Options
	kind    string
	columns []string
}

// Command is the "list" command of a kind of object.
type Command struct {
	Streams commander.IOStreams
	// Kind is the kind's plural name in API paths.
	Kind string
	// Columns are the fields shown in the table.
	Columns []string
	// Run lists the objects; nil means runList.
	Run     func(ctx context.Context, o *listOptions) error
	options listOptions
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "list" }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return "list all " + c.Kind }

// Usage implements subcommands.Command.
func (*Command) Usage() string { return "list [-json]:\n" }

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) { c.options.SetFlags(f) }

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Streams, c.options.kind, c.options.columns = c.Streams, c.Kind, c.Columns
	run := c.Run
	if run == nil {
		run = runList
	}
	err := c.options.Complete(f)
	if err == nil {
		err = run(ctx, &c.options)
	}
	return c.Streams.ReportError("list", err)
}

func runList(ctx context.Context, o *listOptions) error {
	items, err := o.Client.List(ctx, o.kind)
	if err != nil {
		return err
	}
	if o.JSON {
		return printer.JSON(o.Streams.Out, items)
	}
	var rows [][]string
	for _, item := range items {
		row, err := printer.FieldValues(item, o.columns)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	return printer.Table(o.Streams, o.columns, rows)
}
