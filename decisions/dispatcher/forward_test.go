package dispatcher_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// forwardFixture is one node with three scripted upstreams.
type forwardFixture struct {
	faker.KeyedLog
	faker.ForwardClient
	node *kernel.Node
}

const testKey = "team-key"

var testUpstreams = []string{"a", "b", "c"}

func publishedState(version int64, keys ...string) quetzalroad.PublishedState {
	team := quetzalroad.Team{Name: "team"}
	for _, k := range keys {
		team.KeyHashes = append(team.KeyHashes, quetzalroad.HashKey(k))
	}
	return quetzalroad.PublishedState{
		Version: version, Teams: []quetzalroad.Team{team}, Services: []quetzalroad.Service{{Name: "service", Kind: quetzalroad.ServiceKindPlain}},
	}
}

func runForwardTest(t *testing.T, f func(t *testing.T, x *forwardFixture)) {
	t.Helper()
	runForwardTestWithSettings(t, nil, f)
}

// runForwardTestWithSettings runs f on a node with the given settings sections.
func runForwardTestWithSettings(t *testing.T, sections map[string]string, f func(t *testing.T, x *forwardFixture), overrides ...kernel.Override) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := new(forwardFixture)
		overrides = append(overrides, kernel.Override{Slot: kernel.SlotKeyedLog, Component: &x.KeyedLog}, kernel.Override{Slot: kernel.SlotForwardClient, Component: &x.ForwardClient})
		node, err := faker.BuildForwardNode(slog.New(slog.DiscardHandler), sections, overrides...)
		if err != nil {
			t.Fatal(err)
		}
		x.node = node
		x.KeyedLog.Put(quetzalroad.LogStreamOperators, "config", publishedState(1, testKey))
		for i, id := range testUpstreams {
			x.KeyedLog.Put(quetzalroad.LogStreamUpstreams, id, upstreamRegistration(id, i, 1, false))
		}
		node.Start()
		defer func() {
			node.Kill()
			if err := node.Wait(); err != nil {
				t.Error(err)
			}
		}()
		time.Sleep(50 * time.Millisecond)
		f(t, x)
	})
}

func upstreamRegistration(id string, i int, sequence int64, draining bool) quetzalroad.UpstreamRegistration {
	return quetzalroad.UpstreamRegistration{Sequence: sequence, Upstream: quetzalroad.Upstream{
		Service: "service", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
		DataCentre: "west-1", InstanceID: id, MaxConcurrency: 8, Draining: draining,
	}}
}

// newForwardRequest returns a request of one kind: "safe" is idempotent, "once" is not, "stream" is a
// resumable stream and "chat" a stream that cannot be resumed.
func newForwardRequest(kind string) *quetzalroad.ForwardRequest {
	f := &quetzalroad.ForwardRequest{CallerRequestID: "caller-1", Method: http.MethodPost, RequestTarget: "/x/"}
	f.ID, f.Arrived = "caller-1", time.Now()
	f.Team = quetzalroad.Team{Name: "team"}
	f.Key, f.HasKey = quetzalroad.HashKey(testKey), true
	f.Route = quetzalroad.Route{
		Name: "route", MaxExecutions: 2, TrafficSplit: []quetzalroad.WeightedService{{Service: "service", Weight: 1}},
		Profile: quetzalroad.Profile{Name: "route", Class: "class", FirstTokenTarget: time.Second, Timeout: 5 * time.Second, Interactive: true},
	}
	switch kind {
	case "safe":
		f.Route.Profile.Idempotent = true
	case "stream":
		f.Route.Streaming, f.Route.Resumable, f.Route.Profile.Idempotent = true, true, true
	case "chat":
		f.Route.Streaming = true
	}
	f.Profile, f.Idempotent = f.Route.Profile, f.Route.Profile.Idempotent
	return f
}

