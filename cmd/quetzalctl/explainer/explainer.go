// Package explainer implements the command that reconstructs the course of one
// request from the nodes' logs.
package explainer

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/support/commander"
)

// options are the command's dependencies and arguments.
type options struct {
	streams commander.IOStreams
	// in is read if there are no files.
	in    io.Reader
	id    string
	files []string
}

// Command is the "explain" command.
type Command struct {
	Streams commander.IOStreams
	// Run explains the request; nil means runExplain.
	Run func(ctx context.Context, o *options) error
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "explain the outcome of a request from the nodes' logs" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `explain ID [FILE...]:
  Reads the nodes' logs from the files, or from standard input, and prints the
  decisions about the request with the id, the state changes of its nodes around
  that time, and the cause of its outcome.

  quetzalctl explain 9c41d07be2a35f68 node-1.log node-2.log
`
}

// SetFlags implements subcommands.Command.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.Streams.ReportError("explain", &commander.UsageError{Problem: "a request id is required"})
	}
	run := c.Run
	if run == nil {
		run = runExplain
	}
	return c.Streams.ReportError("explain", run(ctx, &options{streams: c.Streams, in: os.Stdin, id: f.Arg(0), files: f.Args()[1:]}))
}

func runExplain(_ context.Context, o *options) error {
	t := &timeline{requestID: o.id}
	if len(o.files) == 0 {
		if err := readLog(o.in, t.add); err != nil {
			return errors.Wrap(err, "standard input")
		}
	}
	for _, name := range o.files {
		if err := readLogFile(name, t.add); err != nil {
			return err
		}
	}
	if len(t.events) == 0 {
		return errors.Newf("no log line has request id %s: it reached none of these nodes, or its log lines were dropped", o.id)
	}
	return t.write(o.streams.Out)
}

func readLogFile(name string, add func(event)) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return errors.Wrap(readLog(file, add), name)
}
