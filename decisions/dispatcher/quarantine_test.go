package dispatcher_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// promptRequest returns a resumable stream whose prompt has shared segments and one of its own.
func promptRequest(id string, shared ...string) *quetzalroad.ForwardRequest {
	f := newForwardRequest("stream")
	f.ID, f.CallerRequestID = quetzalroad.RequestID(id), id
	f.Route.MaxExecutions = 3
	for _, s := range append(shared, "own-"+id) {
		f.PromptSegments = append(f.PromptSegments, quetzalroad.PromptSegment{ID: s, Tokens: 10})
	}
	return f
}

// interruptAfter makes every response break off after some events.
func interruptAfter(events int64) func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
	return func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
		return &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(a.ResumeAfter+1, a.ResumeAfter+events), Interrupted: true}, nil
	}
}

func allExited(quetzalroad.Upstream) bool { return true }

// quarantine makes the node quarantine a segment.
func (x *forwardFixture) quarantine(id string) {
	for i := range 5 {
		u := quetzalroad.UpstreamName(fmt.Sprintf("gone-%s-%d", id, i))
		x.node.Quarantine.RecordLoss(time.Now(), u, x.node.Quarantine.Expose([]quetzalroad.PromptSegment{{ID: id}}))
	}
}

func TestForwardDoesNotRetryRequestUnderWhichUpstreamExited(t *testing.T) {
	for name, c := range map[string]struct {
		events   int64
		exited   func(quetzalroad.Upstream) bool
		attempts int
	}{
		"exited as it began to respond":        {0, allExited, 1},
		"only the connection was lost":         {0, nil, 3},
		"exited in the middle of the response": {2, allExited, 3},
	} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				x.Script, x.Exited = interruptAfter(c.events), c.exited
				_, refusal := x.forward(t.Context(), promptRequest("1", "s"))
				if refusal == nil || refusal.Outcome != quetzalroad.OutcomeUnknown {
					t.Errorf("refusal %v, want one of unknown outcome", refusal)
				}
				if got := len(x.Sent()); got != c.attempts {
					t.Errorf("%d attempts, want %d", got, c.attempts)
				}
			})
		})
	}
}

func TestForwardRefusesQuarantinedSegmentAsNotRun(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.quarantine("deadly")
		_, refusal := x.forward(t.Context(), promptRequest("1", "common", "deadly"))
		if refusal == nil || refusal.Reason != quetzalroad.ReasonQuarantined || refusal.Outcome != quetzalroad.OutcomeNotRun || refusal.RetryAfter <= 0 {
			t.Errorf("refusal %+v", refusal)
		}
		if _, refusal := x.forward(t.Context(), promptRequest("2", "common")); refusal != nil {
			t.Errorf("a request without the segment: %v", refusal)
		}
		f := promptRequest("3")
		f.PromptSegments[0].ID = "deadly"
		if _, refusal := x.forward(t.Context(), f); refusal != nil {
			t.Errorf("a request whose own segment has that id: %v", refusal)
		}
		if got := len(x.Sent()); got != 2 {
			t.Errorf("%d requests were sent, want 2", got)
		}
	})
}

// The evidence may arrive while a request waits for a connection.
func TestForwardChecksQuarantineAgainBeforeSending(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			x.quarantine("deadly")
			return nil, connectionLostError(a)
		}
		_, refusal := x.forward(t.Context(), promptRequest("1", "deadly"))
		if refusal == nil || refusal.Reason != quetzalroad.ReasonQuarantined || refusal.Outcome != quetzalroad.OutcomeUnknown {
			t.Errorf("refusal %+v, want the quarantine, of unknown outcome", refusal)
		}
		if got := len(x.Sent()); got != 1 {
			t.Errorf("sent %d times, want once", got)
		}
		x.Script = nil
		f := promptRequest("2", "late")
		x.node.ForwardClient = sendAfter(x, func() { x.quarantine("late") })
		_, refusal = x.forward(t.Context(), f)
		if refusal == nil || refusal.Reason != quetzalroad.ReasonQuarantined || refusal.Outcome != quetzalroad.OutcomeNotRun {
			t.Errorf("refusal %+v, want the quarantine, not run", refusal)
		}
		if got := len(x.Sent()); got != 1 {
			t.Errorf("sent %d times, want once", got)
		}
	})
}