func (x *forwardFixture) forward(ctx context.Context, f *quetzalroad.ForwardRequest) (*faker.ForwardSink, *quetzalroad.Refusal) {
	sink := new(faker.ForwardSink)
	err := x.node.Forwarder.Forward(ctx, f, sink)
	var refusal *quetzalroad.Refusal
	errors.As(err, &refusal)
	return sink, refusal
}

func connectionLostError(a *quetzalroad.Attempt) error {
	return &quetzalroad.AttemptError{Upstream: a.Upstream.Name, RetryReason: quetzalroad.RetryConnectionLost, Cause: errors.New("reset")}
}

func notRunError(a *quetzalroad.Attempt) error {
	return &quetzalroad.AttemptError{Upstream: a.Upstream.Name, NotRun: true, RetryReason: quetzalroad.RetryNotRun, Cause: errors.New("full")}
}

func eventChunks(from, to int64) []quetzalroad.BodyChunk {
	var chunks []quetzalroad.BodyChunk
	for id := from; id <= to; id++ {
		chunks = append(chunks, quetzalroad.BodyChunk{Data: []byte{byte('0' + id)}, EventID: id})
	}
	return chunks
}

func TestForwardRetriesPossiblyRunRequestOnlyIfIdempotent(t *testing.T) {
	for kind, want := range map[string]struct {
		sent    int
		outcome quetzalroad.Outcome
	}{
		"once":   {1, quetzalroad.OutcomeUnknown},
		"chat":   {1, quetzalroad.OutcomeUnknown},
		"safe":   {2, quetzalroad.OutcomeUnknown},
		"stream": {2, quetzalroad.OutcomeUnknown},
	} {
		t.Run(kind, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
					return nil, connectionLostError(a)
				}
				_, refusal := x.forward(t.Context(), newForwardRequest(kind))
				if refusal == nil || refusal.Outcome != want.outcome {
					t.Fatalf("refusal %v, want outcome %s", refusal, want.outcome)
				}
				if got := len(x.Sent()); got != want.sent {
					t.Errorf("sent %d times, want %d", got, want.sent)
				}
			})
		})
	}
}

func TestForwardRetriesNotRunRequestOnAnotherUpstream(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return nil, notRunError(a)
		}
		_, refusal := x.forward(t.Context(), newForwardRequest("once"))
		if refusal == nil || refusal.Outcome != quetzalroad.OutcomeNotRun {
			t.Fatalf("refusal %v, want not-run", refusal)
		}
		sent := x.Sent()
		if len(sent) < 2 {
			t.Fatalf("sent %d times, want a retry on another upstream", len(sent))
		}
		if sent[0].Upstream.Name == sent[1].Upstream.Name {
			t.Error("the retry went to the same upstream")
		}
	})
}

func TestForwardReturnsToAnUpstreamThatRefusedOnANewConnection(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		for _, id := range testUpstreams[1:] {
			x.KeyedLog.Put(quetzalroad.LogStreamUpstreams, id, nil)
		}
		time.Sleep(5 * time.Second)
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return nil, notRunError(a)
		}
		x.forward(t.Context(), newForwardRequest("once"))
		var got []bool
		for _, a := range x.Sent() {
			got = append(got, a.NewConnection)
		}
		if len(got) < 2 || got[0] || slices.Contains(got[1:], false) {
			t.Errorf("attempts on new connections: %v, want all but the first", got)
		}
	})
}

func TestForwardDoesNotRelayNotRunStatusWithoutConfirmation(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		runForwardTest(t, func(t *testing.T, x *forwardFixture) {
			x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
				return &faker.ScriptedResponse{Status: status}, nil
			}
			sink, refusal := x.forward(t.Context(), newForwardRequest("once"))
			if refusal == nil || refusal.Outcome != quetzalroad.OutcomeUnknown || len(sink.Heads) > 0 {
				t.Errorf("status %d: refusal %v, heads %v; want an unknown outcome and no response", status, refusal, sink.Heads)
			}
		})
	}
}

