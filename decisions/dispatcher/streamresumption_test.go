package dispatcher_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

func TestForwardResumesStreamAfterLastEventAndSendsOneHead(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			if a.ResumeAfter == 0 {
				return &faker.ScriptedResponse{EventStream: true, Header: http.Header{"Run": {"1"}}, Chunks: eventChunks(1, 3), Interrupted: true}, nil
			}
			return &faker.ScriptedResponse{EventStream: true, Header: http.Header{"Run": {"2"}}, Chunks: eventChunks(a.ResumeAfter, 5)}, nil
		}
		sink, refusal := x.forward(t.Context(), newForwardRequest("stream"))
		if refusal != nil || string(sink.Body) != "12345" {
			t.Fatalf("refusal %v, body %q", refusal, sink.Body)
		}
		if len(sink.Heads) != 1 || sink.Heads[0].Header.Get("Run") != "1" {
			t.Errorf("heads %v, want the first one only", sink.Heads)
		}
		if sent := x.Sent(); len(sent) != 2 || sent[1].ResumeAfter != 3 {
			t.Errorf("sent %d times, the last after event %d; want 2 and 3", len(sent), sent[len(sent)-1].ResumeAfter)
		}
	})
}

func TestForwardReportsUnknownOutcomeWhenResumptionFails(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			if a.ResumeAfter == 0 {
				return &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(1, 2), Interrupted: true}, nil
			}
			return &faker.ScriptedResponse{Status: http.StatusInternalServerError, Chunks: []quetzalroad.BodyChunk{{Data: []byte("why")}}}, nil
		}
		sink, refusal := x.forward(t.Context(), newForwardRequest("stream"))
		if refusal == nil || refusal.Outcome != quetzalroad.OutcomeUnknown || string(sink.Body) != "12" {
			t.Errorf("refusal %v, body %q", refusal, sink.Body)
		}
	})
}

func TestErrorOfTheNextUpstreamIsNotPartOfTheStream(t *testing.T) {
	text := []quetzalroad.BodyChunk{{Data: []byte("data: overloaded\n\n")}}
	for name, second := range map[string]faker.ScriptedResponse{
		"error status":              {Status: http.StatusInternalServerError, Chunks: text},
		"not run, unconfirmed":      {Status: http.StatusServiceUnavailable, Chunks: text},
		"error status, as a stream": {Status: http.StatusNotFound, EventStream: true, Chunks: text},
		"no stream":                 {Chunks: text},
		"error as an event":         {EventStream: true, Chunks: text},
		"head inside the stream":    {EventStream: true, Chunks: []quetzalroad.BodyChunk{{Data: []byte("HTTP/1.1 500 Internal Server Error\r\n\r\n")}}},
		"error after an event":      {EventStream: true, Chunks: append(eventChunks(3, 3), text...)},
	} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
					if a.ResumeAfter == 0 {
						return &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(1, 2), Interrupted: true}, nil
					}
					response := second
					return &response, nil
				}
				sink, refusal := x.forward(t.Context(), newForwardRequest("stream"))
				if refusal == nil || refusal.Outcome != quetzalroad.OutcomeUnknown {
					t.Errorf("refusal %v, want an interrupted stream", refusal)
				}
				if body := string(sink.Body); body != "12" && body != "123" {
					t.Errorf("body %q", body)
				}
			})
		})
	}
}

func TestErrorInTheMiddleOfAStreamIsNotPartOfIt(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			chunks := append(eventChunks(a.ResumeAfter+1, 2), quetzalroad.BodyChunk{Data: []byte(": open\n\n"), IsComment: true}, quetzalroad.BodyChunk{Data: []byte("HTTP/1.1 500 Internal Server Error\r\n\r\n")})
			if a.ResumeAfter > 0 {
				chunks = eventChunks(a.ResumeAfter+1, 4)
			}
			return &faker.ScriptedResponse{EventStream: true, Chunks: chunks}, nil
		}
		sink, refusal := x.forward(t.Context(), newForwardRequest("stream"))
		if refusal != nil || string(sink.Body) != "12: open\n\n34" {
			t.Errorf("refusal %v, body %q", refusal, sink.Body)
		}
	})
}

func TestForwardRejectsStreamThatSkipsEvent(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return &faker.ScriptedResponse{EventStream: true, Chunks: append(eventChunks(1, 2), eventChunks(4, 5)...)}, nil
		}
		sink, refusal := x.forward(t.Context(), newForwardRequest("chat"))
		if refusal == nil || refusal.Outcome != quetzalroad.OutcomeUnknown || string(sink.Body) != "12" {
			t.Errorf("refusal %v, body %q", refusal, sink.Body)
		}
	})
}

func TestForwardDoesNotRetryStartedStreamThatIsNotResumable(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(1, 2), Interrupted: true}, nil
		}
		f := newForwardRequest("chat")
		f.Idempotent = true
		_, refusal := x.forward(t.Context(), f)
		if refusal == nil || refusal.Reason != quetzalroad.ReasonStreamInterrupted || len(x.Sent()) != 1 {
			t.Errorf("refusal %v after %d attempts", refusal, len(x.Sent()))
		}
	})
}

func TestForwardResumesAfterCallersLastEvent(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		f := newForwardRequest("stream")
		f.LastEventID = 7
		if _, refusal := x.forward(t.Context(), f); refusal != nil {
			t.Fatal(refusal)
		}
		if got := x.Sent()[0].ResumeAfter; got != 7 {
			t.Errorf("asked for events after %d, want 7", got)
		}
	})
}

func TestForwardRejectsGapAfterCallersLastEvent(t *testing.T) {
	runForwardTest(t, func(t *testing.T, x *forwardFixture) {
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			if len(x.Sent()) == 1 {
				return &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(a.ResumeAfter+3, a.ResumeAfter+5)}, nil
			}
			return &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(a.ResumeAfter+1, a.ResumeAfter+5)}, nil
		}
		f := newForwardRequest("stream")
		f.LastEventID = 12
		sink, refusal := x.forward(t.Context(), f)
		if refusal != nil {
			t.Fatal(refusal)
		}
		if len(x.Sent()) != 2 || x.Sent()[1].ResumeAfter != 12 {
			t.Errorf("sent %d times, want another attempt after event 12", len(x.Sent()))
		}
		want := new(faker.ForwardSink)
		for _, c := range eventChunks(13, 17) {
			want.Body = append(want.Body, c.Data...)
		}
		if diff := cmp.Diff(string(want.Body), string(sink.Body)); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}
