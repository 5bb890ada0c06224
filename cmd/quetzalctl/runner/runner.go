// Package runner holds what the commands share: the groups of commands under
// a noun, and the options that every command has.
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

// Options are what every command depends on and its common flags.
type Options struct {
	Streams commander.IOStreams
	// JSON asks for output for programs.
	JSON bool
	// Args are the arguments after the flags.
	Args []string
	// Client calls the nodes; it is made from the flags where it is nil.
	Client *adminclient.Client

	nodes  string
	key    string
	author string
}

// SetFlags declares the common flags.
func (o *Options) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&o.JSON, "json", false, "print JSON")
	f.StringVar(&o.nodes, "nodes", os.Getenv("QUETZALCTL_NODES"), "admin addresses of the nodes, IP:port, separated by commas")
	f.StringVar(&o.key, "key", os.Getenv("QUETZALCTL_KEY"), "the operators' key")
	f.StringVar(&o.author, "author", os.Getenv("USER"), "who makes a change, for the record")
}

// Complete takes the arguments and makes the caller.
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
		return &commander.UsageError{Problem: "no key is given: give -key or set QUETZALCTL_KEY"}
	}
	o.Client = &adminclient.Client{Nodes: nodes, Key: o.key, Author: o.author}
	return nil
}

// SingleArg gives the single argument that a command takes.
func (o *Options) SingleArg(name string) (string, error) {
	if len(o.Args) != 1 {
		return "", &commander.UsageError{Problem: "one " + name + " is needed"}
	}
	return o.Args[0], nil
}

// Group is a noun with its verbs.
type Group struct {
	Streams commander.IOStreams
	// Noun is the group's name.
	Noun string
	// Short says in a line what it is about.
	Short string
	// Commands are the verbs.
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

// Execute runs the verb. An unknown one suggests the nearest.
func (g *Group) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var names []string
	for _, c := range g.Commands {
		names = append(names, c.Name())
		if c.Name() == f.Arg(0) {
			return g.run(ctx, c, f.Args()[1:])
		}
	}
	problem := fmt.Sprintf("%q is none of %s", f.Arg(0), strings.Join(names, ", "))
	if nearest := configloader.ClosestMatch(f.Arg(0), names); nearest != "" {
		problem += fmt.Sprintf(", did you mean %q?", nearest)
	}
	return g.Streams.ReportError(g.Noun, &commander.UsageError{Problem: problem})
}

func (g *Group) run(ctx context.Context, c subcommands.Command, args []string) subcommands.ExitStatus {
	f := flag.NewFlagSet(g.Noun+" "+c.Name(), flag.ContinueOnError)
	f.SetOutput(g.Streams.ErrOut)
	f.Usage = func() {
		// There is nowhere to report a failure to print the usage.
		_, _ = fmt.Fprint(g.Streams.ErrOut, c.Usage())
		f.PrintDefaults()
	}
	c.SetFlags(f)
	if err := f.Parse(args); err != nil {
		return commander.ExitUsage
	}
	return c.Execute(ctx, f)
}
