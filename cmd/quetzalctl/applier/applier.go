// Package applier implements the command that creates or replaces all objects of a
// file.
package applier

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/runner"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/uploader"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/watcher"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

type applyOptions struct {
	runner.Options
	wait time.Duration
}

// Command is the "apply" command.
type Command struct {
	Streams commander.IOStreams
	// Run applies the objects; nil means runApply.
	Run     func(ctx context.Context, o *applyOptions) error
	options applyOptions
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "create or replace all objects of a file" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `apply FILE:
  FILE contains {"profiles":[…],"services":[…],"upstreams":[…],"teams":[…]} and
  may have comments. Objects are applied in that order, until the first error.

  quetzalctl apply examples/telhado-claro/objects.hujson
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.options.SetFlags(f)
	f.DurationVar(&c.options.wait, "wait", 15*time.Second, "how long to wait for the nodes to apply the change")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Streams = c.Streams
	run := c.Run
	if run == nil {
		run = runApply
	}
	err := c.options.Complete(f)
	if err == nil {
		err = run(ctx, &c.options)
	}
	return c.Streams.ReportError("apply", err)
}

// applyOrder lists the kinds of objects in the order in which they are applied.
var applyOrder = []string{"profiles", "services", "upstreams", "teams"}

func runApply(ctx context.Context, o *applyOptions) error {
	file, err := o.SingleArg("file")
	if err != nil {
		return err
	}
	data, err := uploader.ReadFile(o.Streams, file)
	if err != nil {
		return err
	}
	objects := make(map[string][]json.RawMessage)
	if err := json.Unmarshal(data, &objects); err != nil {
		return errors.Wrap(err, file)
	}
	lastOffset := int64(-1)
	count := 0
	for _, kind := range applyOrder {
		for _, object := range objects[kind] {
			result, err := uploader.Put(ctx, o.Client, kind, "", bytes.TrimSpace(object))
			if err != nil {
				return errors.Wrapf(err, "apply %s: object %d", kind, count+1)
			}
			lastOffset = max(lastOffset, result.Offset)
			count++
		}
	}
	if err := watcher.WaitForOffset(ctx, o.Streams, o.Client, lastOffset, o.wait); err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Streams.Out, "%d objects applied\n", count)
	return err
}
