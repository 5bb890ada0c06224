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

// policy is a set of plug-ins by its settings.
type policy struct {
	name     string
	settings string
}

var (
	ours = policy{"quetzalroad", `"balancer": {"seed": 1}`}
	// plain is first come first served, round robin, no limit, blind retry.
	plain = policy{"baseline", `"admitter": {"plugin": "queuer"}, "balancer": {"plugin": "rotator"}, "limiter": {"plugin": "passer"}, "retry": {"plugin": "repeater"}`}
)

// slowing is a part of the engines that is slowed for a time.
type slowing struct {
	engines int
	factor  float64
	from    time.Duration
	until   time.Duration
}

// scenario is a workload with what goes wrong meanwhile.
type scenario struct {
	user     user
	seed     uint64
	phases   []phase
	slowing  slowing
	deadline time.Duration
}

// answer is what became of one request.
type answer struct {
	arrival
	err error
	// first is the time to the first token; zero where there was none.
	first time.Duration
	// pace is the mean time between two tokens.
	pace time.Duration
}

// firstSink notes when the first and the last token came.
type firstSink struct {
	at    time.Time
	last  time.Time
	count int
}

// Write implements quetzalroad.ChatSink.
func (s *firstSink) Write(quetzalroad.ChatEvent) error {
	s.last = time.Now()
	if s.at.IsZero() {
		s.at = s.last
	}
	s.count++
	return nil
}

// rig is one run.
type rig struct {
	faker.Deployment
	scenario scenario
	mu       sync.Mutex
	// lengths holds the answers' lengths by request and is guarded by mu, as
	// are the answers.
	lengths map[quetzalroad.RequestID]int
	answers []answer
}

// outcome is what a run gave.
type outcome struct {
	answers   []answer
	generated int
	wasted    int
	breaches  []string
	span      time.Duration
}

// run plays a scenario under a policy.
func run(t *testing.T, s scenario, p policy) outcome {
	t.Helper()
	var o outcome
	synctest.Test(t, func(t *testing.T) {
		r := &rig{scenario: s, lengths: make(map[quetzalroad.RequestID]int)}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		r.bringUp(t, p)
		go func() {
			r.RunEngines(ctx)
			close(done)
		}()
		defer func() {
			r.Close()
			cancel()
			<-done
		}()
		time.Sleep(3 * time.Second)
		r.play(t)
		o = outcome{answers: r.answers, breaches: r.InvariantViolations(), span: s.phases[len(s.phases)-1].until}
		for _, m := range r.ChatClient.Engines {
			c := m.Stats()
			o.generated += c.GeneratedTokens
			o.wasted += c.WastedTokens
		}
		// What a paused draft made before its pause is kept, not wasted.
		o.wasted = r.counted("tokens-wasted")
	})
	return o
}

// counted sums a counter over the nodes.
func (r *rig) counted(name string) int {
	sum := 0
	for _, n := range r.Nodes {
		count := 0
		if _, err := fmt.Sscan(n.Vars.Get(name).String(), &count); err == nil {
			sum += count
		}
	}
	return sum
}

func (r *rig) bringUp(t *testing.T, p policy) {
	t.Helper()
	r.Log.AppendLatency = 5 * time.Millisecond
	r.Network.LocalDelay = 500 * time.Microsecond
	r.Network.RemoteDelay = 30 * time.Millisecond
	r.ChatClient.ReportLag = reportLag
	r.ChatClient.Engines = make(map[quetzalroad.UpstreamName]*faker.FaultyEngine)
	r.ChatClient.ResponseLength = func(c *quetzalroad.ChatRequest) int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.lengths[c.ID]
	}
	if err := r.Publish(r.scenario.user.objects(r.ChatClient.Engines)...); err != nil {
		t.Fatal(err)
	}
	for _, place := range r.scenario.user.places {
		for i := range nodesPerPlace {
			if _, err := r.AddNode(quetzalroad.NodeName(fmt.Sprintf("%s-%d", place, i)), place, quetzalroad.Region(place), p.settings); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// play sends the workload and waits until every request has ended.
func (r *rig) play(t *testing.T) {
	t.Helper()
	arrivals := r.scenario.user.workload(r.scenario.seed, r.scenario.phases)
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].at < arrivals[j].at })
	began := time.Now()
	go r.slow(began)
	ctx, cancel := context.WithTimeout(t.Context(), r.scenario.deadline)
	defer cancel()
	var group sync.WaitGroup
	for i, a := range arrivals {
		time.Sleep(time.Until(began.Add(a.at)))
		group.Go(func() { r.send(ctx, i, a) })
	}
	group.Wait()
	// The slowing ends within the run.
	time.Sleep(time.Until(began.Add(r.scenario.slowing.until)))
}

func (r *rig) slow(began time.Time) {
	s := r.scenario.slowing
	if s.engines == 0 {
		return
	}
	set := func(factor float64) {
		for i := range s.engines {
			r.ChatClient.Engines[quetzalroad.UpstreamName(fmt.Sprintf("engine-%02d", i))].SetSlowdown(factor)
		}
	}
	time.Sleep(time.Until(began.Add(s.from)))
	set(s.factor)
	time.Sleep(time.Until(began.Add(s.until)))
	set(1)
}

func (r *rig) send(ctx context.Context, number int, a arrival) {
	n := r.Nodes[a.place*nodesPerPlace+a.node]
	c := request(n, number, a)
	r.mu.Lock()
	r.lengths[c.ID] = a.length
	r.mu.Unlock()
	sink := &firstSink{}
	err := n.Dispatcher.Chat(ctx, c, sink)
	one := answer{arrival: a, err: err}
	if sink.count > 0 {
		one.first = sink.at.Sub(c.Arrived)
	}
	if sink.count > 1 {
		one.pace = sink.last.Sub(sink.at) / time.Duration(sink.count-1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, one)
}

func request(n *kernel.Node, number int, a arrival) *quetzalroad.ChatRequest {
	profile, _ := n.Directory.Profile(a.profile)
	team, _ := n.Directory.Team(teamName(a.team))
	service, _ := n.Directory.Service("llm")
	return &quetzalroad.ChatRequest{
		Request: quetzalroad.Request{
			ID: quetzalroad.RequestID(fmt.Sprintf("r-%d", number)), Team: team, Profile: profile, Service: service, Model: "llm",
			Arrived: time.Now(), PromptTokens: a.prompt, PrefixHash: a.prefix, Idempotent: true,
		},
		Resumable: true,
	}
}
