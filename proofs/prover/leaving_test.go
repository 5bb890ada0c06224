package prover

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

const (
	// leavesFrom is when half of the engines begin to say that they leave, while the log is away. When it is
	// back, it still says that they are ready.
	logAwayFrom = 4 * time.Second
	leavesFrom  = 5 * time.Second
	logAwayTo   = 8 * time.Second
	// settled is when the nodes have read the log again.
	settled = 9 * time.Second
	// drainTime is how long after a response that told it an engine may still get requests from a node.
	drainTime = 2 * time.Second
)

// leavingEngines are engines of which half leave, and say so only in their responses.
type leavingEngines struct {
	fleet *forwardFleet
	mu    sync.Mutex
	// The fields below are guarded by mu. toldAt is when each node passed on a response of an engine that
	// said that it leaves.
	toldAt map[toldNode]time.Time
	told   int
	late   int
}

// isLeaving reports whether an engine says that it leaves.
func (l *leavingEngines) isLeaving(u quetzalroad.UpstreamName) bool {
	engine := l.fleet.engines.running[u]
	return time.Since(l.fleet.startedAt) >= leavesFrom && engine != nil && engine.index%2 == 0
}

// record records that a node sent a request to an engine.
func (l *leavingEngines) record(from toldNode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, told := l.toldAt[from]; told && time.Since(at) > drainTime {
		l.late++
	}
}

// tell records that a node passed on an engine's response, and reports whether that says that it leaves.
func (l *leavingEngines) tell(to toldNode) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isLeaving(to.upstream) {
		return false
	}
	l.told++
	if _, told := l.toldAt[to]; !told {
		l.toldAt[to] = time.Now()
	}
	return true
}

// leavingClient is a node's client of engines that leave.
type leavingClient struct {
	engines *leavingEngines
	node    quetzalroad.NodeName
}

// Declare implements kernel.Component.
func (*leavingClient) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (c *leavingClient) Build(n *kernel.Node) error {
	n.ForwardClient = c
	return nil
}

// Send implements quetzalroad.ForwardClient.
func (c *leavingClient) Send(ctx context.Context, a *quetzalroad.Attempt) (quetzalroad.ForwardResponse, error) {
	from := toldNode{upstream: a.Upstream.Name, node: c.node}
	attempt := *a
	attempt.BeforeSend = func() error {
		if err := a.BeforeSend(); err != nil {
			return err
		}
		c.engines.record(from)
		return nil
	}
	response, err := c.engines.fleet.engines.Send(ctx, &attempt)
	if err != nil {
		return nil, err
	}
	return leavingResponse{ForwardResponse: response, leaving: c.engines.tell(from)}, nil
}

// leavingResponse is a response that may say that its engine leaves.
type leavingResponse struct {
	quetzalroad.ForwardResponse
	leaving bool
}

// UpstreamOutlived implements quetzalroad.ForwardResponse.
func (leavingResponse) UpstreamOutlived(context.Context) bool { return true }

// Head implements quetzalroad.ForwardResponse.
func (r leavingResponse) Head() quetzalroad.ResponseHead {
	h := r.ForwardResponse.Head()
	h.Leaving = r.leaving
	return h
}

// Half of the engines leave while the log, which could tell it, is away.
func TestEnginesThatSayTheyLeaveGetNothingMore(t *testing.T) {
	var engines *leavingEngines
	load := fleetLoad{
		dataCentres: 5, nodesEach: 39, engines: 80, soundPerSecond: 400, duration: 12 * time.Second, seed: 31,
		prepare: func(f *forwardFleet) {
			engines = &leavingEngines{fleet: f, toldAt: make(map[toldNode]time.Time)}
			f.client = func(n quetzalroad.NodeName) kernel.Component { return &leavingClient{engines: engines, node: n} }
		},
		faults: []fleetFault{
			{logAwayFrom, func(_ *testing.T, f *forwardFleet) { f.log.SetUnavailable(true) }},
			{logAwayTo, func(_ *testing.T, f *forwardFleet) { f.log.SetUnavailable(false) }},
		},
	}
	runForwardFleet(t, load, func(t *testing.T, f *forwardFleet) {
		served := f.servedShare(settled)
		if engines.told == 0 {
			t.Fatal("no engine said that it leaves, so the test checks nothing")
		}
		if engines.late > 0 {
			t.Errorf("%d requests reached engines later than %s after a node had passed on that they leave", engines.late, drainTime)
		}
		if served < 0.99 {
			t.Errorf("%.3f of the requests were served", served)
		}
		t.Logf("%d responses said that an engine leaves, %.3f of the requests served", engines.told, served)
	})
}
