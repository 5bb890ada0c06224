// Program rig3 runs the cases of the third review: nodes as processes on loopback addresses, with stand-ins of the
// store, the servers and the clients. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

// options are the arguments.
type options struct {
	// node is the path of the node's program, and template that of its settings.
	node, template string
	// trouble is set if the disruption takes place.
	trouble bool
}

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(options, *record) (bool, error){
	"mixed-versions":           runMixedVersions,
	"added-route":              runAddedRoute,
	"kept-channel":             runKeptChannel,
	"foreign-entry":            runForeignEntry,
	"streams-of-a-killed-node": runStreamsOfAKilledNode,
}

// maxTime bounds a run.
const maxTime = 110 * time.Second

func main() {
	// The nodes are killed when the thread ends that started them.
	runtime.LockOSThread()
	var o options
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file to write what was sent, answered and run to")
	flag.StringVar(&o.node, "node", "target/quetzalroad", "path of the node's program")
	flag.StringVar(&o.template, "template", "deploy/node.hujson", "path of the template of the nodes' settings")
	flag.BoolVar(&o.trouble, "trouble", os.Getenv("TROUBLE") != "0", "whether the disruption takes place")
	flag.Parse()
	os.Exit(run(*name, *path, o))
}

func run(name, path string, o options) int {
	runCase, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitFailed
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	r.printf("case %s, disruption: %v", name, o.trouble)
	time.AfterFunc(maxTime, func() {
		r.report("the case took too long")
		os.Exit(exitFailed)
	})
	broken, err := runCase(o, r)
	switch {
	case err != nil:
		r.report("the case could not run: %v", err)
		return exitFailed
	case broken:
		r.report("the rule was broken")
		return exitBroken
	}
	r.report("the rule held")
	return exitHeld
}
