package prover

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// Segments of the prompts of a fleet. Every request has the first one; the others appear in
// some, and the deadly one crashes an engine that begins to write a response.
const (
	commonSegment = "c0"
	deadlySegment = "dead"
	// deadlyOwnSegment is the last segment of a request that crashes engines as a whole.
	deadlyOwnSegment = "dead-own"
)

const (
	engineDownTime       = 3300 * time.Millisecond
	registrationLifetime = 3600 * time.Millisecond
	eventInterval        = 30 * time.Millisecond
	eventsPerStream      = 10
)

// crashPhase is how far an engine comes with the response to a deadly request before it crashes.
type crashPhase int

const (
	// crashAfterHead is between the head and the first event.
	crashAfterHead crashPhase = iota
	crashBeforeHead
	crashBetweenEvents
)

// crashEvent is the number of events before a crash between events.
const crashEvent = 3

// crashingEngine is one incarnation of an engine.
type crashingEngine struct {
	index int
	// down is closed when it crashes.
	down chan struct{}
}

// crashingEngines are the engines of a fleet. They implement quetzalroad.ForwardClient for all nodes.
type crashingEngines struct {
	log   *faker.KeyedLog
	phase crashPhase
	mu    sync.Mutex
	// The fields below are guarded by mu. running holds the current incarnation of each engine by name.
	running map[quetzalroad.UpstreamName]*crashingEngine
	random  *rand.Rand
	// crashes and deadlyArrivals hold the times of all crashes, and of all deadly requests that reached
	// an engine.
	crashes        []time.Time
	deadlyArrivals []time.Time
}

func newCrashingEngines(log *faker.KeyedLog, count int, phase crashPhase, seed uint64) *crashingEngines {
	e := &crashingEngines{log: log, phase: phase, running: make(map[quetzalroad.UpstreamName]*crashingEngine), random: rand.New(rand.NewPCG(seed, 0))}
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
	return slices.ContainsFunc(f.PromptSegments, func(s quetzalroad.PromptSegment) bool { return s.ID == deadlySegment || s.ID == deadlyOwnSegment })
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
	if err := r.wait(prefill); err != nil {
		return nil, err
	}
	if deadly && e.phase == crashBeforeHead {
		return nil, r.crash()
	}
	return r, nil
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
	if r.deadly && (r.engines.phase == crashAfterHead || r.events == crashEvent) {
		return quetzalroad.BodyChunk{}, r.crash()
	}
	if r.events == eventsPerStream {
		return quetzalroad.BodyChunk{}, io.EOF
	}
	r.events++
	return quetzalroad.BodyChunk{Data: []byte("data"), EventID: r.events}, nil
}

// crash crashes the engine and returns what the client sees of it.
func (r *crashingResponse) crash() error {
	r.engines.crash(r.name)
	return r.wait(time.Hour)
}

// Close implements quetzalroad.ForwardResponse.
func (*crashingResponse) Close() {}

// UpstreamOutlived implements quetzalroad.ForwardResponse.
func (r *crashingResponse) UpstreamOutlived(ctx context.Context) bool {
	return !r.engines.HasExited(ctx, quetzalroad.Upstream{Name: r.name})
}
