// Command quetzalbench generates load for nodes and measures them.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalbench/loadgenerator"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalbench/overheadmeasurer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalbench/scalingmeasurer"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

func main() {
	streams := commander.SystemIOStreams()
	commands := commander.New("quetzalbench", streams)
	commands.Register(&loadgenerator.Command{Streams: streams}, "")
	commands.Register(&scalingmeasurer.Command{Streams: streams}, "")
	commands.Register(&overheadmeasurer.Command{Streams: streams}, "")
	flag.Parse()
	os.Exit(int(commands.Execute(context.Background())))
}