func TestForwardRelaysServerErrorOfLastAllowedAttempt(t *testing.T) {
	for kind, sent := range map[string]int{"once": 1, "safe": 2} {
		runForwardTest(t, func(t *testing.T, x *forwardFixture) {
			x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
				return &faker.ScriptedResponse{Status: http.StatusInternalServerError, Chunks: []quetzalroad.BodyChunk{{Data: []byte("why")}}}, nil
			}
			sink, refusal := x.forward(t.Context(), newForwardRequest(kind))
			if refusal != nil || len(sink.Heads) != 1 || sink.Heads[0].Status != http.StatusInternalServerError || string(sink.Body) != "why" {
				t.Errorf("%s: refusal %v, heads %v, body %q", kind, refusal, sink.Heads, sink.Body)
			}
			if got := len(x.Sent()); got != sent {
				t.Errorf("%s: sent %d times, want %d", kind, got, sent)
			}
		})
	}
}

func TestForwardRetriesTruncatedBodyBeforeSendingHead(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		firstAttempt := true
		x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			truncated := firstAttempt
			firstAttempt = false
			return &faker.ScriptedResponse{Chunks: []quetzalroad.BodyChunk{{Data: []byte("ans")}, {Data: []byte("wer")}}, Interrupted: truncated}, nil
		}
		sink, refusal := x.forward(t.Context(), newForwardRequest("safe"))
		if refusal != nil || string(sink.Body) != "answer" || len(sink.Heads) != 1 {
			t.Errorf("refusal %v, body %q, %d heads", refusal, sink.Body, len(sink.Heads))
		}
		if sink.Heads[0].ContentLength != int64(len("answer")) {
			t.Errorf("length %d", sink.Heads[0].ContentLength)
		}
	})
}

// A caller that takes up its stream again must not miss events, whichever upstream goes on.
// The connection of a process that is killed ends like that of one that has sent its whole response.
func TestForwardTakesNoUnframedResponseOfAnExitedUpstreamForWhole(t *testing.T) {
	for name, c := range map[string]struct {
		kind   string
		exited func(quetzalroad.Upstream) bool
		whole  bool
		sent   int
	}{
		"stream of an upstream that runs":    {"stream", nil, true, 1},
		"stream of one that exited":          {"stream", allExited, false, 2},
		"plain response of one that runs":    {"safe", nil, true, 1},
		"plain response of one that exited":  {"safe", allExited, false, 2},
		"booking at an upstream that exited": {"once", allExited, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				x.Exited = c.exited
				x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
					return &faker.ScriptedResponse{EventStream: c.kind == "stream", Chunks: eventChunks(a.ResumeAfter+1, a.ResumeAfter+2), Unframed: true}, nil
				}
				_, refusal := x.forward(t.Context(), newForwardRequest(c.kind))
				if (refusal == nil) != c.whole {
					t.Errorf("refusal %v", refusal)
				}
				if got := len(x.Sent()); got != c.sent && c.kind != "safe" {
					t.Errorf("sent %d times, want %d", got, c.sent)
				}
			})
		})
	}
}

func TestForwardChecksKeyAgainBeforeSending(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.KeyedLog.Put(quetzalroad.LogStreamOperators, "config", publishedState(2, "another-key"))
		time.Sleep(10 * time.Millisecond)
		_, refusal := x.forward(t.Context(), newForwardRequest("safe"))
		if refusal == nil || refusal.Reason != quetzalroad.ReasonUnauthorized || len(x.Sent()) != 0 {
			t.Errorf("refusal %v, sent %d times", refusal, len(x.Sent()))
		}
	})
}

// The last key may go while a request waits for a connection, or while its stream is resumed.
func TestForwardSendsNothingOnceTheLastKeyIsWithdrawn(t *testing.T) {
	for name, keyless := range map[string]bool{"no teams left": false, "teams are no longer stated": true} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
					state := publishedState(2)
					state.Teams, state.Keyless = nil, keyless
					x.KeyedLog.Put(quetzalroad.LogStreamOperators, "config", state)
					time.Sleep(time.Second)
					return &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(a.ResumeAfter+1, a.ResumeAfter+2), Interrupted: true}, nil
				}
				_, refusal := x.forward(t.Context(), newForwardRequest("stream"))
				if refusal == nil || refusal.Reason != quetzalroad.ReasonUnauthorized || len(x.Sent()) != 1 {
					t.Errorf("refusal %v, sent %d times, want once", refusal, len(x.Sent()))
				}
			})
		})
	}
}

