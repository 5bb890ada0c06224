package distributor_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/nodemapper"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// fleetStart is the start of all nodes of a deployment at once.
type fleetStart struct {
	dataCentres, nodesEach, upstreams int
	// deadNodes is the number of registrations of nodes that were killed shortly before.
	deadNodes int
	store     busyStore
}

// startReport is what a fleet needed until it served, and in startObservation.
type startReport struct {
	// median and slowest are the times until a node was ready, and settled the time from which on at most 2%
	// of the nodes were not.
	median, slowest, settled time.Duration
	// listed is the time from which on each node knew nine in ten of all.
	listed time.Duration
	// interruptions is the number of times that a node that had been ready was not.
	interruptions int
	// calls and rejected count the calls to the store, storeBytes what it sent, and busiest what the node
	// sent and received that transferred most.
	calls, rejected, storeBytes, busiest int
}

// startObservation is how long a fleet is watched.
const startObservation = 20 * time.Second

// fill writes what a node reads at its start.
func (f *fleetStart) fill(t *testing.T) {
	t.Helper()
	f.store.troubledUntil = time.Now().Add(5 * time.Second)
	f.store.random = rand.New(rand.NewPCG(1, 1))
	f.store.link.bytesPerSecond = 4000e6 / 8
	f.store.Put(quetzalroad.LogStreamOperators, "config", publishedState(1))
	for i := range f.upstreams {
		f.store.Put(quetzalroad.LogStreamUpstreams, fmt.Sprint("upstream-", i), registration(1, false))
	}
	for i := range f.deadNodes {
		dead := quetzalroad.NodeRegistration{
			Name: quetzalroad.NodeName(fmt.Sprint("dead-", i)), DataCentre: quetzalroad.DataCentre(fmt.Sprint("dc-", i%f.dataCentres)),
			Address: nodeAddress(10000 + i), ReadCapacity: capacityOf(i / f.dataCentres), WrittenAt: time.Now().Add(-time.Minute),
		}
		value, err := nodemapper.EncodeRegistration(dead)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.store.KeyedLog.PutKeyed(t.Context(), quetzalroad.LogStreamNodes, string(dead.Name), value); err != nil {
			t.Fatal(err)
		}
	}
}

// beat has all upstreams write their registrations again and again, some at a time.
func (f *fleetStart) beat(ctx context.Context) {
	const beatInterval, parts = 1200 * time.Millisecond, 12
	for i := 0; ctx.Err() == nil; i++ {
		for u := i % parts; u < f.upstreams; u += parts {
			f.store.Put(quetzalroad.LogStreamUpstreams, fmt.Sprint("upstream-", u), registration(int64(i), false))
		}
		time.Sleep(beatInterval / parts)
	}
}

// capacityOf returns the capacity of a node's link in Mbit/s, by its number in its data centre.
func capacityOf(i int) float64 {
	if i%12 == 0 {
		return 200
	}
	return 10
}

// run starts the nodes and returns what they needed.
func (f *fleetStart) run(t *testing.T) (report startReport) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f.fill(t)
		var network faker.ReadNetwork
		links := make(map[netip.AddrPort]*link)
		var nodes []*kernel.Node
		for i := range f.dataCentres * f.nodesEach {
			own := &link{bytesPerSecond: capacityOf(i/f.dataCentres) * 1e6 / 8}
			links[nodeAddress(i)] = own
			n, err := faker.BuildForwardNode(slog.New(slog.DiscardHandler), map[string]string{
				"node":        fmt.Sprintf(`{"name": "node-%d", "data-centre": "dc-%d", "region": "west"}`, i, i%f.dataCentres),
				"log-sharing": fmt.Sprintf(`{"plugin": "distributor", "capacity": %g}`, capacityOf(i/f.dataCentres)),
			}, kernel.Override{Slot: kernel.SlotKeyedLog, Component: &storeClient{busyStore: &f.store, link: own}},
				kernel.Override{Slot: kernel.SlotReadTransport, Component: &linkedTransport{ReadTransport: faker.ReadTransport{Network: &network, Address: nodeAddress(i)}, store: &f.store, links: links}})
			if err != nil {
				t.Fatal(err)
			}
			nodes = append(nodes, n)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var upstreams sync.WaitGroup
		upstreams.Go(func() { f.beat(ctx) })
		for _, n := range nodes {
			n.Start()
		}
		report = f.observe(nodes, links)
		cancel()
		upstreams.Wait()
		for _, n := range nodes {
			n.Kill()
			if err := n.Wait(); err != nil {
				t.Error(err)
			}
		}
	})
	return report
}

// observe watches the nodes after their start.
func (f *fleetStart) observe(nodes []*kernel.Node, links map[netip.AddrPort]*link) startReport {
	var r startReport
	startedAt := time.Now()
	readyAfter := make(map[*kernel.Node]time.Duration)
	wasReady := make(map[*kernel.Node]bool)
	for time.Since(startedAt) < startObservation {
		time.Sleep(40 * time.Millisecond)
		unready := 0
		for _, n := range nodes {
			ready := n.Ready() == nil
			switch {
			case ready && readyAfter[n] == 0:
				readyAfter[n] = time.Since(startedAt)
			case !ready:
				unready++
			}
			if wasReady[n] && !ready {
				r.interruptions++
			}
			wasReady[n] = ready
			if f.liveNodes(n) < len(nodes)*9/10 {
				r.listed = time.Since(startedAt)
			}
		}
		if unready > len(nodes)/50 {
			r.settled = time.Since(startedAt)
		}
	}
	times := slices.Sorted(maps.Values(readyAfter))
	if len(times) < len(nodes) {
		times = append(times, startObservation)
	}
	r.median, r.slowest = times[len(times)/2], times[len(times)-1]
	f.store.mu.Lock()
	r.calls, r.rejected = f.store.calls, f.store.rejected
	f.store.mu.Unlock()
	r.storeBytes = f.store.link.total()
	for _, l := range links {
		r.busiest = max(r.busiest, l.total())
	}
	return r
}

// liveNodes returns the number of nodes that a node knows, without the killed ones.
func (f *fleetStart) liveNodes(n *kernel.Node) int {
	live := 0
	for _, name := range n.Fleet.Nodes() {
		if strings.HasPrefix(string(name), "node-") {
			live++
		}
	}
	return live
}

// servingWithin is the time within which the whole fleet has to serve again.
const servingWithin = 15 * time.Second

// Guards against nodes that are killed all at once and choose their readers by an incomplete list of nodes.
func TestWholeFleetStartsAtOnce(t *testing.T) {
	for _, nodesEach := range []int{5, 50} {
		t.Run(fmt.Sprint(6*nodesEach), func(t *testing.T) {
			f := &fleetStart{
				dataCentres: 6, nodesEach: nodesEach, upstreams: 150, deadNodes: 6 * nodesEach,
				store: busyStore{readsPerSecond: 2000, writesPerSecond: 400, failures: 0.2, configBytes: 375_000},
			}
			r := f.run(t)
			t.Logf("%+v", r)
			if latest := max(r.slowest, r.settled, r.listed); latest > servingWithin {
				t.Errorf("serving after %s, required %s", latest, servingWithin)
			}
		})
	}
}
