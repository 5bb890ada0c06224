package prover

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"

	_ "github.com/quetzalroad/quetzalroad/state/streamtracker"
)

const (
	// streamInterval is the time between two events of a stream, and eventsOfStream their number.
	streamInterval = 50 * time.Millisecond
	eventsOfStream = 60
)

var errEngineCrashed = errors.New("the engine crashed")

// versionedFleet is a fleet of nodes before engines of several software versions. Each event of a stream names the
// version that generated it.
type versionedFleet struct {
	log   faker.KeyedLog
	nodes []*kernel.Node
	// sharing returns the components of a node that shares the log with others; nil if all nodes read the log alone.
	sharing func(node int) []kernel.Override
	// origins are settings of the stream tracker; empty for the defaults.
	origins string
	// keyless makes callers send no key.
	keyless bool
	// ended is done when the nodes were killed.
	ended context.Context
	kill  context.CancelFunc

	mu sync.Mutex
	// crashed holds the engines that have crashed, and upgraded the versions of those that have started again under their
	// ids with another one. Both are guarded by mu.
	crashed  map[quetzalroad.UpstreamName]bool
	upgraded map[string]quetzalroad.SoftwareVersion
}

func runVersionedFleet(t *testing.T, check func(t *testing.T, f *versionedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &versionedFleet{crashed: make(map[quetzalroad.UpstreamName]bool)}
		f.run(t, check)
	})
}

// run publishes a state, starts the nodes and runs a check.
func (f *versionedFleet) run(t *testing.T, check func(t *testing.T, f *versionedFleet)) {
	t.Helper()
	f.log.Put(quetzalroad.LogStreamOperators, "config", quetzalroad.PublishedState{
		Version: 1, Services: []quetzalroad.Service{{Name: "service", Kind: quetzalroad.ServiceKindEngine}},
		Teams: []quetzalroad.Team{{Name: "team", KeyHashes: []quetzalroad.KeyHash{quetzalroad.HashKey("key")}}},
	})
	f.setEngines("v1", 3)
	f.start(t)
	defer f.killAll(t)
	check(t, f)
}

// setEngines registers a number of engines of a version, and removes any others of it.
func (f *versionedFleet) setEngines(version quetzalroad.SoftwareVersion, count int) {
	for i := range 3 {
		id := fmt.Sprintf("%s-%d", version, i)
		if i >= count {
			f.log.Put(quetzalroad.LogStreamUpstreams, id, nil)
			continue
		}
		f.register(version, i, false)
	}
}

// register registers an engine of a version, which may be draining.
func (f *versionedFleet) register(version quetzalroad.SoftwareVersion, i int, draining bool) {
	id := fmt.Sprintf("%s-%d", version, i)
	f.log.Put(quetzalroad.LogStreamUpstreams, id, quetzalroad.UpstreamRegistration{Sequence: 1, Upstream: quetzalroad.Upstream{
		Service: "service", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, version[1], byte(i + 1)}), 80), DataCentre: "dc-0", InstanceID: id, Version: version, MaxConcurrency: 64, Draining: draining,
	}})
}

// drainEngines has all engines of a version say that they leave.
func (f *versionedFleet) drainEngines(version quetzalroad.SoftwareVersion) {
	for i := range 3 {
		f.register(version, i, true)
	}
}

