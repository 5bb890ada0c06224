package prover

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	"github.com/quetzalroad/quetzalroad/support/configloader"

	_ "github.com/quetzalroad/quetzalroad/state/distributor"
)

// The segments of the prompts in this file. Every request has the first one; the others appear in
// some, and the deadly one crashes an engine that begins to write a response.
const (
	commonSegment = "c0"
	deadlySegment = "dead"
)

const (
	engineDownTime       = 3300 * time.Millisecond
	registrationLifetime = 3600 * time.Millisecond
	eventInterval        = 30 * time.Millisecond
	eventsPerStream      = 10
)

// crashingEngine is one incarnation of an engine.
type crashingEngine struct {
	index int
	// down is closed when it crashes.
	down chan struct{}
}

// crashingEngines are the engines of a fleet. They implement quetzalroad.ForwardClient for all nodes.
type crashingEngines struct {
	log *faker.KeyedLog
	mu  sync.Mutex
	// The fields below are guarded by mu. running holds the current incarnation of each engine by name.
	running map[quetzalroad.UpstreamName]*crashingEngine
	random  *rand.Rand
	// crashes and deadlyArrivals hold the times of all crashes, and of all deadly requests that reached
	// an engine.
	crashes        []time.Time
	deadlyArrivals []time.Time
}

func newCrashingEngines(log *faker.KeyedLog, count int, seed uint64) *crashingEngines {
	e := &crashingEngines{log: log, running: make(map[quetzalroad.UpstreamName]*crashingEngine), random: rand.New(rand.NewPCG(seed, 0))}
	for i := range count {
		e.start(i)
	}
	return e
}

// start starts a new incarnation of an engine and registers it.
func (e *crashingEngines) start(index int) {
	startedAt := time.Now()
	key := fmt.Sprintf("engine-%d-%d", index, startedAt.UnixMilli())
	e.mu.Lock()
	e.running[quetzalroad.UpstreamName(key)] = &crashingEngine{index: index, down: make(chan struct{})}
	e.mu.Unlock()
	e.log.Put(quetzalroad.LogStreamUpstreams, key, quetzalroad.UpstreamRegistration{Sequence: 1, Upstream: quetzalroad.Upstream{
		Service: "service", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(index / 250), byte(index%250 + 1)}), 80),
		DataCentre: "dc-0", InstanceID: key, MaxConcurrency: 64,
	}})
}

// crash ends an incarnation. Its registration lapses, and another incarnation starts.
func (e *crashingEngines) crash(name quetzalroad.UpstreamName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	engine := e.running[name]
	if engine == nil {
		return
	}
	delete(e.running, name)
	close(engine.down)
	e.crashes = append(e.crashes, time.Now())
	time.AfterFunc(engineDownTime, func() { e.start(engine.index) })
	time.AfterFunc(registrationLifetime, func() { e.log.Put(quetzalroad.LogStreamUpstreams, string(name), nil) })
}

// Declare implements kernel.Component.
func (*crashingEngines) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (e *crashingEngines) Build(n *kernel.Node) error {
	n.ForwardClient, n.UpstreamChecker = e, e
	return nil
}

// HasExited implements quetzalroad.UpstreamChecker.
func (e *crashingEngines) HasExited(_ context.Context, u quetzalroad.Upstream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[u.Name] == nil
}

func isDeadly(f *quetzalroad.ForwardRequest) bool {
	return slices.ContainsFunc(f.PromptSegments, func(s quetzalroad.PromptSegment) bool { return s.ID == deadlySegment })
}

