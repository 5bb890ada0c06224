// Package checker implements the command that checks settings files.
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

// options are the command's dependencies and arguments.
type options struct {
	streams commander.IOStreams
	files   []string
}

// Command is the "check" command.
type Command struct {
	Streams commander.IOStreams
	// Run checks the files; nil means runCheck.
	Run func(ctx context.Context, o *options) error
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "check settings files without running the node" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `check FILE...:
  Prints every finding as "file:line:column: path: problem" and exits with
  status 1 if there are any.

  quetzalroad check node.hujson
`
}

// SetFlags implements subcommands.Command.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.Streams.ReportError("check", &commander.UsageError{Problem: "at least one settings file is required"})
	}
	run := c.Run
	if run == nil {
		run = runCheck
	}
	if err := run(ctx, &options{streams: c.Streams, files: f.Args()}); err != nil {
		// Findings are printed without a prefix, so that editors can parse them.
		_, _ = fmt.Fprintln(c.Streams.ErrOut, err)
		return commander.ExitFailure
	}
	return commander.ExitOK
}

func runCheck(_ context.Context, o *options) error {
	var joined error
	for _, file := range o.files {
		data, err := os.ReadFile(file)
		if err == nil {
			err = kernel.NewConfig().Load(file, data)
		}
		if err == nil {
			_, err = fmt.Fprintln(o.streams.Out, file+": no findings")
		}
		joined = joinErrors(joined, err)
	}
	return joined
}

func joinErrors(joined, err error) error {
	switch {
	case err == nil:
		return joined
	case joined == nil:
		return err
	}
	return fmt.Errorf("%w\n%w", joined, err)
}
