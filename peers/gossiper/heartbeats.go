package gossiper

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/peermapper"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

// localInterval returns the time between two rounds of heartbeats to the local
// data centre: the configured minimum, or longer if a round is so large that the
// byte rate would exceed its bound. In each round every local peer receives one
// heartbeat, as a request or as the response to its own.
func (g *Gossiper) localInterval() time.Duration {
	needed := time.Duration(float64(g.localRoundBytes.Load()) / float64(g.maxBytesPerSecond) * float64(time.Second))
	return max(g.minLocalInterval, needed)
}

// staleTimeout returns how long the loads and demands of a silent peer are used.
func (g *Gossiper) staleTimeout() time.Duration {
	return max(g.staleAfter, maxMissedHeartbeats*g.localInterval())
}

// maxMissedHeartbeats is the number of missed heartbeats before a peer can become stale.
const maxMissedHeartbeats = 4

// TriggerHeartbeats starts a round of heartbeats without waiting for the interval.
func (g *Gossiper) TriggerHeartbeats() {
	g.triggerMu.Lock()
	defer g.triggerMu.Unlock()
	if g.trigger != nil {
		close(g.trigger)
		g.trigger = nil
	}
}

// triggerChannel returns a channel that the next TriggerHeartbeats closes.
func (g *Gossiper) triggerChannel() <-chan struct{} {
	g.triggerMu.Lock()
	defer g.triggerMu.Unlock()
	if g.trigger == nil {
		g.trigger = make(chan struct{})
	}
	return g.trigger
}