// Send implements quetzalroad.ForwardClient.
func (e *crashingEngines) Send(ctx context.Context, a *quetzalroad.Attempt) (quetzalroad.ForwardResponse, error) {
	name := a.Upstream.Name
	e.mu.Lock()
	engine := e.running[name]
	prefill := time.Duration(100+e.random.IntN(300)) * time.Millisecond
	e.mu.Unlock()
	if engine == nil {
		return nil, &quetzalroad.AttemptError{Upstream: name, NotRun: true, Unsent: true, RetryReason: quetzalroad.RetryDialFailed, Cause: syscall.ECONNREFUSED}
	}
	if err := a.BeforeSend(); err != nil {
		return nil, &quetzalroad.AttemptError{Upstream: name, NotRun: true, Unsent: true, RetryReason: quetzalroad.RetryNotRun, Cause: err}
	}
	deadly := isDeadly(a.Request)
	if deadly {
		e.mu.Lock()
		e.deadlyArrivals = append(e.deadlyArrivals, time.Now())
		e.mu.Unlock()
	}
	r := &crashingResponse{engines: e, engine: engine, name: name, ctx: ctx, deadly: deadly}
	return r, r.wait(prefill)
}

// crashingResponse is a response of an engine that may crash.
type crashingResponse struct {
	engines *crashingEngines
	engine  *crashingEngine
	name    quetzalroad.UpstreamName
	ctx     context.Context
	deadly  bool
	events  int64
}

// wait waits for the engine; the error is an *AttemptError if it crashes meanwhile.
func (r *crashingResponse) wait(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	var cause error
	select {
	case <-timer.C:
		return nil
	case <-r.engine.down:
		cause = io.ErrUnexpectedEOF
	case <-r.ctx.Done():
		cause = r.ctx.Err()
	}
	return &quetzalroad.AttemptError{Upstream: r.name, RetryReason: quetzalroad.RetryConnectionLost, Cause: cause}
}

// Head implements quetzalroad.ForwardResponse.
func (r *crashingResponse) Head() quetzalroad.ResponseHead {
	return quetzalroad.ResponseHead{Status: 200, ContentLength: -1, EventStream: true}
}

// Next implements quetzalroad.ForwardResponse.
func (r *crashingResponse) Next() (quetzalroad.BodyChunk, error) {
	if err := r.wait(eventInterval); err != nil {
		return quetzalroad.BodyChunk{}, err
	}
	if r.deadly {
		r.engines.crash(r.name)
		return quetzalroad.BodyChunk{}, r.wait(time.Hour)
	}
	if r.events == eventsPerStream {
		return quetzalroad.BodyChunk{}, io.EOF
	}
	r.events++
	return quetzalroad.BodyChunk{Data: []byte("data"), EventID: r.events}, nil
}

// Close implements quetzalroad.ForwardResponse.
func (*crashingResponse) Close() {}

// poisonedFleet is a fleet of nodes that serve sound and deadly requests.
type poisonedFleet struct {
	log     faker.KeyedLog
	network faker.ReadNetwork
	engines *crashingEngines
	nodes   []*kernel.Node
	random  *rand.Rand
	running sync.WaitGroup
	mu      sync.Mutex
	// sound and served count the sound requests by the second of their arrival, and those of them that
	// were answered. They are guarded by mu.
	sound, served map[int]int
	startedAt     time.Time
}

// poisonedLoad is the load of a poisonedFleet.
type poisonedLoad struct {
	dataCentres, nodesEach, engines int
	// soundPerSecond and deadlyPerSecond are the rates of requests over all nodes.
	soundPerSecond, deadlyPerSecond int
	// deadlyFirst puts the deadly segment at the beginning of the prompt instead of before its end.
	deadlyFirst bool
	duration    time.Duration
	seed        uint64
	// faults happen while the load is played, in order.
	faults []fleetFault
}

// fleetFault is something that happens to a fleet.
type fleetFault struct {
	// at is the time since the beginning of the load.
	at time.Duration
	do func(t *testing.T, f *poisonedFleet)
}

// poisonStart is when the first deadly requests come.
const poisonStart = 2 * time.Second

