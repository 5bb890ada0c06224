package prover

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"

	_ "github.com/quetzalroad/quetzalroad/state/distributor"
)

// forwardFleet is a fleet of nodes that serve sound and deadly requests.
type forwardFleet struct {
	log     faker.KeyedLog
	network faker.ReadNetwork
	engines *crashingEngines
	// client returns a node's client; if nil, engines are the client of all nodes.
	client  func(n quetzalroad.NodeName) kernel.Component
	nodes   []*kernel.Node
	random  *rand.Rand
	running sync.WaitGroup
	mu      sync.Mutex
	// sound and served count the sound requests by the second of their arrival, and those of them that
	// were answered. They are guarded by mu.
	sound, served map[int]int
	startedAt     time.Time
}

// fleetLoad is the load of a forwardFleet.
type fleetLoad struct {
	dataCentres, nodesEach, engines int
	// soundPerSecond and deadlyPerSecond are the rates of requests over all nodes.
	soundPerSecond, deadlyPerSecond int
	// deadlyFirst puts the deadly segment at the beginning of the prompt instead of before its end.
	deadlyFirst bool
	// oneRequest makes all deadly requests the same request with a new id, whose shared segments are sound.
	oneRequest bool
	// moreSegments is the number of further shared segments at the beginning of each prompt.
	moreSegments int
	phase        crashPhase
	duration     time.Duration
	seed         uint64
	// prepare, unless nil, is called before the nodes start.
	prepare func(f *forwardFleet)
	// faults happen while the load is played, in order.
	faults []fleetFault
}

// fleetFault is something that happens to a fleet.
type fleetFault struct {
	// at is the time since the beginning of the load.
	at time.Duration
	do func(t *testing.T, f *forwardFleet)
}

// poisonStart is when the first deadly requests come.
const poisonStart = 2 * time.Second

// runForwardFleet plays a load and passes the fleet to check.
func runForwardFleet(t *testing.T, load fleetLoad, check func(t *testing.T, f *forwardFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &forwardFleet{random: rand.New(rand.NewPCG(load.seed, 1)), sound: make(map[int]int), served: make(map[int]int)}
		if load.prepare != nil {
			load.prepare(f)
		}
		f.log.Put(quetzalroad.LogStreamOperators, "config", quetzalroad.PublishedState{
			Version: 1, Services: []quetzalroad.Service{{Name: "service", Kind: quetzalroad.ServiceKindEngine}}, Teams: []quetzalroad.Team{{Name: "team", KeyHashes: []quetzalroad.KeyHash{quetzalroad.HashKey("key")}}},
		})
		f.engines = newCrashingEngines(&f.log, load.engines, load.phase, load.seed)
		for dc := range load.dataCentres {
			for i := range load.nodesEach {
				f.addNode(t, dc, i)
			}
		}
		defer f.stop(t)
		time.Sleep(5 * time.Second)
		f.play(t, load)
		check(t, f)
	})
}

func (f *forwardFleet) addNode(t *testing.T, dataCentre, i int) *kernel.Node {
	t.Helper()
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dataCentre + 1), byte(i / 250), byte(i%250 + 1)}), 7200)
	name := quetzalroad.NodeName(fmt.Sprintf("node-%d-%d", dataCentre, i))
	var client kernel.Component = f.engines
	if f.client != nil {
		client = f.client(name)
	}
	n, err := faker.BuildForwardNode(slog.New(slog.DiscardHandler), map[string]string{
		"node":        fmt.Sprintf(`{"name": %q, "data-centre": "dc-%d", "region": "west"}`, name, dataCentre),
		"log-sharing": `{"plugin": "distributor"}`,
		"state":       `{"plugin": "watcher", "revoke-within": "5s", "places": "dc-0=west"}`,
	}, kernel.Override{Slot: kernel.SlotKeyedLog, Component: &f.log}, kernel.Override{Slot: kernel.SlotForwardClient, Component: client},
		kernel.Override{Slot: kernel.SlotReadTransport, Component: &faker.ReadTransport{Network: &f.network, Address: address}})
	if err != nil {
		t.Fatal(err)
	}
	f.nodes = append(f.nodes, n)
	n.Start()
	return n
}

// restart kills a node and starts another one in its place.
func (f *forwardFleet) restart(t *testing.T, dataCentre, i int) {
	t.Helper()
	name := quetzalroad.NodeName(fmt.Sprintf("node-%d-%d", dataCentre, i))
	index := slices.IndexFunc(f.nodes, func(n *kernel.Node) bool { return n.Name == name })
	killed := f.nodes[index]
	f.nodes = slices.Delete(f.nodes, index, index+1)
	killed.Kill()
	if err := killed.Wait(); err != nil {
		t.Error(err)
	}
	f.addNode(t, dataCentre, i)
}

// crashShare crashes a share of the engines at once.
func (f *forwardFleet) crashShare(share float64) {
	f.engines.mu.Lock()
	var names []quetzalroad.UpstreamName
	for name := range f.engines.running {
		names = append(names, name)
	}
	f.engines.mu.Unlock()
	slices.Sort(names)
	for _, i := range f.random.Perm(len(names))[:int(share*float64(len(names)))] {
		f.engines.crash(names[i])
	}
}

