package measurer

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// policy is a set of plug-ins, selected by settings.
type policy struct {
	name     string
	settings string
}

var (
	routerPolicy = policy{"quetzalroad", `"balancer": {"seed": 1}`}
	// baselinePolicy is FIFO admission, round-robin balancing, no limits, and retries without a budget.
	baselinePolicy = policy{"baseline", `"admitter": {"plugin": "queuer"}, "balancer": {"plugin": "rotator"}, "limiter": {"plugin": "passer"}, "retry": {"plugin": "repeater"}`}
)

// slowdown makes the first engines slower by a factor. start and end count from the start of the workload.
type slowdown struct {
	engines int
	factor  float64
	start   time.Duration
	end     time.Duration
}

// scenario is a workload with the slowdown during it. After timeout, its open requests are cancelled.
type scenario struct {
	user     user
	seed     uint64
	phases   []phase
	slowdown slowdown
	timeout  time.Duration
}

// response is the result of one request.
type response struct {
	arrival
	err error
	// firstTokenTime is the time to the first token, or zero if there was none.
	firstTokenTime time.Duration
	// interTokenTime is the mean time between two consecutive tokens.
	interTokenTime time.Duration
}

// timingSink records when the first and the last token arrived.
type timingSink struct {
	firstAt time.Time
	lastAt  time.Time
	tokens  int
}

// Write implements quetzalroad.ChatSink.
func (s *timingSink) Write(quetzalroad.ChatEvent) error {
	s.lastAt = time.Now()
	if s.firstAt.IsZero() {
		s.firstAt = s.lastAt
	}
	s.tokens++
	return nil
}

// harness is a deployment that runs one scenario.
type harness struct {
	faker.Deployment
	scenario scenario
	mu       sync.Mutex
	// The fields below are guarded by mu. responseLengths holds the lengths of the
	// responses in tokens by request.
	responseLengths map[quetzalroad.RequestID]int
	responses       []response
}

// result is the result of running a scenario.
type result struct {
	responses       []response
	generatedTokens int
	wastedTokens    int
	violations      []string
	duration        time.Duration
}

// runScenario runs a scenario under a policy.
func runScenario(t *testing.T, s scenario, p policy) result {
	t.Helper()
	var res result
	synctest.Test(t, func(t *testing.T) {
		h := &harness{scenario: s, responseLengths: make(map[quetzalroad.RequestID]int)}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		h.deploy(t, p)
		go func() {
			h.RunEngines(ctx)
			close(done)
		}()
		defer func() {
			h.Close()
			cancel()
			<-done
		}()
		time.Sleep(3 * time.Second)
		h.runWorkload(t)
		res = result{responses: h.responses, violations: h.InvariantViolations(), duration: s.phases[len(s.phases)-1].end}
		for _, engine := range h.ChatClient.Engines {
			stats := engine.Stats()
			res.generatedTokens += stats.GeneratedTokens
			res.wastedTokens += stats.WastedTokens
		}
		// The router's metric is used since the engines also count as wasted what a
		// draft generated before it was preempted, which is kept when it resumes.
		res.wastedTokens = h.sumCounter("tokens-wasted")
	})
	return res
}

// sumCounter returns the sum of a counter over all nodes.
func (h *harness) sumCounter(name string) int {
	sum := 0
	for _, n := range h.Nodes {
		count := 0
		if _, err := fmt.Sscan(n.Vars.Get(name).String(), &count); err == nil {
			sum += count
		}
	}
	return sum
}

func (h *harness) deploy(t *testing.T, p policy) {
	t.Helper()
	h.Log.AppendLatency = 5 * time.Millisecond
	h.Network.LocalDelay = 500 * time.Microsecond
	h.Network.RemoteDelay = 30 * time.Millisecond
	h.ChatClient.ReportLag = reportLag
	h.ChatClient.Engines = make(map[quetzalroad.UpstreamName]*faker.FaultyEngine)
	h.ChatClient.ResponseLength = func(c *quetzalroad.ChatRequest) int {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.responseLengths[c.ID]
	}
	if err := h.Publish(h.scenario.user.objects(h.ChatClient.Engines)...); err != nil {
		t.Fatal(err)
	}
	for _, dataCentre := range h.scenario.user.dataCentres {
		for i := range nodesPerDataCentre {
			if _, err := h.AddNode(quetzalroad.NodeName(fmt.Sprintf("%s-%d", dataCentre, i)), dataCentre, quetzalroad.Region(dataCentre), p.settings); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// runWorkload sends the workload and waits until every request has ended.
func (h *harness) runWorkload(t *testing.T) {
	t.Helper()
	arrivals := h.scenario.user.workload(h.scenario.seed, h.scenario.phases)
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].at < arrivals[j].at })
	start := time.Now()
	go h.slowEngines(start)
	ctx, cancel := context.WithTimeout(t.Context(), h.scenario.timeout)
	defer cancel()
	var group sync.WaitGroup
	for i, a := range arrivals {
		time.Sleep(time.Until(start.Add(a.at)))
		group.Go(func() { h.send(ctx, i, a) })
	}
	group.Wait()
	// Wait for the end of the slowdown, so that it ends within the synctest bubble.
	time.Sleep(time.Until(start.Add(h.scenario.slowdown.end)))
}

func (h *harness) slowEngines(start time.Time) {
	s := h.scenario.slowdown
	if s.engines == 0 {
		return
	}
	setSlowdown := func(factor float64) {
		for i := range s.engines {
			h.ChatClient.Engines[quetzalroad.UpstreamName(fmt.Sprintf("engine-%02d", i))].SetSlowdown(factor)
		}
	}
	time.Sleep(time.Until(start.Add(s.start)))
	setSlowdown(s.factor)
	time.Sleep(time.Until(start.Add(s.end)))
	setSlowdown(1)
}

func (h *harness) send(ctx context.Context, id int, a arrival) {
	n := h.Nodes[a.dataCentre*nodesPerDataCentre+a.node]
	c := newRequest(n, id, a)
	h.mu.Lock()
	h.responseLengths[c.ID] = a.responseTokens
	h.mu.Unlock()
	sink := &timingSink{}
	err := n.Dispatcher.Chat(ctx, c, sink)
	resp := response{arrival: a, err: err}
	if sink.tokens > 0 {
		resp.firstTokenTime = sink.firstAt.Sub(c.Arrived)
	}
	if sink.tokens > 1 {
		resp.interTokenTime = sink.lastAt.Sub(sink.firstAt) / time.Duration(sink.tokens-1)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.responses = append(h.responses, resp)
}

func newRequest(n *kernel.Node, id int, a arrival) *quetzalroad.ChatRequest {
	profile, _ := n.Directory.Profile(a.profile)
	team, _ := n.Directory.Team(teamName(a.team))
	service, _ := n.Directory.Service("llm")
	return &quetzalroad.ChatRequest{
		Request: quetzalroad.Request{
			ID: quetzalroad.RequestID(fmt.Sprintf("r-%d", id)), Team: team, Profile: profile, Service: service, Model: "llm",
			Arrived: time.Now(), PromptTokens: a.promptTokens, PrefixHash: a.prefixHash, Idempotent: true,
		},
		Resumable: true,
	}
}
