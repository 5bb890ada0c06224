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
// service, run in a synctest bubble.
type fixture struct {
	faker.Deployment
	t *testing.T
}

const (
	enginesPerDataCentre = 3
	engineConcurrency    = 8
)

var dataCentres = []quetzalroad.DataCentre{"east", "west"}

// runWithNodes runs a test in a synctest bubble with nodes distributed round-robin over the data centres.
// It fails if a node counted an invariant violation.
func runWithNodes(t *testing.T, nodes int, f func(t *testing.T, x *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(t)
		ctx, cancel := context.WithCancel(t.Context())
		enginesDone := make(chan struct{})
		go func() {
			x.RunEngines(ctx)
			close(enginesDone)
		}()
		defer func() {
			x.Close()
			cancel()
			<-enginesDone
		}()
		for i := range nodes {
			x.addNode(fmt.Sprintf("node-%d", i), dataCentres[i%len(dataCentres)])
		}
		time.Sleep(2 * time.Second)
		x.requireReady()
		f(t, x)
		for _, violation := range x.InvariantViolations() {
			t.Error("invariant broken:", violation)
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
	for _, dataCentre := range dataCentres {
		for i := range enginesPerDataCentre {
			name := quetzalroad.UpstreamName(fmt.Sprintf("%s-engine-%d", dataCentre, i))
			x.ChatClient.Engines[name] = &faker.FaultyEngine{Engine: faker.Engine{
				MaxBatchSize: 2 * engineConcurrency, BaseStepTime: 18 * time.Millisecond, StepTimePerRequest: time.Millisecond, PrefillTimePerToken: 20 * time.Microsecond,
			}}
			objects = append(objects, quetzalroad.Object{Upstream: &quetzalroad.Upstream{
				Name: name, Service: "llm", DataCentre: dataCentre, Region: quetzalroad.Region(dataCentre), MaxConcurrency: engineConcurrency, Address: upstreamAddress,
			}})
		}
		objects = append(objects, quetzalroad.Object{Upstream: &quetzalroad.Upstream{
			Name: quetzalroad.UpstreamName(dataCentre + "-portal"), Service: "portal", DataCentre: dataCentre, Region: quetzalroad.Region(dataCentre), MaxConcurrency: 256, Address: upstreamAddress,
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

func (x *fixture) addNode(name string, dataCentre quetzalroad.DataCentre) *kernel.Node {
	x.t.Helper()
	n, err := x.AddNode(quetzalroad.NodeName(name), dataCentre, quetzalroad.Region(dataCentre), x.settings())
	if err != nil {
		x.t.Fatal(err)
	}
	return n
}

func (*fixture) settings() string {
	return `"retry": {"initial": 50}`
}

func (x *fixture) requireReady() {
	x.t.Helper()
	for _, n := range x.Nodes {
		if err := n.Ready(); err != nil {
			x.t.Fatalf("%s is not ready: %v", n.Name, err)
		}
	}
}

// waitFor polls until a condition holds and returns how long that took; it fails the test after the timeout.
func (x *fixture) waitFor(timeout time.Duration, description string, condition func() bool) time.Duration {
	x.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > timeout {
			x.t.Fatalf("timed out after %s: %s", timeout, description)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// textSink collects the text of a response and the arrival times of its events.
type textSink struct {
	text       strings.Builder
	receivedAt []time.Time
}

// Write implements quetzalroad.ChatSink.
func (s *textSink) Write(e quetzalroad.ChatEvent) error {
	s.text.WriteString(e.Text)
	s.receivedAt = append(s.receivedAt, time.Now())
	return nil
}

// newChat returns a chat request as the caller server would build it.
func newChat(n *kernel.Node, id, profile string) *quetzalroad.ChatRequest {
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

// newBooking returns a booking request as the caller server would build it.
func newBooking(n *kernel.Node, id, key string) *quetzalroad.ServiceRequest {
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

// outcomeOf returns the outcome that an error reports to the caller.
func outcomeOf(err error) quetzalroad.Outcome {
	var refusal *quetzalroad.Refusal
	switch {
	case err == nil:
		return quetzalroad.OutcomeCompleted
	case errors.As(err, &refusal):
		return refusal.Outcome
	}
	return quetzalroad.OutcomeUnknown
}

func reasonOf(err error) quetzalroad.RefusalReason {
	var refusal *quetzalroad.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}

// outcomeStats counts the outcomes and refusal reasons reported to callers.
type outcomeStats struct {
	mu sync.Mutex
	// outcomes and reasons are guarded by mu.
	outcomes map[quetzalroad.Outcome]int
	reasons  map[quetzalroad.RefusalReason]int
}

func (r *outcomeStats) record(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcomes == nil {
		r.outcomes = make(map[quetzalroad.Outcome]int)
		r.reasons = make(map[quetzalroad.RefusalReason]int)
	}
	r.outcomes[outcomeOf(err)]++
	if err != nil {
		r.reasons[reasonOf(err)]++
	}
}
