package runner

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backendserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/storeserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/deployer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/faultproxy"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/scheduler"
)

// injector injects the faults of a schedule.
type injector struct {
	*deployer.Deployment
	group sync.WaitGroup
}

// linkLatency is the latency that a delayed link adds in each direction.
const linkLatency = 120 * time.Millisecond

// inject injects all faults at their times and waits until they have ended, or returns once the context ends.
func (i *injector) inject(ctx context.Context, start time.Time, faults []scheduler.Fault) {
	for _, f := range faults {
		select {
		case <-time.After(time.Until(start.Add(f.Start))):
		case <-ctx.Done():
			return
		}
		i.group.Go(func() { i.injectFault(ctx, f) })
	}
	i.group.Wait()
}

// injectFault injects one fault, records which nodes it disrupts, and ends it.
func (i *injector) injectFault(ctx context.Context, f scheduler.Fault) {
	now := time.Now()
	nodeIndex := f.Target % len(i.Nodes)
	node := i.Nodes[nodeIndex]
	server := i.Servers[f.Target%len(i.Servers)]
	switch f.Kind {
	case scheduler.NodeStop:
		i.Checker.RecordStop(nodeIndex, now)
		i.recordDisruption(nodeIndex, f, now.Add(deployer.Bounds.ShutdownGrace+time.Second))
		node.Signal(syscall.SIGTERM, true)
	case scheduler.NodeKill:
		i.recordDisruption(nodeIndex, f, now.Add(time.Second))
		node.Signal(syscall.SIGKILL, true)
	case scheduler.AllNodesKill:
		i.recordDisruption(allNodes, f, now.Add(time.Second))
		for _, n := range i.Nodes {
			n.Signal(syscall.SIGKILL, true)
		}
	case scheduler.NodePause:
		i.recordDisruption(nodeIndex, f, now.Add(f.Duration))
		node.Signal(syscall.SIGSTOP, false)
		i.sleep(ctx, f.Duration)
		node.Signal(syscall.SIGCONT, false)
	case scheduler.StoreLinkBlackhole, scheduler.StoreLinkReset, scheduler.StoreLinkOneWay, scheduler.StoreLinkDelay:
		i.recordDisruption(nodeIndex, f, now.Add(f.Duration))
		i.disruptLink(ctx, f, node.StoreProxy)
	case scheduler.CallerLinkReset, scheduler.CallerLinkDelay:
		i.recordDisruption(nodeIndex, f, now.Add(f.Duration))
		i.disruptLink(ctx, f, node.CallerProxy)
	case scheduler.ServerLinkBlackhole, scheduler.ServerLinkReset, scheduler.ServerLinkOneWay, scheduler.ServerLinkDelay:
		i.Checker.RecordLinkDisruption(server.ID, now, now.Add(f.Duration))
		i.disruptLink(ctx, f, server.Proxy)
	case scheduler.StoreBusy, scheduler.StoreUnresponsive, scheduler.StoreCompaction, scheduler.StoreRestore:
		i.injectStoreFault(ctx, f)
	case scheduler.ServerLosesResponses, scheduler.ServerInterruptsStreams, scheduler.ServerRespondsTwice, scheduler.ServerFull,
		scheduler.ServerSendsEndlessBytes, scheduler.ServerGarblesStreams, scheduler.ServerGarblesResponses:
		i.injectServerFault(ctx, f)
	case scheduler.ServerDrain:
		i.DrainServer(ctx, server, f.Duration)
	case scheduler.ServerUpgrade, scheduler.UnseenVersion, scheduler.NodesKilledAtJoin:
		i.injectVersion(ctx, f, node)
	case scheduler.ServerTakenAway:
		i.takeServerAway(ctx, f)
	case scheduler.ServerCrash:
		i.recordDisruption(allNodes, f, now.Add(f.Duration))
		i.CrashServer(ctx, server, f.Duration)
	case scheduler.ConfigChange:
		i.SwitchService()
	case scheduler.KeyRotation:
		i.RotateKey()
	case scheduler.LastKeyWithdrawal:
		i.WithdrawAllKeys(ctx, f.Duration)
	case scheduler.ServerAnnouncesDrain:
		i.AnnounceDrain(ctx, server, f.Duration)
	case scheduler.ServerAsksForPause:
		server.SetFaults(backendserver.Faults{RejectAll: true, RetryAfter: f.Duration})
		i.sleep(ctx, f.Duration)
		server.SetFaults(backendserver.Faults{})
	case scheduler.DeadlyRequests:
		i.SendDeadlyRequests(ctx, f.Target, deadlyDuration)
	}
}

