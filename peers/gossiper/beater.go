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

// pace is the time between two rounds of heartbeats: the interval, or longer
// where a round is so large that the budget asks for it. In a round each peer
// of the data centre gets one heartbeat, in a call or in the answer to one.
func (g *Gossiper) pace() time.Duration {
	needed := time.Duration(float64(g.spent.Load()) / float64(g.budget) * float64(time.Second))
	return max(g.interval, needed)
}

// lifespan is the silence after which what a peer told counts no more.
func (g *Gossiper) lifespan() time.Duration {
	return max(g.lifetime, pacesMissed*g.pace())
}

// pacesMissed is how many heartbeats may be missed.
const pacesMissed = 4

// TriggerHeartbeats asks for a round of heartbeats at once.
func (g *Gossiper) TriggerHeartbeats() {
	g.kickMu.Lock()
	defer g.kickMu.Unlock()
	if g.kick != nil {
		close(g.kick)
		g.kick = nil
	}
}

func (g *Gossiper) kicked() <-chan struct{} {
	g.kickMu.Lock()
	defer g.kickMu.Unlock()
	if g.kick == nil {
		g.kick = make(chan struct{})
	}
	return g.kick
}

// beatNear sends heartbeats to the peers of the data centre. Of each pair the
// one with the lower name calls, and the other only where it was not called
// for a while.
func (g *Gossiper) beatNear(ctx context.Context) error {
	for {
		kick := g.kicked()
		g.roundNear(ctx)
		g.expire()
		timer := time.NewTimer(g.pace())
		select {
		case <-timer.C:
		case <-kick:
			timer.Stop()
			g.roundAll(ctx)
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// roundNear calls those peers of the data centre that it is this node's turn
// to call.
func (g *Gossiper) roundNear(ctx context.Context) {
	now := time.Now()
	var due []member
	for _, m := range g.members.list() {
		if m.address.DataCentre != g.node.DataCentre {
			continue
		}
		if g.node.Name < m.address.Name || now.Sub(m.heard) > 2*g.pace() {
			due = append(due, m)
		}
	}
	g.call(ctx, due)
}

// roundAll calls all peers of the data centre, for news that can't wait, and
// one of each other data centre.
func (g *Gossiper) roundAll(ctx context.Context) {
	var near []member
	for _, m := range g.members.list() {
		if m.address.DataCentre == g.node.DataCentre {
			near = append(near, m)
		}
	}
	g.call(ctx, append(near, g.pickFar()...))
}

// audience is what a heartbeat depends on beside the node's own state. In a
// round all peers of one audience get the same.
type audience struct {
	far       bool
	introduce bool
}

// message is a heartbeat with its size in bytes.
type message struct {
	heartbeat quetzalroad.Heartbeat
	size      int
}

// call exchanges heartbeats with some peers at the same time.
func (g *Gossiper) call(ctx context.Context, peers []member) {
	if len(peers) == 0 {
		g.callSeeds(ctx)
		return
	}
	var group sync.WaitGroup
	size := 0
	round := make(map[audience]message)
	for _, m := range peers {
		to := audience{far: m.address.DataCentre != g.node.DataCentre, introduce: !m.introduced}
		one, built := round[to]
		if !built {
			one.heartbeat = g.heartbeat(m.address.DataCentre, to.introduce)
			one.size = g.size(one.heartbeat)
			round[to] = one
		}
		size += one.size
		h := one.heartbeat
		group.Go(func() { g.beat(ctx, m.address.Address, h) })
	}
	near := 0
	for _, m := range g.members.list() {
		if m.address.DataCentre == g.node.DataCentre {
			near++
		}
	}
	g.spent.Store(int64(size / len(peers) * near))
	group.Wait()
}

// size gives the bytes that a heartbeat takes.
func (g *Gossiper) size(h quetzalroad.Heartbeat) int {
	return proto.Size(peermapper.Mapper{Directory: g.node.Directory}.EncodeHeartbeat(h))
}

// callSeeds introduces the node to the peers named in its settings, while it
// knows no other.
func (g *Gossiper) callSeeds(ctx context.Context) {
	if len(g.members.list()) > 0 {
		return
	}
	var group sync.WaitGroup
	for _, to := range g.seeds {
		if to == g.transport.ListenAddress() {
			continue
		}
		group.Go(func() { g.beat(ctx, to, g.heartbeat(g.node.DataCentre, true)) })
	}
	group.Wait()
}

func (g *Gossiper) beat(ctx context.Context, to netip.AddrPort, h quetzalroad.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	began := time.Now()
	answer, err := g.transport.ExchangeHeartbeat(ctx, to, h)
	if err != nil {
		g.node.Vars.Add("heartbeat-failures", 1)
		return
	}
	if h.CrossDataCentre {
		g.members.timed(answer.From.DataCentre, time.Since(began))
		g.node.Recorder.CountCrossDataCentre(quetzalroad.CrossDataCentreHeartbeat, g.size(h))
	}
	g.take(answer)
	if len(h.KnownPeers) > 0 {
		g.members.introduce(answer.From.Name)
	}
}

// beatFar exchanges sums with one node of each other data centre.
func (g *Gossiper) beatFar(ctx context.Context) error {
	for {
		if far := g.pickFar(); len(far) > 0 {
			var group sync.WaitGroup
			for _, m := range far {
				h := g.heartbeat(m.address.DataCentre, !m.introduced)
				group.Go(func() { g.beat(ctx, m.address.Address, h) })
			}
			group.Wait()
		}
		pace := g.farPace()
		if err := sleeper.Sleep(ctx, pace/2+rand.N(pace)); err != nil {
			return err
		}
	}
}

// farSharers is the number of nodes of a data centre from which on they share
// the talking to other data centres out.
const farSharers = 3

// farPace is the time between two exchanges of this node with other data
// centres. The more nodes its data centre has, the rarer it is, as what one
// hears it tells the others.
func (g *Gossiper) farPace() time.Duration {
	nodes := 1
	for _, m := range g.members.list() {
		if m.address.DataCentre == g.node.DataCentre {
			nodes++
		}
	}
	return g.farInterval * time.Duration(max(farSharers, nodes)) / farSharers
}

// pickFar draws a node of each other data centre, preferring those that were
// heard of lately.
func (g *Gossiper) pickFar() []member {
	now := time.Now()
	places := make(map[quetzalroad.DataCentre][]member)
	for _, m := range g.members.list() {
		if m.address.DataCentre != g.node.DataCentre {
			places[m.address.DataCentre] = append(places[m.address.DataCentre], m)
		}
	}
	var picked []member
	for _, all := range places {
		var live []member
		for _, m := range all {
			if now.Sub(m.heard) < 4*g.farInterval {
				live = append(live, m)
			}
		}
		if len(live) == 0 || rand.IntN(4) == 0 {
			live = all
		}
		picked = append(picked, live[rand.IntN(len(live))])
	}
	return picked
}

// expire drops what silent peers told, and in the end the peers.
func (g *Gossiper) expire() {
	now := time.Now()
	for _, m := range g.members.list() {
		silent := now.Sub(m.heard)
		if m.heard.IsZero() {
			silent = now.Sub(m.added)
		}
		if silent > g.forgetAfter && !m.listed {
			g.members.remove(m.address.Name)
			g.transport.Disconnect(m.address.Address)
			continue
		}
		if silent > g.lifespan() && m.counted {
			g.members.uncount(m.address.Name)
			g.forget(m.address.Name)
			g.logger.Info("peer is silent", "peer", string(m.address.Name), "for", silent)
		}
	}
}

// listNodes learns of nodes from the platform's list. The list lags and may be
// away: it adds nodes, and of those it no longer shows only the silent go.
func (g *Gossiper) listNodes(ctx context.Context) error {
	for {
		if vms, err := g.node.VMList.ListVMs(ctx); err == nil {
			g.members.listed(time.Now(), g.node.Name, vms)
		}
		if err := sleeper.Sleep(ctx, g.listInterval); err != nil {
			return err
		}
	}
}