// runPoisonedFleet plays a load and passes the fleet to check.
func runPoisonedFleet(t *testing.T, load poisonedLoad, check func(t *testing.T, f *poisonedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &poisonedFleet{random: rand.New(rand.NewPCG(load.seed, 1)), sound: make(map[int]int), served: make(map[int]int)}
		f.log.Put(quetzalroad.LogStreamOperators, "config", quetzalroad.PublishedState{
			Version: 1, Services: []quetzalroad.Service{{Name: "service", Kind: quetzalroad.ServiceKindEngine}}, Teams: []quetzalroad.Team{{Name: "team", KeyHashes: []quetzalroad.KeyHash{quetzalroad.HashKey("key")}}},
		})
		f.engines = newCrashingEngines(&f.log, load.engines, load.seed)
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

func (f *poisonedFleet) addNode(t *testing.T, dataCentre, i int) *kernel.Node {
	t.Helper()
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dataCentre + 1), byte(i / 250), byte(i%250 + 1)}), 7200)
	n, err := faker.BuildForwardNode(slog.New(slog.DiscardHandler), map[string]string{
		"node":        fmt.Sprintf(`{"name": "node-%d-%d", "data-centre": "dc-%d", "region": "west"}`, dataCentre, i, dataCentre),
		"log-sharing": `{"plugin": "distributor"}`,
		"state":       `{"plugin": "watcher", "revoke-within": "5s", "places": "dc-0=west"}`,
	}, kernel.Override{Slot: kernel.SlotKeyedLog, Component: &f.log}, kernel.Override{Slot: kernel.SlotForwardClient, Component: f.engines},
		kernel.Override{Slot: kernel.SlotReadTransport, Component: &faker.ReadTransport{Network: &f.network, Address: address}})
	if err != nil {
		t.Fatal(err)
	}
	f.nodes = append(f.nodes, n)
	n.Start()
	return n
}

// restart kills a node and starts another one in its place.
func (f *poisonedFleet) restart(t *testing.T, dataCentre, i int) {
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
func (f *poisonedFleet) crashShare(share float64) {
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
func (f *poisonedFleet) readyNode() *kernel.Node {
	order := f.random.Perm(len(f.nodes))
	for _, i := range order {
		if f.nodes[i].Ready() == nil {
			return f.nodes[i]
		}
	}
	return f.nodes[order[0]]
}

func (f *poisonedFleet) stop(t *testing.T) {
	f.running.Wait()
	for _, n := range f.nodes {
		n.Kill()
		if err := n.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// play sends requests at a steady rate to random nodes.
func (f *poisonedFleet) play(t *testing.T, load poisonedLoad) {
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
		request := f.request(count, deadly, load.deadlyFirst)
		node := f.readyNode()
		f.running.Go(func() { f.forward(node, request, deadly) })
		time.Sleep(interval)
	}
}

// request returns a request. Two of its segments are also in other requests, sound and deadly ones.
func (f *poisonedFleet) request(count int, deadly, deadlyFirst bool) *quetzalroad.ForwardRequest {
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
	ids := []string{commonSegment, fmt.Sprintf("subject-%d", f.random.IntN(40))}
	switch {
	case deadly && deadlyFirst:
		ids = append([]string{deadlySegment}, ids...)
	case deadly:
		ids = append(ids, deadlySegment)
	}
	for _, id := range append(ids, fmt.Sprintf("own-%d", count)) {
		r.PromptSegments = append(r.PromptSegments, quetzalroad.PromptSegment{ID: id, Tokens: 100})
	}
	r.PromptTokens = 100 * len(r.PromptSegments)
	return r
}

func (f *poisonedFleet) forward(node *kernel.Node, r *quetzalroad.ForwardRequest, deadly bool) {
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

// lateArrivals returns how many deadly requests reached engines later than a time after the fifth crash.
func (f *poisonedFleet) lateArrivals(after time.Duration) int {
	const countedCrash = 5
	if len(f.engines.crashes) < countedCrash {
		return 0
	}
	from := f.engines.crashes[countedCrash-1].Add(after)
	late := 0
	for _, at := range f.engines.deadlyArrivals {
		if at.After(from) {
			late++
		}
	}
	return late
}

// servedShare returns the share of the sound requests that were answered from a time on.
func (f *poisonedFleet) servedShare(from time.Duration) float64 {
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