// start starts the nodes, and waits until they know the engines.
func (f *versionedFleet) start(t *testing.T) {
	t.Helper()
	f.ended, f.kill = context.WithCancel(context.Background())
	f.nodes = nil
	for i := range 3 {
		sections := map[string]string{
			"node":           fmt.Sprintf(`{"name": "node-%d", "data-centre": "dc-0", "region": "west"}`, i),
			"stream-origins": cmp.Or(f.origins, `{"plugin": "log"}`),
			"retry":          `{"share": 1, "reserve": 50, "initial": 50, "attempts": 4, "backoff": "0s", "hedge-after": 0}`,
		}
		overrides := []kernel.Override{{Slot: kernel.SlotForwardClient, Component: &faker.ForwardClient{Script: f.respond}}}
		if f.sharing != nil {
			sections["log-sharing"] = `{"plugin": "distributor"}`
			overrides = append(overrides, f.sharing(i)...)
		} else {
			overrides = append(overrides, kernel.Override{Slot: kernel.SlotKeyedLog, Component: &f.log})
		}
		n, err := faker.BuildForwardNode(slog.New(slog.DiscardHandler), sections, overrides...)
		if err != nil {
			t.Fatal(err)
		}
		f.nodes = append(f.nodes, n)
		n.Start()
	}
	time.Sleep(time.Second)
}

// killAll kills all nodes. The streams that they relay end without a word.
func (f *versionedFleet) killAll(t *testing.T) {
	t.Helper()
	f.kill()
	for _, n := range f.nodes {
		n.Kill()
		if err := n.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// crash crashes an engine until it recovers.
func (f *versionedFleet) crash(id quetzalroad.UpstreamName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed[id] = true
}

// recover restarts all engines that have crashed.
func (f *versionedFleet) recover() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.crashed)
}

func (f *versionedFleet) hasCrashed(id quetzalroad.UpstreamName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed[id]
}

// upgrade has an engine start again under its id and address with another version.
func (f *versionedFleet) upgrade(u quetzalroad.Upstream, version quetzalroad.SoftwareVersion) {
	f.mu.Lock()
	if f.upgraded == nil {
		f.upgraded = make(map[string]quetzalroad.SoftwareVersion)
	}
	f.upgraded[u.InstanceID] = version
	f.mu.Unlock()
	u.Version = version
	f.log.Put(quetzalroad.LogStreamUpstreams, u.InstanceID, quetzalroad.UpstreamRegistration{Sequence: 1, StartedAt: time.Now(), Upstream: u})
}

// versionOf returns the version that an engine runs, whatever a node believes.
func (f *versionedFleet) versionOf(u quetzalroad.Upstream) quetzalroad.SoftwareVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return cmp.Or(f.upgraded[u.InstanceID], u.Version)
}

