// Package defaultsprinter implements the command that prints a commented settings
// file.
package defaultsprinter

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// Command is the "defaults" command.
type Command struct {
	Streams commander.IOStreams
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "defaults" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "print a commented settings file with every default" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `defaults:
  Prints every setting with its description and default value. Required settings
  are marked and left empty.

  quetzalroad defaults > node.hujson
`
}

// SetFlags implements subcommands.Command.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *Command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return c.Streams.ReportError("defaults", kernel.NewConfig().Schema().WriteDefaults(c.Streams.Out))
}