// delayedClient calls connect before it sends.
type delayedClient struct {
	quetzalroad.ForwardClient
	connect func()
}

func sendAfter(x *forwardFixture, connect func()) quetzalroad.ForwardClient {
	return delayedClient{ForwardClient: &x.ForwardClient, connect: connect}
}

func (c delayedClient) Send(ctx context.Context, a *quetzalroad.Attempt) (quetzalroad.ForwardResponse, error) {
	c.connect()
	return c.ForwardClient.Send(ctx, a)
}

func TestForwardRecordsLossOnlyOfRequestsThatWereBeingAnswered(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Exited = allExited
		x.Script = interruptAfter(0)
		x.forward(t.Context(), promptRequest("1", "begun"))
		x.Script = interruptAfter(1)
		x.forward(t.Context(), promptRequest("2", "streaming"))
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return nil, connectionLostError(a)
		}
		x.forward(t.Context(), promptRequest("3", "waiting"))
		// The evidence of requests in flight is recorded a little later.
		time.Sleep(2 * time.Second)
		evidence := x.node.Quarantine.Evidence()
		if diff := cmp.Diff([]string{"begun"}, segmentsOf(evidence.Losses)); diff != "" {
			t.Errorf("losses (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]string{"streaming", "waiting"}, segmentsOf(evidence.InFlight)); diff != "" {
			t.Errorf("requests in flight (-want +got):\n%s", diff)
		}
	})
}

// segmentsOf returns the prompt segments of losses, each one once.
func segmentsOf(losses []quetzalroad.UpstreamLoss) []string {
	var ids []string
	for _, l := range losses {
		for _, s := range l.Segments {
			if !quetzalroad.IsWholeRequest(s.ID) {
				ids = append(ids, s.ID)
			}
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

func TestForwardBlamesNoExitOfADrainingUpstream(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Exited = allExited
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			i := slices.Index(testUpstreams, a.Upstream.InstanceID)
			x.KeyedLog.Put(quetzalroad.LogStreamUpstreams, a.Upstream.InstanceID, upstreamRegistration(a.Upstream.InstanceID, i, 2, true))
			time.Sleep(2 * time.Second)
			return nil, connectionLostError(a)
		}
		x.forward(t.Context(), promptRequest("1", "s"))
		time.Sleep(2 * time.Second)
		if evidence := x.node.Quarantine.Evidence(); len(evidence.Losses)+len(evidence.InFlight) > 0 {
			t.Errorf("evidence %+v of an upstream that left as planned", evidence)
		}
	})
}

// A deadly request comes again with another id, from another caller.
func TestForwardRefusesSameContentWithAnotherID(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script, x.Exited = interruptAfter(0), allExited
		sameContent := func(id string) *quetzalroad.ForwardRequest {
			f := promptRequest(id, "s")
			f.PromptSegments[len(f.PromptSegments)-1].ID = "own"
			return f
		}
		exited := make(map[quetzalroad.UpstreamName]bool)
		for i := 0; len(exited) < len(testUpstreams); i++ {
			x.forward(t.Context(), sameContent(fmt.Sprint(i)))
			for _, a := range x.Sent() {
				exited[a.Upstream.Name] = true
			}
		}
		sent := len(x.Sent())
		x.Script = nil
		_, refusal := x.forward(t.Context(), sameContent("last"))
		if refusal == nil || refusal.Reason != quetzalroad.ReasonQuarantined || refusal.Outcome != quetzalroad.OutcomeNotRun {
			t.Errorf("refusal %v, want the quarantine, not run", refusal)
		}
		if got := len(x.Sent()); got != sent {
			t.Errorf("sent %d times after three upstreams exited", got-sent)
		}
		if _, refusal := x.forward(t.Context(), promptRequest("other", "s")); refusal != nil {
			t.Errorf("another request with the same shared segment: %v", refusal)
		}
	})
}