// respond generates the rest of a stream, until its engine crashes.
func (f *versionedFleet) respond(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
	u := a.Upstream
	if f.hasCrashed(u.Name) {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, NotRun: true, Unsent: true, RetryReason: quetzalroad.RetryDialFailed, Cause: errEngineCrashed}
	}
	response := &faker.ScriptedResponse{EventStream: true, BeforeChunk: func(ctx context.Context) error {
		select {
		case <-time.After(streamInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		if f.hasCrashed(u.Name) {
			return errEngineCrashed
		}
		return nil
	}}
	for id := a.ResumeAfter + 1; id <= eventsOfStream; id++ {
		response.Chunks = append(response.Chunks, quetzalroad.BodyChunk{EventID: id, Data: []byte(f.versionOf(u))})
	}
	return response, nil
}

// versionedStream is a stream as its caller receives it, over all its attempts.
type versionedStream struct {
	firstID quetzalroad.RequestID
	begunAt time.Time
	// versions holds the version that generated each event.
	versions []quetzalroad.SoftwareVersion
	complete bool
	// refusal is why the last attempt ended; nil if it is complete, or ended without a word.
	refusal *quetzalroad.Refusal
	ended   context.Context
}

// WriteHead implements quetzalroad.ForwardSink.
func (s *versionedStream) WriteHead(quetzalroad.ResponseHead) error { return nil }

// Write implements quetzalroad.ForwardSink. Nothing reaches the caller once the node was killed.
func (s *versionedStream) Write(data []byte) error {
	if s.ended.Err() != nil {
		return s.ended.Err()
	}
	if len(s.versions) == 0 {
		s.begunAt = time.Now()
	}
	s.versions = append(s.versions, quetzalroad.SoftwareVersion(data))
	return nil
}

// isJoined reports whether events of several versions reached the caller.
func (s *versionedStream) isJoined() bool {
	for _, v := range s.versions {
		if v != s.versions[0] {
			return true
		}
	}
	return false
}

// request sends a stream's next attempt to a node and waits for its end.
func (f *versionedFleet) request(node int, s *versionedStream) {
	id := quetzalroad.RequestID(fmt.Sprintf("%p-%d-%d", s, node, time.Now().UnixNano()))
	r := &quetzalroad.ForwardRequest{CallerRequestID: string(id), Method: "POST", RequestTarget: "/x/", LastEventID: int64(len(s.versions))}
	r.ID, r.Arrived, r.Model = id, time.Now(), "m"
	r.Team = quetzalroad.Team{Name: "team"}
	r.Key, r.HasKey = quetzalroad.HashKey("key"), !f.keyless
	r.Route = quetzalroad.Route{
		Name: "route", MaxExecutions: 4, Streaming: true, Resumable: true, TrafficSplit: []quetzalroad.WeightedService{{Service: "service", Weight: 1}},
		Profile: quetzalroad.Profile{Name: "route", Class: "class", FirstTokenTarget: time.Second, Timeout: 30 * time.Second, Idempotent: true},
	}
	r.Profile, r.Idempotent = r.Route.Profile, true
	if len(s.versions) == 0 {
		s.firstID = id
	} else {
		r.ResumedRequestID = s.firstID
	}
	s.ended = f.ended
	err := f.nodes[node].Forwarder.Forward(f.ended, r, s)
	s.complete = err == nil
	s.refusal = nil
	if f.ended.Err() == nil {
		errors.As(err, &s.refusal)
	}
}

// open sends streams to all nodes in turn, one each interval, until the duration has passed. The returned function
// waits for the ends of all.
func (f *versionedFleet) open(duration, interval time.Duration) (streams []*versionedStream, wait func()) {
	return f.openAt(duration, interval, func(stream int) int { return stream % len(f.nodes) })
}

// openAt sends streams as open does, each to the node that a function returns for its number, which counts from one.
func (f *versionedFleet) openAt(duration, interval time.Duration, nodeOf func(stream int) int) (streams []*versionedStream, wait func()) {
	var open sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < duration; time.Sleep(interval) {
		s := new(versionedStream)
		streams = append(streams, s)
		node := nodeOf(len(streams))
		open.Go(func() { f.request(node, s) })
	}
	return streams, open.Wait
}

// resumeAll resumes all streams that were interrupted, each at another node than before.
func (f *versionedFleet) resumeAll(streams []*versionedStream) (resumed []*versionedStream) {
	var open sync.WaitGroup
	for i, s := range streams {
		if s.complete || len(s.versions) == 0 {
			continue
		}
		resumed = append(resumed, s)
		open.Go(func() { f.request((i+2)%len(f.nodes), s) })
	}
	open.Wait()
	return resumed
}

func countJoined(streams []*versionedStream) int {
	joined := 0
	for _, s := range streams {
		if s.isJoined() {
			joined++
		}
	}
	return joined
}

func countComplete(streams []*versionedStream) int {
	complete := 0
	for _, s := range streams {
		if s.complete {
			complete++
		}
	}
	return complete
}

// Guards against a stream that a node goes on with at an engine of another software version.
func TestStreamOfACrashedEngineIsNotJoinedFromTwoVersions(t *testing.T) {
	runVersionedFleet(t, func(t *testing.T, f *versionedFleet) {
		f.setEngines("v2", 3)
		time.Sleep(3 * time.Second)
		streams, wait := f.open(2*time.Second, 20*time.Millisecond)
		f.crash("v1-0")
		f.crash("v2-0")
		wait()
		if joined, complete := countJoined(streams), countComplete(streams); joined > 0 || complete < len(streams) {
			t.Errorf("%d of %d streams are joined, and %d complete", joined, len(streams), complete)
		}
	})
}

// Guards against streams that their callers resume at another software version, as no node remembers which began
// them.
func TestStreamsResumedAfterAllNodesWereKilledAreNotJoined(t *testing.T) {
	runVersionedFleet(t, func(t *testing.T, f *versionedFleet) {
		f.setEngines("v2", 3)
		time.Sleep(3 * time.Second)
		streams, wait := f.open(2*time.Second, 20*time.Millisecond)
		f.killAll(t)
		killedAt := time.Now()
		wait()
		f.start(t)
		resumed := f.resumeAll(streams)
		if len(resumed) < 50 {
			t.Fatalf("%d streams were interrupted", len(resumed))
		}
		if joined := countJoined(streams); joined > 0 {
			t.Errorf("%d of %d streams are joined", joined, len(resumed))
		}
		// What the nodes received in the last moments before the kill was recorded by none.
		const unrecordedFor = 500 * time.Millisecond
		for _, s := range resumed {
			if !s.complete && killedAt.Sub(s.begunAt) > unrecordedFor {
				t.Errorf("a stream that began %s before the kill does not go on: %v", killedAt.Sub(s.begunAt), s.refusal)
			}
		}
	})
}

// Guards against streams that are resumed at the one version that is left, as nothing tells that another began
// them.
func TestStreamsOfAVersionThatHasLeftAreNotJoined(t *testing.T) {
	runVersionedFleet(t, func(t *testing.T, f *versionedFleet) {
		time.Sleep(3 * time.Second)
		streams, wait := f.open(2*time.Second, 20*time.Millisecond)
		f.killAll(t)
		wait()
		f.setEngines("v1", 0)
		f.setEngines("v2", 3)
		f.start(t)
		f.resumeAll(streams)
		if joined := countJoined(streams); joined > 0 {
			t.Errorf("%d of %d streams are joined", joined, len(streams))
		}
		fresh, wait := f.open(time.Second, 100*time.Millisecond)
		wait()
		if complete := countComplete(fresh); complete < len(fresh) {
			t.Errorf("%d of %d new streams are complete", complete, len(fresh))
		}
	})
}

// Guards against streams that are lost although their service has had one software version only.
func TestStreamsOfTheOnlyVersionGoOnAtAnyNode(t *testing.T) {
	runVersionedFleet(t, func(t *testing.T, f *versionedFleet) {
		time.Sleep(3 * time.Second)
		streams, wait := f.open(2*time.Second, 20*time.Millisecond)
		f.killAll(t)
		wait()
		f.start(t)
		for _, s := range f.resumeAll(streams) {
			if !s.complete {
				t.Errorf("a stream does not go on: %v", s.refusal)
			}
		}
	})
}

// Guards against streams that are given to another version once few engines of theirs are left.
func TestStreamsGoOnAtTheFewEnginesLeftOfTheirVersion(t *testing.T) {
	runVersionedFleet(t, func(t *testing.T, f *versionedFleet) {
		f.setEngines("v2", 3)
		time.Sleep(3 * time.Second)
		streams, wait := f.open(2*time.Second, 20*time.Millisecond)
		f.killAll(t)
		killedAt := time.Now()
		wait()
		f.setEngines("v1", 1)
		f.start(t)
		again, waitAgain := f.open(time.Second, 50*time.Millisecond)
		waitAgain()
		f.resumeAll(streams)
		if joined := countJoined(streams) + countJoined(again); joined > 0 {
			t.Errorf("%d streams are joined", joined)
		}
		for _, s := range streams {
			if !s.complete && len(s.versions) > 0 && killedAt.Sub(s.begunAt) > time.Second {
				t.Errorf("a stream that began %s before the kill does not go on: %v", killedAt.Sub(s.begunAt), s.refusal)
			}
		}
	})
}
