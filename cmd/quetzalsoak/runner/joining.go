package runner

import (
	"context"
	"syscall"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backendserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/scheduler"
)

const (
	// slowEventInterval makes streams last for seconds, so that most callers have one in progress after slowLead.
	slowEventInterval = 150 * time.Millisecond
	slowLead          = 2 * time.Second
	// The nodes are killed at one of joinKillSteps moments from the join on, of which the last one is before
	// maxJoinKillDelay. The moments lie closer to each other right after the join.
	joinKillSteps    = 30
	maxJoinKillDelay = 3 * time.Second
	// goOnTime is the time after the kill in which streams remain slow.
	goOnTime = 2 * time.Second
)

// killNodesAtJoin kills some of the nodes, all but two at most, at or soon after the moment at which a server
// of another software version joins.
func (i *injector) killNodesAtJoin(ctx context.Context, f scheduler.Fault) {
	servers := i.ServersOfStreams(true)
	i.setFaults(servers, backendserver.Faults{EventInterval: slowEventInterval})
	defer i.setFaults(servers, backendserver.Faults{})
	i.sleep(ctx, slowLead)
	i.JoinSpare()
	step := time.Duration(f.Target % joinKillSteps)
	i.sleep(ctx, maxJoinKillDelay*step*step/(joinKillSteps*joinKillSteps))
	first, count := f.Target%len(i.Nodes), 1+f.Target/joinKillSteps%max(1, len(i.Nodes)-2)
	var killed []int
	for n := range count {
		killed = append(killed, (first+n)%len(i.Nodes))
	}
	now := time.Now()
	i.Checker.RecordKill(killed, now)
	for _, n := range killed {
		i.recordDisruption(n, f, now.Add(time.Second))
		i.Nodes[n].Signal(syscall.SIGKILL, true)
	}
	i.sleep(ctx, goOnTime)
}
