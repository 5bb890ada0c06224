// Command quetzalemu emulates the router's environment (log, VM list, engines, services) and runs a demo deployment.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/demorunner"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/emulator"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

func main() {
	streams := commander.SystemIOStreams()
	commands := commander.New("quetzalemu", streams)
	commands.Register(&demorunner.Command{Streams: streams}, "")
	for _, c := range emulator.Commands(streams) {
		commands.Register(c, "stand-ins")
	}
	flag.Parse()
	os.Exit(int(commands.Execute(context.Background())))
}
