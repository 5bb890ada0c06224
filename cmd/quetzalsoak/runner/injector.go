package runner

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backendserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/storeserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/deployer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/proxier"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/scheduler"
)

// injector brings the faults of a schedule about.
type injector struct {
	*deployer.Deployment
	group sync.WaitGroup
}

// linkDelay is what a delayed link adds each way.
const linkDelay = 120 * time.Millisecond

// inject brings all faults about at their times and waits for their ends.
func (i *injector) inject(ctx context.Context, began time.Time, faults []scheduler.Fault) {
	for _, f := range faults {
		select {
		case <-time.After(time.Until(began.Add(f.At))):
		case <-ctx.Done():
			return
		}
		i.group.Go(func() { i.strike(ctx, f) })
	}
	i.group.Wait()
}

// strike brings one fault about, tells the judge whom it strikes, and ends it.
func (i *injector) strike(ctx context.Context, f scheduler.Fault) {
	now := time.Now()
	node := f.Target % len(i.Nodes)
	n := i.Nodes[node]
	s := i.Servers[f.Target%len(i.Servers)]
	switch f.Kind {
	case scheduler.NodeStop:
		i.Judge.Stop(node, now)
		i.trouble(node, f, now.Add(deployer.Bounds.Grace+time.Second))
		n.Signal(syscall.SIGTERM, true)
	case scheduler.NodeKill:
		i.trouble(node, f, now.Add(time.Second))
		n.Signal(syscall.SIGKILL, true)
	case scheduler.NodePause:
		i.trouble(node, f, now.Add(f.For))
		n.Signal(syscall.SIGSTOP, false)
		i.wait(ctx, f.For)
		n.Signal(syscall.SIGCONT, false)
	case scheduler.StoreLinkSilent, scheduler.StoreLinkReset, scheduler.StoreLinkOneWay, scheduler.StoreLinkDelay:
		i.trouble(node, f, now.Add(f.For))
		i.disturb(ctx, f, n.Store)
	case scheduler.CallerLinkReset, scheduler.CallerLinkDelay:
		i.trouble(node, f, now.Add(f.For))
		i.disturb(ctx, f, n.Front)
	case scheduler.ServerLinkSilent, scheduler.ServerLinkReset, scheduler.ServerLinkOneWay, scheduler.ServerLinkDelay:
		i.trouble(everybody, f, now.Add(f.For))
		i.disturb(ctx, f, s.Link)
	case scheduler.StoreBusy, scheduler.StoreSilent:
		i.trouble(everybody, f, now.Add(f.For))
		i.Store.SetMode(storeModes[f.Kind])
		i.wait(ctx, f.For)
		i.Store.SetMode(storeserver.ModeAvailable)
	case scheduler.StoreForget:
		i.Store.TruncateAll()
	case scheduler.ServerLosesAnswers, scheduler.ServerCutsStreams, scheduler.ServerAnswersTwice, scheduler.ServerFull:
		i.trouble(everybody, f, now.Add(f.For))
		s.SetFaults(serverFaults[f.Kind])
		i.wait(ctx, f.For)
		s.SetFaults(backendserver.Faults{})
	case scheduler.ServerLeaves:
		i.Leave(ctx, s, f.For)
	case scheduler.ServerCrash:
		i.trouble(everybody, f, now.Add(f.For))
		i.Crash(ctx, s, f.For)
	case scheduler.ConfigChange:
		i.Lead()
	case scheduler.KeyTaken:
		i.TakeKey()
	}
}

// everybody stands for all nodes.
const everybody = -1

var storeModes = map[scheduler.Kind]storeserver.Mode{scheduler.StoreBusy: storeserver.ModeUnavailable, scheduler.StoreSilent: storeserver.ModeUnresponsive}

var serverFaults = map[scheduler.Kind]backendserver.Faults{
	scheduler.ServerLosesAnswers: {DropResponses: true},
	scheduler.ServerCutsStreams:  {TruncateAfter: 5},
	scheduler.ServerAnswersTwice: {MismatchResponses: true},
	scheduler.ServerFull:         {RejectAll: true},
}

var linkModes = map[scheduler.Kind]proxier.Mode{
	scheduler.StoreLinkSilent:  {DropTo: true, DropFrom: true},
	scheduler.StoreLinkOneWay:  {DropFrom: true},
	scheduler.StoreLinkDelay:   {Delay: linkDelay},
	scheduler.ServerLinkSilent: {DropTo: true, DropFrom: true},
	scheduler.ServerLinkOneWay: {DropFrom: true},
	scheduler.ServerLinkDelay:  {Delay: linkDelay},
	scheduler.CallerLinkDelay:  {Delay: linkDelay},
}

func (i *injector) trouble(node int, f scheduler.Fault, until time.Time) {
	i.Judge.Trouble(node, time.Now(), until, f.Kind.Planned())
}

// disturb treats a link badly for a while; a kind without a mode resets it.
func (i *injector) disturb(ctx context.Context, f scheduler.Fault, p *proxier.Proxy) {
	mode, lasts := linkModes[f.Kind]
	if !lasts {
		p.Reset()
		return
	}
	p.Set(mode)
	i.wait(ctx, f.For)
	p.Set(proxier.Mode{})
}

func (i *injector) wait(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}
