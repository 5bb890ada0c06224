// Command quetzalctl is the operators' command line for the admin API.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/applier"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/deleter"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/drainer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/editor"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/explainer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/lister"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/nodelister"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/quarantinemanager"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/routeexplainer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/runner"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/statusviewer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/uploader"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/viewer"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// newObjectCommands returns the commands that every kind of object has. The columns are those of its list.
func newObjectCommands(streams commander.IOStreams, kind string, columns ...string) []subcommands.Command {
	return []subcommands.Command{
		&lister.Command{Streams: streams, Kind: kind, Columns: columns},
		&viewer.Command{Streams: streams, Kind: kind},
		&uploader.Command{Streams: streams, Kind: kind},
		&editor.Command{Streams: streams, Kind: kind},
		&deleter.Command{Streams: streams, Kind: kind},
	}
}

func main() {
	streams := commander.SystemIOStreams()
	commands := commander.New("quetzalctl", streams)
	groups := []*runner.Group{
		{Noun: "profile", Short: "profiles", Commands: newObjectCommands(streams, "profiles", "name", "class", "tier", "first-token-target", "timeout", "idempotent", "revision")},
		{Noun: "team", Short: "teams", Commands: append(newObjectCommands(streams, "teams", "name", "default-profile", "weight", "tokens-per-second", "concurrency", "revision"),
			&uploader.Command{Streams: streams, Kind: "teams", Verb: "create", Create: true})},
		{Noun: "service", Short: "services", Commands: newObjectCommands(streams, "services", "name", "kind", "models", "default-profile", "revision")},
		{Noun: "upstream", Short: "upstreams", Commands: append(newObjectCommands(streams, "upstreams", "name", "service", "address", "data-centre", "slots", "draining", "revision"),
			&uploader.Command{Streams: streams, Kind: "upstreams", Verb: "add", Create: true},
			&drainer.Command{Streams: streams, Verb: "drain"},
			&drainer.Command{Streams: streams, Verb: "undrain"})},
		{Noun: "quarantine", Short: "prompt segments that crash upstreams", Commands: []subcommands.Command{
			&quarantinemanager.Command{Streams: streams}, &quarantinemanager.Command{Streams: streams, Lift: true},
		}},
		{Noun: "node", Short: "nodes", Commands: []subcommands.Command{&nodelister.Command{Streams: streams}}},
	}
	for _, g := range groups {
		g.Streams = streams
		commands.Register(g, "")
	}
	commands.Register(&applier.Command{Streams: streams}, "")
	commands.Register(&explainer.Command{Streams: streams}, "")
	commands.Register(&routeexplainer.Command{Streams: streams}, "")
	commands.Register(&statusviewer.Command{Streams: streams}, "")
	commands.Register(&statusviewer.Command{Streams: streams, Top: true}, "")
	flag.Parse()
	os.Exit(int(commands.Execute(context.Background())))
}
