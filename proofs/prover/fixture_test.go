package prover

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// fixture is a deployment of two data centres with engines and a plain
// service, in a bubble.
type fixture struct {
	faker.Deployment
	t *testing.T
}

const (
	enginesPerPlace = 3
	engineSlots     = 8
)

var places = []quetzalroad.DataCentre{"east", "west"}

// inBubble runs a test on a fixture of nodes alternating between the places.
// The nodes' invariants must hold at its end.
func inBubble(t *testing.T, nodes int, f func(t *testing.T, x *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(t)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			x.RunEngines(ctx)
			close(done)
		}()
		defer func() {
			x.Close()
			cancel()
			<-done
		}()
		for i := range nodes {
			x.add(fmt.Sprintf("node-%d", i), places[i%len(places)])
		}
		time.Sleep(2 * time.Second)
		x.awaitReady()
		f(t, x)
		for _, b := range x.InvariantViolations() {
			t.Error("invariant broken:", b)
		}
	})
}

func newFixture(t *testing.T) *fixture {
	x := &fixture{t: t}
	x.Log.AppendLatency = 5 * time.Millisecond
	x.Log.ReadLatency = time.Millisecond
	x.Network.LocalDelay = 500 * time.Microsecond
	x.Network.RemoteDelay = 30 * time.Millisecond
	x.ServiceClient.ExecutionTime = 10 * time.Millisecond
	x.ChatClient.ReportLag = time.Second
	x.ChatClient.Engines = make(map[quetzalroad.UpstreamName]*faker.FaultyEngine)
	x.publish(x.objects()...)
	return x
}

func (x *fixture) objects() []quetzalroad.Object {
	objects := []quetzalroad.Object{
		{Profile: chatProfile()},
		{Profile: draftProfile()},
		{Profile: bookingProfile()},
		{Team: &quetzalroad.Team{Name: "team", DefaultProfile: "chat"}},
		{Service: &quetzalroad.Service{Name: "llm", Kind: quetzalroad.ServiceKindEngine, Models: []quetzalroad.ModelName{"llm"}}},
		{Service: &quetzalroad.Service{Name: "portal", Kind: quetzalroad.ServiceKindPlain, DefaultProfile: "booking"}},
	}
	for _, place := range places {
		for i := range enginesPerPlace {
			name := quetzalroad.UpstreamName(fmt.Sprintf("%s-engine-%d", place, i))
			x.ChatClient.Engines[name] = &faker.FaultyEngine{Engine: faker.Engine{
				MaxBatchSize: 2 * engineSlots, BaseStepTime: 18 * time.Millisecond, StepTimePerRequest: time.Millisecond, PrefillTimePerToken: 20 * time.Microsecond,
			}}
			objects = append(objects, quetzalroad.Object{Upstream: &quetzalroad.Upstream{
				Name: name, Service: "llm", DataCentre: place, Region: quetzalroad.Region(place), MaxConcurrency: engineSlots, Address: anyAddress,
			}})
		}
		objects = append(objects, quetzalroad.Object{Upstream: &quetzalroad.Upstream{
			Name: quetzalroad.UpstreamName(place + "-portal"), Service: "portal", DataCentre: place, Region: quetzalroad.Region(place), MaxConcurrency: 256, Address: anyAddress,
		}})
	}
	return objects
}

func chatProfile() *quetzalroad.Profile {
	return &quetzalroad.Profile{Name: "chat", Class: "chat", Tier: 1, FirstTokenTarget: time.Second, Timeout: time.Minute, Idempotent: true, Interactive: true}
}

func draftProfile() *quetzalroad.Profile {
	return &quetzalroad.Profile{Name: "draft", Class: "draft", Tier: 4, FirstTokenTarget: time.Minute, Timeout: 30 * time.Minute, Idempotent: true, Preemptible: true}
}

func bookingProfile() *quetzalroad.Profile {
	return &quetzalroad.Profile{Name: "booking", Class: "booking", Tier: 0, FirstTokenTarget: 2 * time.Second, Timeout: 30 * time.Second, Interactive: true}
}

func (x *fixture) publish(objects ...quetzalroad.Object) {
	x.t.Helper()
	if err := x.Publish(objects...); err != nil {
		x.t.Fatal(err)
	}
}

func (x *fixture) add(name string, place quetzalroad.DataCentre) *kernel.Node {
	x.t.Helper()
	n, err := x.AddNode(quetzalroad.NodeName(name), place, quetzalroad.Region(place), x.settings())
	if err != nil {
		x.t.Fatal(err)
	}
	return n
}

func (*fixture) settings() string {
	return `"retry": {"initial": 50}`
}

func (x *fixture) awaitReady() {
	x.t.Helper()
	for _, n := range x.Nodes {
		if err := n.Ready(); err != nil {
			x.t.Fatalf("%s is not ready: %v", n.Name, err)
		}
	}
}

// within waits until a condition holds, and fails if it doesn't in time.
func (x *fixture) within(bound time.Duration, what string, holds func() bool) time.Duration {
	x.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > bound {
			x.t.Fatalf("not within %s: %s", bound, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

// collector is a sink that keeps the text.
type collector struct {
	text strings.Builder
	at   []time.Time
}

// Write implements quetzalroad.ChatSink.
func (c *collector) Write(e quetzalroad.ChatEvent) error {
	c.text.WriteString(e.Text)
	c.at = append(c.at, time.Now())
	return nil
}

// chat makes a chat as the caller face would.
func chat(n *kernel.Node, id, profile string) *quetzalroad.ChatRequest {
	p, _ := n.Directory.Profile(quetzalroad.ProfileName(profile))
	team, _ := n.Directory.Team("team")
	service, _ := n.Directory.Service("llm")
	return &quetzalroad.ChatRequest{
		Request: quetzalroad.Request{
			ID: quetzalroad.RequestID(id), Team: team, Profile: p, Service: service, Model: "llm",
			Arrived: time.Now(), PromptTokens: 100, Idempotent: p.Idempotent,
		},
		Resumable: true,
	}
}

// booking makes a booking as the caller face would.
func booking(n *kernel.Node, id, key string) *quetzalroad.ServiceRequest {
	p, _ := n.Directory.Profile("booking")
	team, _ := n.Directory.Team("team")
	service, _ := n.Directory.Service("portal")
	return &quetzalroad.ServiceRequest{
		Request: quetzalroad.Request{
			ID: quetzalroad.RequestID(id), Team: team, Profile: p, Service: service, Arrived: time.Now(), IdempotencyKey: key,
		},
		Method: "POST", Path: "/bookings",
	}
}

// outcome gives what a caller is told.
func outcome(err error) quetzalroad.Outcome {
	var refusal *quetzalroad.Refusal
	switch {
	case err == nil:
		return quetzalroad.OutcomeCompleted
	case errors.As(err, &refusal):
		return refusal.Outcome
	}
	return quetzalroad.OutcomeUnknown
}

func reason(err error) quetzalroad.RefusalReason {
	var refusal *quetzalroad.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}

// results collects what callers were told.
type results struct {
	mu sync.Mutex
	// outcomes and reasons are guarded by mu.
	outcomes map[quetzalroad.Outcome]int
	reasons  map[quetzalroad.RefusalReason]int
}

func (r *results) add(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcomes == nil {
		r.outcomes = make(map[quetzalroad.Outcome]int)
		r.reasons = make(map[quetzalroad.RefusalReason]int)
	}
	r.outcomes[outcome(err)]++
	if err != nil {
		r.reasons[reason(err)]++
	}
}