// readyNode returns a random node that is ready, or any node if none is.
func (f *forwardFleet) readyNode() *kernel.Node {
	order := f.random.Perm(len(f.nodes))
	for _, i := range order {
		if f.nodes[i].Ready() == nil {
			return f.nodes[i]
		}
	}
	return f.nodes[order[0]]
}

func (f *forwardFleet) stop(t *testing.T) {
	f.running.Wait()
	for _, n := range f.nodes {
		n.Kill()
		if err := n.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// play sends requests at a steady rate to random nodes.
func (f *forwardFleet) play(t *testing.T, load fleetLoad) {
	t.Helper()
	f.startedAt = time.Now()
	faults := load.faults
	perSecond := load.soundPerSecond + load.deadlyPerSecond
	interval := time.Second / time.Duration(perSecond)
	for count := 0; time.Since(f.startedAt) < load.duration; count++ {
		for len(faults) > 0 && time.Since(f.startedAt) >= faults[0].at {
			faults[0].do(t, f)
			faults = faults[1:]
		}
		deadly := time.Since(f.startedAt) > poisonStart && f.random.IntN(perSecond) < load.deadlyPerSecond
		request := f.request(count, deadly, load)
		node := f.readyNode()
		f.running.Go(func() { f.forward(node, request, deadly) })
		time.Sleep(interval)
	}
}

// request returns a request. All its segments but the last are also in other requests, sound and deadly ones.
func (f *forwardFleet) request(count int, deadly bool, load fleetLoad) *quetzalroad.ForwardRequest {
	r := &quetzalroad.ForwardRequest{CallerRequestID: fmt.Sprintf("caller-%d", count), Method: "POST", RequestTarget: "/x/"}
	r.ID, r.Arrived = quetzalroad.RequestID(r.CallerRequestID), time.Now()
	r.Team = quetzalroad.Team{Name: "team"}
	r.Key, r.HasKey = quetzalroad.HashKey("key"), true
	r.Model = "m"
	r.Route = quetzalroad.Route{
		Name: "route", MaxExecutions: 3, Streaming: true, Resumable: true, TrafficSplit: []quetzalroad.WeightedService{{Service: "service", Weight: 1}},
		Profile: quetzalroad.Profile{Name: "route", Class: "class", FirstTokenTarget: time.Second, Timeout: 5 * time.Second, Idempotent: true},
	}
	r.Profile, r.Idempotent = r.Route.Profile, true
	for _, id := range f.promptIDs(count, deadly, load) {
		r.PromptSegments = append(r.PromptSegments, quetzalroad.PromptSegment{ID: id, Tokens: 100})
	}
	r.PromptTokens = 100 * len(r.PromptSegments)
	return r
}

// subjects is the number of segments of which each prompt has one, and furtherSegments that of those of
// which it has moreSegments.
const (
	subjects        = 40
	furtherSegments = 400
)

// promptIDs returns the segments of a request's prompt.
func (f *forwardFleet) promptIDs(count int, deadly bool, load fleetLoad) []string {
	if deadly && load.oneRequest {
		return []string{commonSegment, "subject-0", deadlyOwnSegment}
	}
	ids := []string{commonSegment}
	if load.moreSegments > 0 {
		for _, i := range f.random.Perm(furtherSegments)[:load.moreSegments] {
			ids = append(ids, fmt.Sprintf("further-%d", i))
		}
	}
	ids = append(ids, fmt.Sprintf("subject-%d", f.random.IntN(subjects)))
	switch {
	case deadly && load.deadlyFirst:
		ids = append([]string{deadlySegment}, ids...)
	case deadly:
		ids = append(ids, deadlySegment)
	}
	return append(ids, fmt.Sprintf("own-%d", count))
}

func (f *forwardFleet) forward(node *kernel.Node, r *quetzalroad.ForwardRequest, deadly bool) {
	second := int(time.Since(f.startedAt).Seconds())
	err := node.Forwarder.Forward(context.Background(), r, new(faker.ForwardSink))
	if deadly {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sound[second]++
	if err == nil {
		f.served[second]++
	}
}

// lateArrivals returns how many deadly requests reached engines later than a time after the nth crash.
func (f *forwardFleet) lateArrivals(nth int, after time.Duration) int {
	if len(f.engines.crashes) < nth {
		return 0
	}
	from := f.engines.crashes[nth-1].Add(after)
	late := 0
	for _, at := range f.engines.deadlyArrivals {
		if at.After(from) {
			late++
		}
	}
	return late
}

// servedShare returns the share of the sound requests that were answered from a time on.
func (f *forwardFleet) servedShare(from time.Duration) float64 {
	f.running.Wait()
	sound, served := 0, 0
	for second := range f.sound {
		if second >= int(from.Seconds()) {
			sound += f.sound[second]
			served += f.served[second]
		}
	}
	return float64(served) / float64(sound)
}
