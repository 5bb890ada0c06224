package prover

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

const (
	// limitsFrom and limitsTo are when engines state a limit.
	limitsFrom = 5 * time.Second
	limitsTo   = 30 * time.Second
	// limitedOfTen is how many of ten engines do.
	limitedOfTen = 7
)

// statedLimits are the limits that the engines of a fleet state, and the requests that they get.
type statedLimits struct {
	fleet     *forwardFleet
	perSecond float64
	// all is set if all engines state a limit.
	all bool
	mu  sync.Mutex
	// The fields below are guarded by mu.
	arrivals  map[quetzalroad.UpstreamName][]limitedArrival
	statedAt  map[quetzalroad.UpstreamName]time.Time
	toldAt    map[toldNode]time.Time
	lifetimes map[quetzalroad.NodeName]int
}

// toldNode is one life of a node that was told an engine's limit.
type toldNode struct {
	upstream quetzalroad.UpstreamName
	node     quetzalroad.NodeName
	lifetime int
}

type limitedArrival struct {
	at   time.Time
	from toldNode
}

// newStatedLimits makes most of a fleet's engines state a limit.
func newStatedLimits(f *forwardFleet, perSecond float64, all bool) *statedLimits {
	l := &statedLimits{
		fleet: f, perSecond: perSecond, all: all, arrivals: make(map[quetzalroad.UpstreamName][]limitedArrival),
		statedAt: make(map[quetzalroad.UpstreamName]time.Time), toldAt: make(map[toldNode]time.Time), lifetimes: make(map[quetzalroad.NodeName]int),
	}
	f.client = func(n quetzalroad.NodeName) kernel.Component {
		l.lifetimes[n]++
		return &limitedClient{limits: l, node: n, lifetime: l.lifetimes[n]}
	}
	return l
}

// isLimited reports whether an engine states a limit now.
func (l *statedLimits) isLimited(u quetzalroad.UpstreamName, now time.Time) bool {
	elapsed := now.Sub(l.fleet.startedAt)
	if elapsed < limitsFrom || elapsed >= limitsTo {
		return false
	}
	engine := l.fleet.engines.running[u]
	return engine != nil && (l.all || engine.index%10 < limitedOfTen)
}

// limitedClient is a node's client of engines that state limits.
type limitedClient struct {
	limits   *statedLimits
	node     quetzalroad.NodeName
	lifetime int
}

// Declare implements kernel.Component.
func (*limitedClient) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (c *limitedClient) Build(n *kernel.Node) error {
	n.ForwardClient = c
	return nil
}

