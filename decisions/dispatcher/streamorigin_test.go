package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// origins is a tracker that knows where a few streams began.
type origins struct {
	known map[quetzalroad.RequestID]quetzalroad.StreamOrigin
	// err is returned for the others.
	err error
	// notOpen is a version at which no stream may begin.
	notOpen quetzalroad.SoftwareVersion
	// begun and ended hold what was recorded; the value of ended is whether the stream was complete.
	begun map[quetzalroad.RequestID]quetzalroad.StreamOrigin
	ended map[quetzalroad.RequestID]bool
}

func (*origins) Declare(*configloader.Section) {}

func (o *origins) Build(n *kernel.Node) error {
	o.begun, o.ended = make(map[quetzalroad.RequestID]quetzalroad.StreamOrigin), make(map[quetzalroad.RequestID]bool)
	n.StreamTracker = o
	return nil
}

func (o *origins) RecordBegun(_ time.Time, id quetzalroad.RequestID, origin quetzalroad.StreamOrigin) {
	o.begun[id] = origin
}

func (o *origins) RecordEnd(_ time.Time, id quetzalroad.RequestID, complete bool) {
	o.ended[id] = complete
}

func (o *origins) Origin(_ context.Context, id quetzalroad.RequestID, _ quetzalroad.ServiceName) (quetzalroad.StreamOrigin, error) {
	if origin, ok := o.known[id]; ok {
		return origin, nil
	}
	return quetzalroad.StreamOrigin{}, o.err
}

// MayBegin implements quetzalroad.StreamTracker.
func (o *origins) MayBegin(origin quetzalroad.StreamOrigin) bool { return origin.Version != o.notOpen }

func (*origins) IsReplaced(quetzalroad.UpstreamName) bool { return false }

func (*origins) Report(context.Context, quetzalroad.OriginQuestion) quetzalroad.OriginReport {
	return quetzalroad.OriginReport{}
}

// runVersionTest runs f on a node before upstreams "a" and "b" of version 1 and "c" of version 2.
func runVersionTest(t *testing.T, o *origins, f func(t *testing.T, x *forwardFixture)) {
	t.Helper()
	runForwardTestWithSettings(t, nil, func(t *testing.T, x *forwardFixture) {
		for i, id := range testUpstreams {
			registration := upstreamRegistration(id, i, 2, false)
			registration.Upstream.Version = "1"
			if id == "c" {
				registration.Upstream.Version = "2"
			}
			x.KeyedLog.Put(quetzalroad.LogStreamUpstreams, id, registration)
		}
		time.Sleep(3 * time.Second)
		f(t, x)
	}, kernel.Override{Slot: kernel.SlotStreamTracker, Component: o})
}

// versionsSent returns the software versions that attempts were sent to.
func (x *forwardFixture) versionsSent() []quetzalroad.SoftwareVersion {
	var versions []quetzalroad.SoftwareVersion
	for _, a := range x.Sent() {
		versions = append(versions, a.Upstream.Version)
	}
	return versions
}

// Guards against a stream with events of two software versions in one response.
func TestForwardResumesStreamAtTheVersionThatBeganIt(t *testing.T) {
	o := new(origins)
	runVersionTest(t, o, func(t *testing.T, x *forwardFixture) {
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(a.ResumeAfter+1, a.ResumeAfter+2), Interrupted: a.ResumeAfter < 2}, nil
		}
		for range 30 {
			before := len(x.Sent())
			if _, refusal := x.forward(t.Context(), newForwardRequest("stream")); refusal != nil && refusal.Reason != quetzalroad.ReasonUpstreamFailed {
				t.Fatal(refusal)
			}
			for _, v := range x.versionsSent()[before:] {
				if first := x.versionsSent()[before]; v != first {
					t.Fatalf("the stream began at version %s and went on at version %s", first, v)
				}
			}
			time.Sleep(10 * time.Second)
		}
		if len(o.begun) != 1 || len(o.ended) != 1 {
			t.Errorf("recorded begins %v and ends %v, want the stream in both", o.begun, o.ended)
		}
	})
}

