package runner

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backendserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/deployer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/faultproxy"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/scheduler"
)

const (
	// maxNoticeTime is the longest time between a server's notice and its end.
	maxNoticeTime = 2 * time.Second
	// plainTakenAwayDivisor is the part of the servers that are taken away which respond without streams, as a divisor.
	plainTakenAwayDivisor = 5
)

// takeServerAway takes a server away in the middle of its responses, of which there are many: the others of its kind
// reject requests before.
func (i *injector) takeServerAway(ctx context.Context, f scheduler.Fault) {
	after := min(f.Duration, maxNoticeTime)
	i.recordDisruption(allNodes, f, time.Now().Add(deployer.UnframedLead+after+f.Duration))
	servers := i.ServersOfStreams(f.Target%plainTakenAwayDivisor != 0)
	server := servers[f.Target%len(servers)]
	others := slices.DeleteFunc(servers, func(s *deployer.Server) bool { return s == server })
	i.group.Go(func() {
		i.setFaults(others, backendserver.Faults{RejectAll: true})
		i.sleep(ctx, deployer.UnframedLead)
		i.setFaults(others, backendserver.Faults{})
	})
	i.TakeServerAway(ctx, server, deployer.Notice(f.Target%int(deployer.NoticeCount)), after)
}

const (
	// seenAfter is how long after it has joined the other nodes have streams begin at a server, although a node
	// stands still. Then they begin only there for unseenLoadTime, and for unseenResumeTime callers connect to
	// the node that has not seen it and still stands still.
	seenAfter        = 8 * time.Second
	unseenLoadTime   = 1200 * time.Millisecond
	unseenResumeTime = time.Second
)

// joinUnseen has a server of another software version join while a node stands still. The callers of the other nodes lose
// their connections and come to that node, which can't reach the store when it goes on.
func (i *injector) joinUnseen(ctx context.Context, f scheduler.Fault, node *deployer.Node) {
	i.recordDisruption(allNodes, f, time.Now().Add(seenAfter+unseenLoadTime+unseenResumeTime+f.Duration))
	node.StoreProxy.SetMode(linkModes[scheduler.StoreLinkBlackhole])
	defer node.StoreProxy.SetMode(faultproxy.Mode{})
	node.Signal(syscall.SIGSTOP, false)
	i.JoinSpare()
	i.sleep(ctx, seenAfter)
	i.setFaults(i.ServersOfStreams(true), backendserver.Faults{RejectAll: true})
	i.sleep(ctx, unseenLoadTime)
	i.setFaults(i.ServersOfStreams(true), backendserver.Faults{})
	i.refuseCallers(node, true)
	i.sleep(ctx, unseenResumeTime)
	node.Signal(syscall.SIGCONT, false)
	i.sleep(ctx, f.Duration)
	i.refuseCallers(node, false)
}

// refuseCallers makes all nodes but one lose the connections of their callers and refuse others, or accept them again.
func (i *injector) refuseCallers(except *deployer.Node, refuse bool) {
	for _, n := range i.Nodes {
		if n == except {
			continue
		}
		n.CallerProxy.SetMode(faultproxy.Mode{RefuseConnections: refuse})
		if refuse {
			n.CallerProxy.Reset()
		}
	}
}

func (*injector) setFaults(servers []*deployer.Server, f backendserver.Faults) {
	for _, s := range servers {
		s.SetFaults(f)
	}
}