func TestForwardRefusesKeyedRequestOnStaleState(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.SetUnavailable(true)
		time.Sleep(6 * time.Second)
		_, refusal := x.forward(t.Context(), newForwardRequest("once"))
		if refusal == nil || refusal.Reason != quetzalroad.ReasonStaleState || refusal.Outcome != quetzalroad.OutcomeNotRun || len(x.Sent()) != 0 {
			t.Errorf("refusal %v, sent %d times", refusal, len(x.Sent()))
		}
		f := newForwardRequest("once")
		f.HasKey = false
		if _, refusal := x.forward(t.Context(), f); refusal != nil {
			t.Errorf("a request without a key was refused: %v", refusal)
		}
	})
}

func TestForwardSendsNothingToDrainingUpstream(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		for i, id := range testUpstreams[:2] {
			x.KeyedLog.Put(quetzalroad.LogStreamUpstreams, id, upstreamRegistration(id, i, 2, true))
		}
		time.Sleep(2 * time.Second)
		for range 20 {
			if _, refusal := x.forward(t.Context(), newForwardRequest("safe")); refusal != nil {
				t.Fatal(refusal)
			}
		}
		for _, a := range x.Sent() {
			if a.Upstream.InstanceID != "c" {
				t.Fatalf("%s received a request after it started draining", a.Upstream.Name)
			}
		}
	})
}

func TestForwardRetriesStayWithinBudget(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return nil, connectionLostError(a)
		}
		const requests = 200
		for range requests {
			x.forward(t.Context(), newForwardRequest("safe"))
		}
		// The settings add 0.2 to the budget for each first attempt, with 2 at the start.
		if retries := len(x.Sent()) - requests; retries > requests/5+2 || retries < requests/6 {
			t.Errorf("%d retries of %d requests", retries, requests)
		}
	})
}

func TestForwardUnsentAttemptsSpendNoBudget(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			if a.Upstream.InstanceID == "c" {
				return &faker.ScriptedResponse{}, nil
			}
			return nil, &quetzalroad.AttemptError{Upstream: a.Upstream.Name, NotRun: true, Unsent: true, RetryReason: quetzalroad.RetryDialFailed, Cause: errors.New("no route to host")}
		}
		for i := range 50 {
			if _, refusal := x.forward(t.Context(), newForwardRequest("once")); refusal != nil {
				t.Fatalf("request %d: %v", i, refusal)
			}
		}
		// The whole budget is left for attempts that reach an upstream.
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return nil, connectionLostError(a)
		}
		before := len(x.Sent())
		x.forward(t.Context(), newForwardRequest("safe"))
		if got := len(x.Sent()) - before; got != 2 {
			t.Errorf("sent %d times, want one retry", got)
		}
	})
}

func TestForwardRelaysServerErrorWhenBudgetIsSpent(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return &faker.ScriptedResponse{Status: http.StatusInternalServerError, Chunks: []quetzalroad.BodyChunk{{Data: []byte("why")}}}, nil
		}
		for range 20 {
			sink, refusal := x.forward(t.Context(), newForwardRequest("safe"))
			if refusal != nil || len(sink.Heads) != 1 || string(sink.Body) != "why" {
				t.Fatalf("refusal %v, body %q after %d attempts", refusal, sink.Body, len(x.Sent()))
			}
		}
	})
}