// Guards against a caller's stream that goes on at another software version than the one that began it.
func TestForwardResumesCallersStreamAtTheVersionThatBeganIt(t *testing.T) {
	o := &origins{known: map[quetzalroad.RequestID]quetzalroad.StreamOrigin{"first": {Service: "service", Version: "2"}}}
	runVersionTest(t, o, func(t *testing.T, x *forwardFixture) {
		x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(a.ResumeAfter+1, a.ResumeAfter+2)}, nil
		}
		for range 20 {
			f := newForwardRequest("stream")
			f.LastEventID, f.ResumedRequestID = 3, "first"
			if _, refusal := x.forward(t.Context(), f); refusal != nil {
				t.Fatal(refusal)
			}
		}
		for _, v := range x.versionsSent() {
			if v != "2" {
				t.Errorf("sent to version %s", v)
			}
		}
		if diff := cmp.Diff(map[quetzalroad.RequestID]bool{"first": true}, o.ended); diff != "" {
			t.Errorf("recorded ends (-want +got):\n%s", diff)
		}
	})
}

// Guards against a stream that is resumed at any version because its own has no upstream, or is unknown.
func TestForwardRefusesStreamsThatNoUpstreamMayGoOnWith(t *testing.T) {
	errUnreadable := errors.New("the log can't be read")
	for _, c := range []struct {
		origins origins
		reason  quetzalroad.RefusalReason
		retry   bool
	}{
		{origins{known: map[quetzalroad.RequestID]quetzalroad.StreamOrigin{"first": {Service: "service", Version: "0"}}}, quetzalroad.ReasonNoUpstreamOfVersion, true},
		{origins{err: quetzalroad.ErrOriginUnknown}, quetzalroad.ReasonStreamOriginUnknown, false},
		{origins{err: errUnreadable}, quetzalroad.ReasonStreamOriginUnknown, true},
	} {
		runVersionTest(t, &c.origins, func(t *testing.T, x *forwardFixture) {
			f := newForwardRequest("stream")
			f.LastEventID, f.ResumedRequestID = 3, "first"
			_, refusal := x.forward(t.Context(), f)
			if refusal == nil || refusal.Reason != c.reason || refusal.Outcome != quetzalroad.OutcomeNotRun || (refusal.RetryAfter > 0) != c.retry || len(x.Sent()) > 0 {
				t.Errorf("refusal %+v, sent %d times", refusal, len(x.Sent()))
			}
		})
	}
}

// Guards against streams of a version that no other node knows to be open yet, so that they count as streams of
// another one.
func TestForwardBeginsNoStreamAtAVersionThatIsNotOpen(t *testing.T) {
	o := &origins{notOpen: "2"}
	runVersionTest(t, o, func(t *testing.T, x *forwardFixture) {
		x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
			return &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(1, 2)}, nil
		}
		for range 30 {
			if _, refusal := x.forward(t.Context(), newForwardRequest("stream")); refusal != nil {
				t.Fatal(refusal)
			}
			time.Sleep(time.Second)
		}
		for _, v := range x.versionsSent() {
			if v == o.notOpen {
				t.Fatal("a stream begins at a version that is not open")
			}
		}
		o.notOpen = "1"
		x.KeyedLog.Put(quetzalroad.LogStreamUpstreams, "c", nil)
		time.Sleep(3 * time.Second)
		_, refusal := x.forward(t.Context(), newForwardRequest("stream"))
		if refusal == nil || refusal.Reason != quetzalroad.ReasonVersionNotOpen || refusal.Outcome != quetzalroad.OutcomeNotRun || refusal.RetryAfter <= 0 {
			t.Errorf("refusal %+v, want one that tells to come back", refusal)
		}
		plain := newForwardRequest("plain")
		if _, refusal := x.forward(t.Context(), plain); refusal != nil {
			t.Errorf("a request that begins no stream is refused: %v", refusal)
		}
	})
}
