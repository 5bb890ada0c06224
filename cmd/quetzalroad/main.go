// Command quetzalroad runs a node of the router. The same program runs on every
// entry VM.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalroad/checker"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalroad/defaultsprinter"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalroad/server"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

func main() {
	streams := commander.SystemIOStreams()
	commands := commander.New("quetzalroad", streams)
	commands.Register(&server.Command{Streams: streams}, "")
	commands.Register(&checker.Command{Streams: streams}, "")
	commands.Register(&defaultsprinter.Command{Streams: streams}, "")
	flag.Parse()
	os.Exit(int(commands.Execute(context.Background())))
}
