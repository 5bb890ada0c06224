// Command quetzalsoak runs nodes as processes of their own before stand-ins of
// the users' platform, injects faults from outside them, and checks what callers
// and servers see.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/runner"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

func main() {
	streams := commander.SystemIOStreams()
	commands := commander.New("quetzalsoak", streams)
	commands.Register(&runner.Command{Streams: streams}, "")
	flag.Parse()
	os.Exit(int(commands.Execute(context.Background())))
}