// sendLocalHeartbeats sends heartbeats to the peers of the local data centre,
// at every interval and when triggered, and expires silent peers.
func (g *Gossiper) sendLocalHeartbeats(ctx context.Context) error {
	for {
		triggered := g.triggerChannel()
		g.sendScheduledRound(ctx)
		g.expireSilentPeers()
		timer := time.NewTimer(g.localInterval())
		select {
		case <-timer.C:
		case <-triggered:
			timer.Stop()
			g.sendTriggeredRound(ctx)
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// sendScheduledRound exchanges heartbeats with local peers. In each pair the node with the lower
// name calls; the other one calls only after two intervals without a heartbeat.
func (g *Gossiper) sendScheduledRound(ctx context.Context) {
	now := time.Now()
	var due []member
	for _, m := range g.members.list() {
		if m.address.DataCentre != g.node.DataCentre {
			continue
		}
		if g.node.Name < m.address.Name || now.Sub(m.lastHeard) > 2*g.localInterval() {
			due = append(due, m)
		}
	}
	g.exchangeHeartbeats(ctx, due)
}

// sendTriggeredRound exchanges heartbeats with all local peers and with one peer
// of each remote data centre, for updates that can't wait for the interval.
func (g *Gossiper) sendTriggeredRound(ctx context.Context) {
	var peers []member
	for _, m := range g.members.list() {
		if m.address.DataCentre == g.node.DataCentre {
			peers = append(peers, m)
		}
	}
	g.exchangeHeartbeats(ctx, append(peers, g.pickRemotePeers()...))
}

// heartbeatVariant holds what a heartbeat depends on besides the node's own state.
// Within a round, all peers with the same variant receive the same heartbeat.
type heartbeatVariant struct {
	remote     bool
	knownPeers bool
}

// sizedHeartbeat is a heartbeat with its encoded size in bytes.
type sizedHeartbeat struct {
	heartbeat quetzalroad.Heartbeat
	size      int
}

// exchangeHeartbeats contacts the peers concurrently, or the seeds if there are none.
func (g *Gossiper) exchangeHeartbeats(ctx context.Context, peers []member) {
	if len(peers) == 0 {
		g.contactSeeds(ctx)
		return
	}
	var group sync.WaitGroup
	totalBytes := 0
	heartbeats := make(map[heartbeatVariant]sizedHeartbeat)
	for _, m := range peers {
		variant := heartbeatVariant{remote: m.address.DataCentre != g.node.DataCentre, knownPeers: !m.sentKnownPeers}
		sized, found := heartbeats[variant]
		if !found {
			sized.heartbeat = g.heartbeat(m.address.DataCentre, variant.knownPeers)
			sized.size = g.heartbeatSize(sized.heartbeat)
			heartbeats[variant] = sized
		}
		totalBytes += sized.size
		h := sized.heartbeat
		group.Go(func() { g.exchangeHeartbeat(ctx, m.address.Address, h) })
	}
	localPeers := 0
	for _, m := range g.members.list() {
		if m.address.DataCentre == g.node.DataCentre {
			localPeers++
		}
	}
	g.localRoundBytes.Store(int64(totalBytes / len(peers) * localPeers))
	group.Wait()
}

// heartbeatSize returns the encoded size of a heartbeat in bytes.
func (g *Gossiper) heartbeatSize(h quetzalroad.Heartbeat) int {
	return proto.Size(peermapper.Mapper{Directory: g.node.Directory}.EncodeHeartbeat(h))
}

// contactSeeds sends heartbeats to the configured seeds as long as no peer is known.
func (g *Gossiper) contactSeeds(ctx context.Context) {
	if len(g.members.list()) > 0 {
		return
	}
	var group sync.WaitGroup
	for _, seed := range g.seeds {
		if seed == g.transport.ListenAddress() {
			continue
		}
		group.Go(func() { g.exchangeHeartbeat(ctx, seed, g.heartbeat(g.node.DataCentre, true)) })
	}
	group.Wait()
}

func (g *Gossiper) exchangeHeartbeat(ctx context.Context, to netip.AddrPort, h quetzalroad.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, g.callTimeout)
	defer cancel()
	start := time.Now()
	response, err := g.transport.ExchangeHeartbeat(ctx, to, h)
	if err != nil {
		g.node.Vars.Add("heartbeat-failures", 1)
		return
	}
	if h.CrossDataCentre {
		g.members.recordRoundTrip(response.From.DataCentre, time.Since(start))
		g.node.Recorder.CountCrossDataCentre(quetzalroad.CrossDataCentreHeartbeat, g.heartbeatSize(h))
	}
	g.applyHeartbeat(response)
	if len(h.KnownPeers) > 0 {
		g.members.setSentKnownPeers(response.From.Name)
	}
}

// sendRemoteHeartbeats exchanges heartbeats, which hold demand summed by data
// centre, with one node of each remote data centre.
func (g *Gossiper) sendRemoteHeartbeats(ctx context.Context) error {
	for {
		if peers := g.pickRemotePeers(); len(peers) > 0 {
			var group sync.WaitGroup
			for _, m := range peers {
				h := g.heartbeat(m.address.DataCentre, !m.sentKnownPeers)
				group.Go(func() { g.exchangeHeartbeat(ctx, m.address.Address, h) })
			}
			group.Wait()
		}
		interval := g.remoteInterval()
		if err := sleeper.Sleep(ctx, interval/2+rand.N(interval)); err != nil {
			return err
		}
	}
}

// remoteSendersPerInterval is the number of nodes of a data centre that send heartbeats to remote data centres
// within the configured interval. With more nodes, each node's interval grows in proportion.
const remoteSendersPerInterval = 3

// remoteInterval returns the mean time between two exchanges of this node with
// remote data centres. It grows with the number of local nodes, since each node
// forwards the demands it receives to its local peers.
func (g *Gossiper) remoteInterval() time.Duration {
	nodes := 1
	for _, m := range g.members.list() {
		if m.address.DataCentre == g.node.DataCentre {
			nodes++
		}
	}
	return g.minRemoteInterval * time.Duration(max(remoteSendersPerInterval, nodes)) / remoteSendersPerInterval
}

// pickRemotePeers picks a random node of each remote data centre, preferring those
// that sent a heartbeat recently. One pick in four ignores the preference.
func (g *Gossiper) pickRemotePeers() []member {
	now := time.Now()
	byDataCentre := make(map[quetzalroad.DataCentre][]member)
	for _, m := range g.members.list() {
		if m.address.DataCentre != g.node.DataCentre {
			byDataCentre[m.address.DataCentre] = append(byDataCentre[m.address.DataCentre], m)
		}
	}
	var picked []member
	for _, candidates := range byDataCentre {
		var recent []member
		for _, m := range candidates {
			if now.Sub(m.lastHeard) < 4*g.minRemoteInterval {
				recent = append(recent, m)
			}
		}
		if len(recent) == 0 || rand.IntN(4) == 0 {
			recent = candidates
		}
		picked = append(picked, recent[rand.IntN(len(recent))])
	}
	return picked
}

// expireSilentPeers drops the loads and demands of silent peers, and after a longer
// silence removes those that the VM list doesn't show.
func (g *Gossiper) expireSilentPeers() {
	now := time.Now()
	for _, m := range g.members.list() {
		silence := now.Sub(m.lastHeard)
		if m.lastHeard.IsZero() {
			silence = now.Sub(m.discoveredAt)
		}
		if silence > g.removeAfter && !m.inVMList {
			g.members.remove(m.address.Name)
			g.transport.Disconnect(m.address.Address)
			continue
		}
		if silence > g.staleTimeout() && m.loadsCounted {
			g.members.markStale(m.address.Name)
			g.removeLoadsAndDemands(m.address.Name)
			g.logger.Info("no heartbeat from peer within the timeout", "peer", string(m.address.Name), "for", silence)
		}
	}
}

// discoverPeers polls the platform's VM list for nodes. The list lags and may be unavailable, so it
// only adds nodes; a node missing from it is removed only once it is silent.
func (g *Gossiper) discoverPeers(ctx context.Context) error {
	for {
		if vms, err := g.node.VMList.ListVMs(ctx); err == nil {
			g.members.mergeVMList(time.Now(), g.node.Name, vms)
		}
		if err := sleeper.Sleep(ctx, g.vmListInterval); err != nil {
			return err
		}
	}
}
