package dispatcher_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// sentTo returns how many attempts were sent to an upstream.
func (x *forwardFixture) sentTo(id string) int {
	count := 0
	for _, a := range x.Sent() {
		if a.Upstream.InstanceID == id {
			count++
		}
	}
	return count
}

// An upstream that says in a response that it leaves gets no further request, though its registration, which a
// node may read much later, still says that it is ready.
func TestForwardSendsNothingToUpstreamThatSaysItLeaves(t *testing.T) {
	for name, respond := range map[string]func(a *quetzalroad.Attempt) (*faker.ScriptedResponse, error){
		"plain": func(*quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return &faker.ScriptedResponse{Leaving: true}, nil
		},
		"server error": func(*quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return &faker.ScriptedResponse{Status: 500, Leaving: true}, nil
		},
		"stream": func(*quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(1, 2), Leaving: true}, nil
		},
		"turned away": func(a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return nil, &quetzalroad.AttemptError{Upstream: a.Upstream.Name, NotRun: true, RetryReason: quetzalroad.RetryNotRun, Leaving: true, Cause: errors.New("full")}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				x.KeyedLog.SetUnavailable(true)
				x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
					if a.Upstream.InstanceID != "a" {
						return &faker.ScriptedResponse{}, nil
					}
					return respond(a)
				}
				kind := "safe"
				if name == "stream" {
					kind = "stream"
				}
				for range 60 {
					f := newForwardRequest(kind)
					f.HasKey = false
					x.forward(t.Context(), f)
				}
				if got := x.sentTo("a"); got != 1 {
					t.Errorf("the leaving upstream got %d requests, want 1", got)
				}
			})
		})
	}
}

// An upstream that turns a request away and asks for a pause gets none until the pause ends; if all do, requests
// are refused as not run and told when to come back.
func TestForwardKeepsToThePauseThatUpstreamsAskFor(t *testing.T) {
	const pause = 3 * time.Second
	for name, pausing := range map[string][]string{"one": {"a"}, "all": testUpstreams} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				pausedAt := make(map[string]time.Time)
				x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
					id := a.Upstream.InstanceID
					at, paused := pausedAt[id]
					if paused && time.Since(at) < pause {
						t.Errorf("%s got a request %v after it asked for a pause of %v", id, time.Since(at), pause)
					}
					if !slices.Contains(pausing, id) || paused {
						return &faker.ScriptedResponse{}, nil
					}
					pausedAt[id] = time.Now()
					return nil, &quetzalroad.AttemptError{Upstream: a.Upstream.Name, NotRun: true, RetryReason: quetzalroad.RetryNotRun, RetryAfter: pause, Cause: errors.New("full")}
				}
				refused := 0
				for range 500 {
					_, refusal := x.forward(t.Context(), newForwardRequest("safe"))
					if refusal != nil {
						refused++
						if refusal.Outcome != quetzalroad.OutcomeNotRun || refusal.RetryAfter <= 0 {
							t.Fatalf("refusal %+v", refusal)
						}
					}
					time.Sleep(10 * time.Millisecond)
				}
				if (refused > 0) != (len(pausing) == len(testUpstreams)) {
					t.Errorf("%d requests refused with %d of %d upstreams paused", refused, len(pausing), len(testUpstreams))
				}
				for _, id := range pausing {
					if x.sentTo(id) < 2 {
						t.Errorf("%s got no request after its pause", id)
					}
				}
			})
		})
	}
}
