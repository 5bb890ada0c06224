// Command standin runs the cases of the review: it starts the project's node as separate processes, with stand-ins for
// the platform's store, servers and clients, and checks a rule by what these see.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld = iota
	statusBroken
	statusFailed
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// errBroken is returned by a case that saw the rule broken.
var errBroken = errors.New("the rule was broken")

// caseFunc runs one case. With trouble unset it leaves out the disruption.
type caseFunc func(ctx context.Context, w *world, trouble bool) error

// cases are the cases by the name of their folder.
var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		os.Exit(serverMain(os.Args[2:]))
	}
	os.Exit(runMain())
}

// runMain runs the case that the flags name.
func runMain() int {
	name := flag.String("case", "", "name of the case")
	directory := flag.String("directory", "", "folder of the case, for record.txt")
	flag.Parse()
	run, ok := cases[*name]
	if !ok || *directory == "" {
		fmt.Fprintln(os.Stderr, "usage: standin -case NAME -directory DIR")
		return statusFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	w, err := newWorld(*directory)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	err = run(ctx, w, os.Getenv("TROUBLE") != "0")
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	status := statusHeld
	switch {
	case errors.Is(err, errBroken):
		status = statusBroken
	case err != nil:
		status = statusFailed
	}
	w.recordf("result: status %d, %v", status, err)
	w.close()
	fmt.Printf("status %d: %v\n", status, err)
	return status
}
