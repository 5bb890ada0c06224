// Command quetzalroad is the node of the router. The same program runs on
// every entry VM.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalroad/checker"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalroad/defaulter"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalroad/server"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

func main() {
	streams := commander.SystemIOStreams()
	commands := commander.New("quetzalroad", streams)
	commands.Register(&server.Command{Streams: streams}, "")
	commands.Register(&checker.Command{Streams: streams}, "")
	commands.Register(&defaulter.Command{Streams: streams}, "")
	flag.Parse()
	os.Exit(int(commands.Execute(context.Background())))
}
