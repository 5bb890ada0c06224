// Command lab runs the cases of the review: it starts nodes with the command and the settings template of the
// deploy file, stand-ins for the platform's store, servers and clients, brings about a disruption, and checks a
// rule against what the stand-ins saw.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run. With TROUBLE=0
// in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the scenarios by name.
var cases = map[string]func(l *lab) error{
	"last-keys":   runLastKeys,
	"descriptors": runDescriptors,
	"deadly-part": runPoison,
	"many-routes": runManyRoutes,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "clients" {
		os.Exit(runClients(os.Args[2], os.Args[3]))
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// runCase runs a scenario and returns its exit code.
func runCase(scenario func(l *lab) error, root, recordFile string) int {
	l, err := newLab(root, recordFile, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitNotRun
	}
	end := sync.OnceFunc(l.close)
	defer end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		end()
		os.Exit(exitNotRun)
	}()
	if err := scenario(l); err != nil {
		l.note("could not run: %v", err)
		return exitNotRun
	}
	return l.verdict()
}
