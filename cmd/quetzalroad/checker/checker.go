// Package checker is the command that checks a settings file.
package checker

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// options are what the command depends on.
type options struct {
	streams commander.IOStreams
	files   []string
}

// Command is "check".
type Command struct {
	// Streams are the command's.
	Streams commander.IOStreams
	// Run checks the files; nil stands for the real one.
	Run func(ctx context.Context, o *options) error
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "check settings files without serving" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `check FILE...:
  Prints every finding as file:line:column: path: problem and exits 1 if there
  is any.

  quetzalroad check node.hujson
`
}

// SetFlags implements subcommands.Command.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.Streams.ReportError("check", &commander.UsageError{Problem: "at least one settings file is needed"})
	}
	run := c.Run
	if run == nil {
		run = runCheck
	}
	if err := run(ctx, &options{streams: c.Streams, files: f.Args()}); err != nil {
		// Findings go out bare, so that editors can follow them.
		_, _ = fmt.Fprintln(c.Streams.ErrOut, err)
		return commander.ExitFailure
	}
	return commander.ExitOK
}

func runCheck(_ context.Context, o *options) error {
	var all error
	for _, name := range o.files {
		data, err := os.ReadFile(name)
		if err == nil {
			err = kernel.NewConfig().Load(name, data)
		}
		if err == nil {
			_, err = fmt.Fprintln(o.streams.Out, name+": no findings")
		}
		all = join(all, err)
	}
	return all
}

func join(all, err error) error {
	switch {
	case err == nil:
		return all
	case all == nil:
		return err
	}
	return fmt.Errorf("%w\n%w", all, err)
}
