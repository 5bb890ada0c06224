// Command quetzalbench drives load against nodes and measures them.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalbench/loader"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalbench/overheader"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalbench/sloper"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

func main() {
	streams := commander.SystemIOStreams()
	commands := commander.New("quetzalbench", streams)
	commands.Register(&loader.Command{Streams: streams}, "")
	commands.Register(&sloper.Command{Streams: streams}, "")
	commands.Register(&overheader.Command{Streams: streams}, "")
	flag.Parse()
	os.Exit(int(commands.Execute(context.Background())))
}
