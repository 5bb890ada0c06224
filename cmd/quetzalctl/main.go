// Command quetzalctl is the operators' command line over the admin API.
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
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/grouper"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/lister"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/noder"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/putter"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/shower"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/statuser"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// verbs gives the commands that every kind of object has.
func verbs(s commander.IOStreams, kind string, columns ...string) []subcommands.Command {
	return []subcommands.Command{
		&lister.Command{Streams: s, Kind: kind, Columns: columns},
		&shower.Command{Streams: s, Kind: kind},
		&putter.Command{Streams: s, Kind: kind},
		&editor.Command{Streams: s, Kind: kind},
		&deleter.Command{Streams: s, Kind: kind},
	}
}

func main() {
	s := commander.SystemIOStreams()
	commands := commander.New("quetzalctl", s)
	groups := []*grouper.Group{
		{Noun: "profile", Short: "profiles", Commands: verbs(s, "profiles", "name", "class", "tier", "first-token-target", "timeout", "idempotent", "revision")},
		{Noun: "team", Short: "teams", Commands: append(verbs(s, "teams", "name", "default-profile", "weight", "tokens-per-second", "concurrency", "revision"),
			&putter.Command{Streams: s, Kind: "teams", Verb: "create", Create: true})},
		{Noun: "service", Short: "services", Commands: verbs(s, "services", "name", "kind", "models", "default-profile", "revision")},
		{Noun: "upstream", Short: "upstreams", Commands: append(verbs(s, "upstreams", "name", "service", "address", "data-centre", "slots", "draining", "revision"),
			&putter.Command{Streams: s, Kind: "upstreams", Verb: "add", Create: true},
			&drainer.Command{Streams: s, Verb: "drain"},
			&drainer.Command{Streams: s, Verb: "undrain"})},
		{Noun: "node", Short: "nodes", Commands: []subcommands.Command{&noder.Command{Streams: s}}},
	}
	for _, g := range groups {
		g.Streams = s
		commands.Register(g, "")
	}
	commands.Register(&applier.Command{Streams: s}, "")
	commands.Register(&explainer.Command{Streams: s}, "")
	commands.Register(&statuser.Command{Streams: s}, "")
	commands.Register(&statuser.Command{Streams: s, Top: true}, "")
	flag.Parse()
	os.Exit(int(commands.Execute(context.Background())))
}
