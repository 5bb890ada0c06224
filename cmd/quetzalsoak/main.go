// Command quetzalsoak is a fault-injection test. It runs nodes as processes with
// emulators of the users' platform, injects faults from outside the nodes, and
// checks what callers and upstream servers observe.
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
