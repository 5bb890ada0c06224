// Package nodelister implements the command that lists the nodes.
package nodelister

import (
	"context"
	"flag"
	"strconv"

	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/printer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/runner"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// Command is the "node list" command.
type Command struct {
	Streams commander.IOStreams
	// Run lists the nodes; nil means runList.
	Run     func(ctx context.Context, o *runner.Options) error
	options runner.Options
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "list" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "list the nodes with their offset and lag" }

// Usage implements subcommands.Command.
func (*Command) Usage() string { return "list [-json]:\n" }

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) { c.options.SetFlags(f) }

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Streams = c.Streams
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

func runList(ctx context.Context, o *runner.Options) error {
	nodes, err := o.Client.ListNodes(ctx)
	if err != nil {
		return err
	}
	if o.JSON {
		return printer.JSON(o.Streams.Out, nodes)
	}
	var highest int64
	for _, n := range nodes {
		highest = max(highest, n.Offset)
	}
	var rows [][]string
	for _, n := range nodes {
		rows = append(rows, []string{
			n.Name, n.DataCentre, strconv.FormatInt(n.Offset, 10), strconv.FormatInt(highest-n.Offset, 10), formatEpoch(n.LogEpoch), n.HeardAgo, strconv.FormatBool(n.Stopping),
		})
	}
	return printer.Table(o.Streams, []string{"name", "data-centre", "offset", "behind", "log-epoch", "heard-ago", "stopping"}, rows)
}

// formatEpoch formats the epoch of the platform's log, which a node knows of itself only.
func formatEpoch(epoch uint64) string {
	if epoch == 0 {
		return "-"
	}
	return strconv.FormatUint(epoch, 10)
}
