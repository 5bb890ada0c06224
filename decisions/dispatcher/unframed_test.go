package dispatcher_test

import (
	"bytes"
	"context"
	"slices"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// departures are the ways in which a node learns that an upstream leaves.
var departures = map[string]func(x *forwardFixture, u quetzalroad.Upstream){
	"registers as draining": func(x *forwardFixture, u quetzalroad.Upstream) {
		registration := upstreamRegistration(u.InstanceID, slices.Index(testUpstreams, u.InstanceID), 2, true)
		x.KeyedLog.Put(quetzalroad.LogStreamUpstreams, u.InstanceID, registration)
	},
	"announces its drain": func(x *forwardFixture, u quetzalroad.Upstream) {
		x.node.DrainMarker.MarkDraining(u.Name)
	},
	"is no longer registered": func(x *forwardFixture, u quetzalroad.Upstream) {
		x.KeyedLog.Put(quetzalroad.LogStreamUpstreams, u.InstanceID, nil)
	},
	"is not known to leave": func(*forwardFixture, quetzalroad.Upstream) {},
}

// noticeTime is the time for a node to read a registration.
const noticeTime = 2 * time.Second

// leaveDuringFirstResponse has the upstream of the first attempt leave while it sends an unframed response, and exit at
// its end if exits is set. Other responses are framed.
func (x *forwardFixture) leaveDuringFirstResponse(leave func(*forwardFixture, quetzalroad.Upstream), kind string, chunks []quetzalroad.BodyChunk, exits bool) {
	var first quetzalroad.UpstreamName
	x.Exited = func(u quetzalroad.Upstream) bool { return exits && u.Name == first }
	x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
		streaming := kind == "stream" || kind == "chat"
		if first != "" {
			return &faker.ScriptedResponse{EventStream: streaming, Chunks: eventChunks(a.ResumeAfter+1, 4)}, nil
		}
		first = a.Upstream.Name
		leave(x, a.Upstream)
		time.Sleep(noticeTime)
		return &faker.ScriptedResponse{EventStream: streaming, Chunks: chunks, Unframed: true}, nil
	}
}

// Guards against a part of an unframed response that reaches its caller as a whole one because its upstream, which was
// taken away in the middle of it, was known to leave.
func TestForwardTakesNoUnframedResponseOfAnUpstreamThatIsTakenAwayForWhole(t *testing.T) {
	large := []quetzalroad.BodyChunk{{Data: bytes.Repeat([]byte("x"), 300<<10)}}
	for departure, leave := range departures {
		for _, c := range []struct {
			name, kind string
			chunks     []quetzalroad.BodyChunk
			// body is what the caller gets as a whole response; empty if it gets none.
			body string
		}{
			{"stream that may be resumed", "stream", eventChunks(1, 2), "1234"},
			{"stream that may not", "chat", eventChunks(1, 2), ""},
			{"booking", "once", eventChunks(1, 2), ""},
			{"response that is too large to be buffered", "once", large, ""},
		} {
			t.Run(departure+", "+c.name, func(t *testing.T) {
				runForwardTest(t, func(t *testing.T, x *forwardFixture) {
					x.leaveDuringFirstResponse(leave, c.kind, c.chunks, true)
					sink, refusal := x.forward(t.Context(), newForwardRequest(c.kind))
					if c.body == "" && (refusal == nil || refusal.Outcome != quetzalroad.OutcomeUnknown) {
						t.Errorf("refusal %v after %d bytes, want one of unknown outcome", refusal, len(sink.Body))
					}
					if c.body != "" && (refusal != nil || string(sink.Body) != c.body) {
						t.Errorf("body %q, refusal %v, want the whole body %q", sink.Body, refusal, c.body)
					}
				})
			})
		}
	}
}

// Guards against a whole unframed response that becomes a failure because its upstream leaves, as it closes the
// connection and runs on.
func TestForwardTakesWholeUnframedResponseOfALeavingUpstreamForWhole(t *testing.T) {
	for departure, leave := range departures {
		for _, kind := range []string{"stream", "chat", "safe", "once"} {
			t.Run(departure+", "+kind, func(t *testing.T) {
				runForwardTest(t, func(t *testing.T, x *forwardFixture) {
					x.leaveDuringFirstResponse(leave, kind, eventChunks(1, 4), false)
					sink, refusal := x.forward(t.Context(), newForwardRequest(kind))
					if refusal != nil || string(sink.Body) != "1234" || len(x.Sent()) != 1 {
						t.Errorf("body %q, refusal %v, sent %d times", sink.Body, refusal, len(x.Sent()))
					}
				})
			})
		}
	}
}

// Guards against a safe request that isn't sent again although the part of its response that arrived was not relayed.
func TestForwardRetriesSafeRequestWhoseUpstreamIsTakenAway(t *testing.T) {
	for departure, leave := range departures {
		if departure == "is not known to leave" {
			// The request may have crashed it, and is not sent to another upstream.
			continue
		}
		t.Run(departure, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				x.leaveDuringFirstResponse(leave, "safe", eventChunks(1, 2), true)
				sink, refusal := x.forward(t.Context(), newForwardRequest("safe"))
				if refusal != nil || string(sink.Body) != "1234" || len(x.Sent()) != 2 {
					t.Errorf("body %q, refusal %v, sent %d times", sink.Body, refusal, len(x.Sent()))
				}
			})
		})
	}
}
