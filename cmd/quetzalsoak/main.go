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
	ioStreams := commander.SystemIOStreams()
	commands := commander.New("quetzalsoak", ioStreams)
	commands.Register(&runner.Command{Streams: ioStreams}, "")
	flag.Parse()
	os.Exit(int(commands.Execute(context.Background())))
}