// Send implements quetzalroad.ForwardClient.
func (c *limitedClient) Send(ctx context.Context, a *quetzalroad.Attempt) (quetzalroad.ForwardResponse, error) {
	l := c.limits
	from := toldNode{upstream: a.Upstream.Name, node: c.node, lifetime: c.lifetime}
	attempt := *a
	attempt.BeforeSend = func() error {
		if err := a.BeforeSend(); err != nil {
			return err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.arrivals[from.upstream] = append(l.arrivals[from.upstream], limitedArrival{at: time.Now(), from: from})
		return nil
	}
	response, err := l.fleet.engines.Send(ctx, &attempt)
	if err != nil {
		return nil, err
	}
	return limitedResponse{ForwardResponse: response, limit: l.state(from)}, nil
}

// state returns the limit that an engine states to a node now.
func (l *statedLimits) state(to toldNode) quetzalroad.RateLimit {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isLimited(to.upstream, now) {
		return quetzalroad.RateLimit{}
	}
	if _, ok := l.statedAt[to.upstream]; !ok {
		l.statedAt[to.upstream] = now
	}
	if _, ok := l.toldAt[to]; !ok {
		l.toldAt[to] = now
	}
	return quetzalroad.RateLimit{PerSecond: l.perSecond, IsSet: true}
}

// limitedResponse is a response that states a limit.
type limitedResponse struct {
	quetzalroad.ForwardResponse
	limit quetzalroad.RateLimit
}

// UpstreamOutlived implements quetzalroad.ForwardResponse.
func (limitedResponse) UpstreamOutlived(context.Context) bool { return true }

// Head implements quetzalroad.ForwardResponse.
func (r limitedResponse) Head() quetzalroad.ResponseHead {
	head := r.ForwardResponse.Head()
	head.RateLimit = &r.limit
	return head
}

const (
	// limitWindow is the span in which an engine's requests are counted, and limitNotice how long nodes
	// have to keep to a limit after it was first stated, or after they were told.
	limitWindow       = 4 * time.Second
	limitNotice       = 4 * time.Second
	limitNoticeByNode = 500 * time.Millisecond
)

// worstExcess returns the highest number of requests that an engine got within a window from nodes that
// it had told, less the allowed number.
func (l *statedLimits) worstExcess() float64 {
	const overshoot, slack = 1.5, 5
	worst := -slack - overshoot*limitWindow.Seconds()*l.perSecond
	for u, arrivals := range l.arrivals {
		counted := l.countedArrivals(u, arrivals)
		first := 0
		for i, at := range counted {
			for at.Sub(counted[first]) > limitWindow {
				first++
			}
			worst = max(worst, float64(i-first+1)-slack-overshoot*limitWindow.Seconds()*l.perSecond)
		}
	}
	return worst
}

// countedArrivals returns when an engine got requests from nodes that it had told, while its limit holds.
func (l *statedLimits) countedArrivals(u quetzalroad.UpstreamName, arrivals []limitedArrival) []time.Time {
	statedAt, stated := l.statedAt[u]
	if !stated {
		return nil
	}
	var counted []time.Time
	for _, a := range arrivals {
		toldAt, told := l.toldAt[a.from]
		if told && a.at.Sub(toldAt) >= limitNoticeByNode && a.at.Sub(statedAt) >= limitNotice && a.at.Sub(l.fleet.startedAt) < limitsTo {
			counted = append(counted, a.at)
		}
	}
	slices.SortFunc(counted, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
	return counted
}

// rate returns the mean rate of requests to the engines whose index modulo ten is in [from, to).
func (l *statedLimits) rate(fromIndex, toIndex int, from, to time.Duration) float64 {
	requests, engines := 0, 0
	for u, engine := range l.fleet.engines.running {
		if digit := engine.index % 10; digit < fromIndex || digit >= toIndex {
			continue
		}
		engines++
		for _, a := range l.arrivals[u] {
			if elapsed := a.at.Sub(l.fleet.startedAt); elapsed >= from && elapsed < to {
				requests++
			}
		}
	}
	return float64(requests) / float64(engines) / (to - from).Seconds()
}

// Engines in need state in their responses how many requests a second they take from all nodes together.
func TestNodesTogetherKeepStatedRateLimits(t *testing.T) {
	const leastServed = 0.95
	for name, c := range map[string]struct {
		load      fleetLoad
		perSecond float64
	}{
		"7 nodes":                    {fleetLoad{dataCentres: 7, nodesEach: 1, engines: 9, soundPerSecond: 60, seed: 1}, 3.5},
		"7 nodes, all restarted":     {fleetLoad{dataCentres: 7, nodesEach: 1, engines: 9, soundPerSecond: 60, seed: 2, faults: restartAll(7, 10*time.Second)}, 3.5},
		"7 nodes, a very low limit":  {fleetLoad{dataCentres: 7, nodesEach: 1, engines: 9, soundPerSecond: 60, seed: 3}, 0.4},
		"7 nodes, a limit of nought": {fleetLoad{dataCentres: 7, nodesEach: 1, engines: 9, soundPerSecond: 60, seed: 4}, 0},
		"80 nodes":                   {fleetLoad{dataCentres: 5, nodesEach: 16, engines: 30, soundPerSecond: 200, seed: 5}, 3.5},
		"198 nodes":                  {fleetLoad{dataCentres: 6, nodesEach: 33, engines: 78, soundPerSecond: 400, seed: 6}, 2.5},
	} {
		t.Run(name, func(t *testing.T) {
			var limits *statedLimits
			c.load.prepare = func(f *forwardFleet) { limits = newStatedLimits(f, c.perSecond, false) }
			c.load.duration = 40 * time.Second
			runForwardFleet(t, c.load, func(t *testing.T, f *forwardFleet) {
				share := f.servedShare(0)
				if excess := limits.worstExcess(); excess > 0 {
					t.Errorf("an engine got %.0f requests more than allowed in %s", excess, limitWindow)
				}
				if share < leastServed {
					t.Errorf("%.3f of the requests were served, want %.2f", share, leastServed)
				}
				t.Logf("worst excess %.1f; limited engines got %.2f a second at a limit of %.2f, then %.2f, the others %.2f and %.2f; %.3f served", limits.worstExcess(),
					limits.rate(0, limitedOfTen, limitsFrom+limitNotice, limitsTo), c.perSecond, limits.rate(0, limitedOfTen, limitsTo+2*time.Second, 40*time.Second),
					limits.rate(limitedOfTen, 10, limitsFrom+limitNotice, limitsTo), limits.rate(limitedOfTen, 10, limitsTo+2*time.Second, 40*time.Second), share)
			})
		})
	}
}
