// Package gossiper exchanges heartbeats with the other nodes and tracks which of them are alive.
//
// Within a data centre, heartbeats carry all loads and demands. Between data centres, a node periodically picks
// a random peer of each and sends it the demands summed over the node's own data centre. Heartbeats also carry the
// applied offsets of the log streams, so that a node that can't reach the log fetches records from a peer.
// The heartbeat interval follows from the size of the heartbeats and a bound on bytes per second.
package gossiper

import (
	"context"
	"expvar"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/stalltimer"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotPeers, Name: "gossiper", Default: true,
		New: func() kernel.Component { return new(Gossiper) },
	})
}

// Gossiper implements quetzalroad.Peers and quetzalroad.PeerHandler.
type Gossiper struct {
	node      *kernel.Node
	transport quetzalroad.PeerTransport
	logger    *slog.Logger

	seeds             []netip.AddrPort
	minLocalInterval  time.Duration
	minRemoteInterval time.Duration
	callTimeout       time.Duration
	staleAfter        time.Duration
	removeAfter       time.Duration
	vmListInterval    time.Duration
	catchUpDelay      time.Duration
	maxBytesPerSecond int

	members members
	// localRoundBytes is the estimated size in bytes of a round to all local peers.
	localRoundBytes atomic.Int64
	// fetching is set while a catch-up from a peer is scheduled or running.
	fetching  atomic.Bool
	triggerMu sync.Mutex
	// trigger is closed to start a round at once; guarded by triggerMu.
	trigger chan struct{}
}

// Declare implements kernel.Component.
func (g *Gossiper) Declare(s *configloader.Section) {
	s.Addresses("seeds", &g.seeds, "Addresses of peers to contact at startup while the VM list is unavailable.")
	s.Duration("interval", &g.minLocalInterval, 500*time.Millisecond, 10*time.Millisecond, time.Minute, "Minimum time between two heartbeats to a peer in the same data centre.")
	s.Duration("far-interval", &g.minRemoteInterval, 2*time.Second, 10*time.Millisecond, 10*time.Minute, "Mean time between two heartbeats to each remote data centre; longer in a data centre of more than three nodes.")
	s.Duration("timeout", &g.callTimeout, time.Second, 10*time.Millisecond, time.Minute, "Timeout of a heartbeat, after which the connection is dropped.")
	s.Duration("lifetime", &g.staleAfter, 5*time.Second, 100*time.Millisecond, 10*time.Minute, "Time without a heartbeat after which a peer's loads and demands are no longer used.")
	s.Duration("forget-after", &g.removeAfter, 2*time.Minute, time.Second, 24*time.Hour, "Time without a heartbeat after which a peer that the VM list doesn't show is removed.")
	s.Duration("list-interval", &g.vmListInterval, 2*time.Second, 10*time.Millisecond, 10*time.Minute, "Interval at which the VM list is polled for nodes.")
	s.Duration("catch-up-after", &g.catchUpDelay, 300*time.Millisecond, 0, time.Minute, "How long to wait for the log to deliver a record that a peer has, before fetching it from the peer.")
	s.Int("budget", &g.maxBytesPerSecond, 5000, 100, 1000000, "Maximum bytes of heartbeats sent per second; the interval is lengthened to stay below it.")
}

// Build implements kernel.Component.
func (g *Gossiper) Build(n *kernel.Node) error {
	g.node = n
	g.transport = n.PeerTransport
	g.logger = n.Logger
	n.Peers = g
	n.Vars.Set("peers", expvar.Func(func() any { return len(g.Status()) }))
	n.Vars.Set("heartbeat-pace-seconds", expvar.Func(func() any { return g.localInterval().Seconds() }))
	n.AddTask("serve peers", func(ctx context.Context) error { return g.transport.Serve(ctx, g) })
	n.AddTask("send local heartbeats", g.sendLocalHeartbeats)
	n.AddTask("send remote heartbeats", g.sendRemoteHeartbeats)
	n.AddTask("discover peers", g.discoverPeers)
	return nil
}

// Status implements quetzalroad.Peers.
func (g *Gossiper) Status() []quetzalroad.PeerStatus {
	var all []quetzalroad.PeerStatus
	for _, m := range g.members.list() {
		if !m.lastHeard.IsZero() {
			all = append(all, m.status())
		}
	}
	return all
}

// self returns the node's own address.
func (g *Gossiper) self() quetzalroad.PeerAddress {
	return quetzalroad.PeerAddress{Name: g.node.Name, DataCentre: g.node.DataCentre, Address: g.transport.ListenAddress()}
}

// HandleHeartbeat implements quetzalroad.PeerHandler.
func (g *Gossiper) HandleHeartbeat(h quetzalroad.Heartbeat) quetzalroad.Heartbeat {
	g.applyHeartbeat(h)
	return g.heartbeat(h.From.DataCentre, len(h.KnownPeers) > 0 || !g.members.swapSentKnownPeers(h.From.Name))
}

// HandleRecords implements quetzalroad.PeerHandler.
func (g *Gossiper) HandleRecords(s quetzalroad.LogStream, from quetzalroad.Offset) []quetzalroad.Record {
	for _, r := range g.node.Replicators {
		if r.Stream() == s {
			return r.RecordsFrom(from)
		}
	}
	return nil
}

// HandleSnapshot implements quetzalroad.PeerHandler.
func (g *Gossiper) HandleSnapshot(above quetzalroad.Offset) ([]byte, quetzalroad.Offset) {
	if g.node.Directory.AppliedOffset() <= above {
		return nil, quetzalroad.NoOffset
	}
	return g.node.Snapshotter.Snapshot()
}