// injectVersion has servers of another software version serve.
func (i *injector) injectVersion(ctx context.Context, f scheduler.Fault, node *deployer.Node) {
	switch f.Kind {
	case scheduler.UnseenVersion:
		i.joinUnseen(ctx, f, node)
	case scheduler.NodesKilledAtJoin:
		i.killNodesAtJoin(ctx, f)
	default:
		servers := i.ServersOfStreams(true)
		i.UpgradeServer(ctx, servers[f.Target%len(servers)])
	}
}

// injectServerFault makes a server respond wrongly, or not at all, which affects all nodes.
func (i *injector) injectServerFault(ctx context.Context, f scheduler.Fault) {
	servers, faults := i.Servers, serverFaults[f.Kind]
	switch f.Kind {
	case scheduler.ServerSendsEndlessBytes:
		faults.Endless = backendserver.EndlessParts[f.Target%len(backendserver.EndlessParts)]
	case scheduler.ServerGarblesStreams, scheduler.ServerGarblesResponses:
		servers = i.ServersOfStreams(f.Kind == scheduler.ServerGarblesStreams)
		// A seed of zero garbles nothing.
		faults.Garble = backendserver.GarbleSeed(f.Target + 1)
	}
	server := servers[f.Target%len(servers)]
	i.recordDisruption(allNodes, f, time.Now().Add(f.Duration))
	server.SetFaults(faults)
	i.sleep(ctx, f.Duration)
	server.SetFaults(backendserver.Faults{})
}

// injectStoreFault injects one fault of the store, which affects all nodes.
func (i *injector) injectStoreFault(ctx context.Context, f scheduler.Fault) {
	if f.Kind == scheduler.StoreCompaction {
		i.Store.TruncateAll()
		return
	}
	now := time.Now()
	i.Checker.RecordStoreDisruption(now, now.Add(f.Duration))
	i.Store.SetMode(storeModes[f.Kind])
	i.sleep(ctx, f.Duration)
	if f.Kind == scheduler.StoreRestore {
		i.Store.Restore(time.Duration(1+f.Target%maxCopyAge) * time.Second)
	}
	i.Store.SetMode(storeserver.ModeAvailable)
}

// deadlyDuration is how long deadly requests come: long enough for several servers to crash, and for nodes to be
// late in learning of it.
const deadlyDuration = 15 * time.Second

// maxCopyAge is the age in seconds of the oldest copy from which the store is restored.
const maxCopyAge = 9

// allNodes is the node index that stands for all nodes in RecordDisruption.
const allNodes = -1

var storeModes = map[scheduler.Kind]storeserver.Mode{scheduler.StoreBusy: storeserver.ModeUnavailable, scheduler.StoreUnresponsive: storeserver.ModeUnresponsive, scheduler.StoreRestore: storeserver.ModeUnavailable}

var serverFaults = map[scheduler.Kind]backendserver.Faults{
	scheduler.ServerLosesResponses:    {DropResponses: true},
	scheduler.ServerInterruptsStreams: {TruncateAfter: 5},
	scheduler.ServerRespondsTwice:     {MismatchResponses: true},
	scheduler.ServerFull:              {RejectAll: true},
}

var linkModes = map[scheduler.Kind]faultproxy.Mode{
	scheduler.StoreLinkBlackhole:  {DropToTarget: true, DropFromTarget: true},
	scheduler.StoreLinkOneWay:     {DropFromTarget: true},
	scheduler.StoreLinkDelay:      {Delay: linkLatency},
	scheduler.ServerLinkBlackhole: {DropToTarget: true, DropFromTarget: true},
	scheduler.ServerLinkOneWay:    {DropFromTarget: true},
	scheduler.ServerLinkDelay:     {Delay: linkLatency},
	scheduler.CallerLinkDelay:     {Delay: linkLatency},
}

func (i *injector) recordDisruption(nodeIndex int, f scheduler.Fault, until time.Time) {
	i.Checker.RecordDisruption(nodeIndex, time.Now(), until, f.Kind.IsPlanned())
}

// disruptLink sets a link's mode for the duration of a fault. Kinds without a mode reset its connections.
func (i *injector) disruptLink(ctx context.Context, f scheduler.Fault, proxy *faultproxy.Proxy) {
	mode, hasMode := linkModes[f.Kind]
	if !hasMode {
		proxy.Reset()
		return
	}
	proxy.SetMode(mode)
	i.sleep(ctx, f.Duration)
	proxy.SetMode(faultproxy.Mode{})
}

func (i *injector) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
