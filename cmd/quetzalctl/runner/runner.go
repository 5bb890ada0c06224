// Package runner runs the commands that are grouped under a noun, and holds the
// options common to all commands that use the admin API.
package runner

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/adminclient"
	"github.com/quetzalroad/quetzalroad/support/commander"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// Options are the common dependencies, flags and arguments of the commands that use the admin API.
type Options struct {
	Streams commander.IOStreams
	// JSON selects JSON output.
	JSON bool
	// Args are the arguments after the flags.
	Args []string
	// Client sends the requests; if nil, Complete creates it from the flags.
	Client *adminclient.Client

	nodes  string
	key    string
	author string
}

// SetFlags declares the common flags.
func (o *Options) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&o.JSON, "json", false, "print JSON")
	f.StringVar(&o.nodes, "nodes", os.Getenv("QUETZALCTL_NODES"), "comma-separated admin addresses of the nodes, as IP:port")
	f.StringVar(&o.key, "key", os.Getenv("QUETZALCTL_KEY"), "the operators' key")
	f.StringVar(&o.author, "author", os.Getenv("USER"), "author recorded with each change")
}

// Complete stores the arguments and creates the client unless it is set.
func (o *Options) Complete(f *flag.FlagSet) error {
	o.Args = f.Args()
	if o.Client != nil {
		return nil
	}
	nodes, err := adminclient.ParseNodes(o.nodes)
	if err != nil {
		return err
	}
	if o.key == "" {
		return &commander.UsageError{Problem: "no key is specified: use -key or set QUETZALCTL_KEY"}
	}
	o.Client = &adminclient.Client{Nodes: nodes, Key: o.key, Author: o.author}
	return nil
}

// SingleArg returns the single argument of a command.
func (o *Options) SingleArg(name string) (string, error) {
	if len(o.Args) != 1 {
		return "", &commander.UsageError{Problem: "exactly one " + name + " is required"}
	}
	return o.Args[0], nil
}

// Group is a noun with the commands under it.
type Group struct {
	Streams commander.IOStreams
	// Noun is the group's name.
	Noun string
	// Short is a one-line description.
	Short string
	// Commands are the group's verbs.
	Commands []subcommands.Command
}

// Name implements subcommands.Command.
func (g *Group) Name() string { return g.Noun }

// Synopsis implements subcommands.Command.
func (g *Group) Synopsis() string { return g.Short }

// Usage implements subcommands.Command.
func (g *Group) Usage() string {
	usage := g.Noun + " VERB [flags] [arguments]:\n"
	for _, c := range g.Commands {
		usage += fmt.Sprintf("  %-10s %s\n", c.Name(), c.Synopsis())
	}
	return usage
}

// SetFlags implements subcommands.Command.
func (*Group) SetFlags(*flag.FlagSet) {}

// Execute runs the command of a verb. For an unknown verb, the error suggests the
// closest match.
func (g *Group) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var names []string
	for _, c := range g.Commands {
		names = append(names, c.Name())
		if c.Name() == f.Arg(0) {
			return g.run(ctx, c, f.Args()[1:])
		}
	}
	problem := fmt.Sprintf("%q is not one of %s", f.Arg(0), strings.Join(names, ", "))
	if closest := configloader.ClosestMatch(f.Arg(0), names); closest != "" {
		problem += fmt.Sprintf(", did you mean %q?", closest)
	}
	return g.Streams.ReportError(g.Noun, &commander.UsageError{Problem: problem})
}

func (g *Group) run(ctx context.Context, c subcommands.Command, args []string) subcommands.ExitStatus {
	f := flag.NewFlagSet(g.Noun+" "+c.Name(), flag.ContinueOnError)
	f.SetOutput(g.Streams.ErrOut)
	f.Usage = func() {
		// A failure to print the usage can't be reported.
		_, _ = fmt.Fprint(g.Streams.ErrOut, c.Usage())
		f.PrintDefaults()
	}
	c.SetFlags(f)
	if err := f.Parse(args); err != nil {
		return commander.ExitUsage
	}
	return c.Execute(ctx, f)
}