func TestForwardCancelsOnDisconnectIfSafeOrStreaming(t *testing.T) {
	for kind, wantCancelled := range map[string]bool{"safe": true, "stream": true, "chat": true, "once": false} {
		t.Run(kind, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				cancelled := false
				x.Script = func(ctx context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
					select {
					case <-ctx.Done():
						cancelled = true
						return nil, connectionLostError(a)
					case <-time.After(3 * time.Second):
						return &faker.ScriptedResponse{}, nil
					}
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				x.forward(ctx, newForwardRequest(kind))
				if cancelled != wantCancelled {
					t.Errorf("attempt cancelled: %v, want %v", cancelled, wantCancelled)
				}
			})
		})
	}
}

func TestForwardSendsNothingAfterDisconnect(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		x.forward(ctx, newForwardRequest("once"))
		if got := len(x.Sent()); got != 0 {
			t.Errorf("sent %d times", got)
		}
	})
}

func TestForwardEndsAtRouteTimeout(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script = func(ctx context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			<-ctx.Done()
			return nil, connectionLostError(a)
		}
		start := time.Now()
		f := newForwardRequest("once")
		f.CallerDeadline = start.Add(time.Minute)
		_, refusal := x.forward(t.Context(), f)
		if refusal == nil || refusal.Reason != quetzalroad.ReasonTimeout || refusal.Outcome != quetzalroad.OutcomeUnknown {
			t.Errorf("refusal %v, want a timeout of unknown outcome", refusal)
		}
		if elapsed := time.Since(start); elapsed != f.Profile.Timeout {
			t.Errorf("refused after %v, want %v", elapsed, f.Profile.Timeout)
		}
	})
}

func TestForwardReleasesReservationOnEveryOutcome(t *testing.T) {
	runForwardTestWithSettings(t, map[string]string{"limiter": `{"plugin": "sharer"}`}, func(t *testing.T, x *forwardFixture) {
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			if len(x.Sent())%2 == 0 {
				return nil, connectionLostError(a)
			}
			return &faker.ScriptedResponse{}, nil
		}
		for i := range 10 {
			f := newForwardRequest("once")
			f.Team.MaxConcurrency = 1
			if _, refusal := x.forward(t.Context(), f); refusal != nil && refusal.Reason != quetzalroad.ReasonUpstreamResponseLost {
				t.Fatalf("request %d: %v", i, refusal)
			}
		}
	})
}

func TestForwardRecordsAttemptEndAndSuspectUpstream(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		for i, id := range testUpstreams[1:] {
			x.KeyedLog.Put(quetzalroad.LogStreamUpstreams, id, upstreamRegistration(id, i+1, 2, true))
		}
		time.Sleep(2 * time.Second)
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return nil, connectionLostError(a)
		}
		for range 3 {
			x.forward(t.Context(), newForwardRequest("once"))
		}
		name := x.Sent()[0].Upstream.Name
		if e := x.node.LoadTracker.Estimate(name, time.Now()); e.LocalRunning != 0 || !e.Suspect {
			t.Errorf("%+v after three failures", e)
		}
		time.Sleep(time.Minute)
		x.Script = nil
		x.forward(t.Context(), newForwardRequest("once"))
		if e := x.node.LoadTracker.Estimate(name, time.Now()); e.LocalRunning != 0 || e.Suspect {
			t.Errorf("%+v after a success", e)
		}
	})
}

// A full upstream works as it should: it must not be avoided like one that fails.
func TestForwardDoesNotSuspectUpstreamThatDeclines(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return nil, notRunError(a)
		}
		for range 10 {
			x.forward(t.Context(), newForwardRequest("once"))
		}
		for _, u := range x.node.Directory.Upstreams() {
			if x.node.LoadTracker.Estimate(u.Name, time.Now()).Suspect {
				t.Errorf("%s is suspect, although it only declined requests", u.Name)
			}
		}
	})
}

func TestForwardWithoutUpstreamIsNotRun(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		f := newForwardRequest("once")
		f.Route.TrafficSplit = []quetzalroad.WeightedService{{Service: "nowhere", Weight: 1}}
		if _, refusal := x.forward(t.Context(), f); refusal == nil || refusal.Outcome != quetzalroad.OutcomeNotRun {
			t.Errorf("refusal %v", refusal)
		}
	})
}