// heartbeat builds the heartbeat for peers of a data centre.
func (g *Gossiper) heartbeat(to quetzalroad.DataCentre, knownPeers bool) quetzalroad.Heartbeat {
	now := time.Now()
	h := quetzalroad.Heartbeat{
		From: g.self(), Region: g.node.Region, CrossDataCentre: to != g.node.DataCentre, Stopping: g.node.Stopping(),
		Drains: g.node.Drainer.PendingDrains(),
	}
	for _, r := range g.node.Replicators {
		h.AppliedOffsets = append(h.AppliedOffsets, quetzalroad.StreamOffset{Stream: r.Stream(), Offset: r.AppliedOffset()})
	}
	if knownPeers {
		h.KnownPeers = g.members.addresses(g.self())
	}
	if h.CrossDataCentre {
		demand := g.members.sumDemand(now, g.staleTimeout(), g.node.DataCentre, g.node.Limiter.Demand(now))
		demand.Headroom = g.node.Admitter.Headroom(now)
		h.DataCentreDemands = []quetzalroad.DataCentreDemand{demand}
		return h
	}
	h.Loads = g.node.LoadTracker.LocalLoads(now)
	h.Reports = g.node.LoadTracker.PolledReports(now.Add(-2 * g.localInterval()))
	h.TeamDemands = g.node.Limiter.Demand(now)
	h.ServiceDemands = g.node.Admitter.Demand()
	h.DataCentreDemands = g.members.directDemands(now.Add(-2 * g.localInterval()))
	return h
}

// applyHeartbeat processes a heartbeat from a peer.
func (g *Gossiper) applyHeartbeat(h quetzalroad.Heartbeat) {
	now := time.Now()
	if h.From.Name == g.node.Name {
		return
	}
	g.members.recordHeartbeat(now, h)
	for _, a := range h.KnownPeers {
		if a.Name != g.node.Name {
			g.members.add(now, a)
		}
	}
	g.node.Drainer.MergeDrains(h.Drains)
	for _, d := range h.DataCentreDemands {
		if d.DataCentre != g.node.DataCentre {
			if d.MeasuredAt.After(now) {
				// The clock of the other VM is ahead.
				d.MeasuredAt = now
			}
			g.members.updateDemand(now, d, h.CrossDataCentre)
			g.node.Limiter.UpdateDataCentre(d.DataCentre, d.MeasuredAt, d.TeamDemands)
			g.node.Spiller.UpdateDataCentre(d.DataCentre, d.MeasuredAt, g.members.roundTrip(d.DataCentre), d.Headroom)
		}
	}
	if !h.CrossDataCentre {
		g.applyLoadsAndDemands(now, h)
	}
	for _, offset := range h.AppliedOffsets {
		g.checkPeerOffset(offset, h.From.Address)
	}
}

func (g *Gossiper) applyLoadsAndDemands(now time.Time, h quetzalroad.Heartbeat) {
	name := h.From.Name
	if h.Stopping {
		g.removeLoadsAndDemands(name)
		return
	}
	g.node.LoadTracker.UpdatePeer(name, now, h.Loads)
	for _, r := range h.Reports {
		g.node.LoadTracker.UpdateReport(r.Upstream, now, r.Report)
	}
	g.node.Limiter.UpdatePeer(name, now, h.TeamDemands)
	g.node.Admitter.UpdatePeer(name, now, h.ServiceDemands)
}

// removeLoadsAndDemands drops the loads and demands that a peer reported.
func (g *Gossiper) removeLoadsAndDemands(name quetzalroad.NodeName) {
	g.node.LoadTracker.RemovePeer(name)
	g.node.Limiter.RemovePeer(name)
	g.node.Admitter.RemovePeer(name)
}

// checkPeerOffset schedules a catch-up if a peer has records that this node lacks.
// The delay lets the log deliver them first.
func (g *Gossiper) checkPeerOffset(peerOffset quetzalroad.StreamOffset, peer netip.AddrPort) {
	for _, r := range g.node.Replicators {
		if r.Stream() != peerOffset.Stream || peerOffset.Offset <= r.AppliedOffset() {
			continue
		}
		r.ObservePeerOffset(peerOffset.Offset)
		if g.fetching.CompareAndSwap(false, true) {
			time.AfterFunc(g.catchUpDelay, func() { g.catchUp(r, peerOffset.Offset, peer) })
		}
	}
}

// catchUpTimeout bounds the transfers of a catch-up, which end earlier if they stall.
const catchUpTimeout = 30 * time.Second

// catchUp fetches missing records from a peer, or a snapshot if the peer no longer holds them.
func (g *Gossiper) catchUp(r quetzalroad.StreamReplicator, peerOffset quetzalroad.Offset, peer netip.AddrPort) {
	defer g.fetching.Store(false)
	if r.AppliedOffset() >= peerOffset {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	ctx, stopTimer := stalltimer.WithTimeout(ctx, g.callTimeout, g.callTimeout)
	defer stopTimer()
	records, err := g.transport.FetchRecords(ctx, peer, r.Stream(), r.AppliedOffset()+1)
	if err != nil {
		return
	}
	if len(records) > 0 {
		r.Apply(records)
		g.node.Vars.Add("records-relayed", int64(len(records)))
		return
	}
	data, _, err := g.transport.FetchSnapshot(ctx, peer, r.AppliedOffset())
	if err != nil || data == nil {
		return
	}
	if err := g.node.Snapshotter.Restore(data); err != nil {
		g.logger.Warn("cannot restore snapshot from peer", "peer", peer.String(), "error", err)
	}
}
