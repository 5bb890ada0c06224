package dispatcher_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// meter records what the dispatcher counts.
type meter struct {
	quetzalroad.UsageMeter
	Runs                        map[quetzalroad.TeamName]int
	Begun, Ended, Late, Refused int
}

func (m *meter) CountRun(_ time.Time, team quetzalroad.TeamName)     { m.Runs[team]++ }
func (m *meter) BeginRequest(time.Time, quetzalroad.ServiceName)     { m.Begun++ }
func (m *meter) EndRequest(time.Time, quetzalroad.ServiceName)       { m.Ended++ }
func (m *meter) CountLate(time.Time, quetzalroad.ServiceName)        { m.Late++ }
func (m *meter) CountRefused(_ time.Time, _ quetzalroad.ServiceName) { m.Refused++ }
func (x *forwardFixture) attachMeter() *meter {
	m := &meter{Runs: make(map[quetzalroad.TeamName]int)}
	x.node.UsageMeter, x.node.DemandMeter = m, m
	return m
}

// A request that is counted twice, or not at all, is charged wrongly.
func TestForwardCountsRequestOnceThatAnUpstreamBeganToRun(t *testing.T) {
	whole := &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(1, 5)}
	for name, c := range map[string]struct {
		kind    string
		prepare func(f *quetzalroad.ForwardRequest)
		first   *faker.ScriptedResponse
		want    int
	}{
		"whole response":                 {kind: "once", first: &faker.ScriptedResponse{Chunks: []quetzalroad.BodyChunk{{Data: []byte("x")}}}, want: 1},
		"stream":                         {kind: "stream", first: whole, want: 1},
		"stream resumed elsewhere":       {kind: "stream", first: &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(1, 3), Interrupted: true}, want: 1},
		"stream that broke off":          {kind: "chat", first: &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(1, 3), Interrupted: true}, want: 1},
		"truncated response repeated":    {kind: "safe", first: &faker.ScriptedResponse{Chunks: []quetzalroad.BodyChunk{{Data: []byte("x")}}, Interrupted: true}, want: 1},
		"stream without events":          {kind: "chat", first: &faker.ScriptedResponse{EventStream: true}},
		"error of the upstream":          {kind: "once", first: &faker.ScriptedResponse{Status: http.StatusInternalServerError}, want: 1},
		"response lost":                  {kind: "once", want: 1},
		"status that denies a run":       {kind: "once", first: &faker.ScriptedResponse{Status: http.StatusServiceUnavailable}},
		"caller that has the beginning":  {kind: "stream", prepare: func(f *quetzalroad.ForwardRequest) { f.LastEventID = 2 }, first: &faker.ScriptedResponse{EventStream: true, Chunks: eventChunks(3, 5)}},
		"request that belongs to no one": {kind: "stream", prepare: func(f *quetzalroad.ForwardRequest) { f.Team, f.HasKey = quetzalroad.Team{}, false }, first: whole},
	} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				m := x.attachMeter()
				x.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
					if len(x.Sent()) == 1 && c.first == nil {
						return nil, connectionLostError(a)
					}
					if len(x.Sent()) == 1 {
						response := *c.first
						return &response, nil
					}
					return &faker.ScriptedResponse{EventStream: a.Request.Route.Streaming, Chunks: eventChunks(a.ResumeAfter+1, 5)}, nil
				}
				f := newForwardRequest(c.kind)
				if c.prepare != nil {
					c.prepare(f)
				}
				x.forward(t.Context(), f)
				if got := m.Runs["team"] + m.Runs[""]; got != c.want {
					t.Errorf("counted %d times, want %d", got, c.want)
				}
			})
		})
	}
}

// Orders for upstreams follow this demand: what is missing in it gets no upstream.
func TestForwardMeasuresDemand(t *testing.T) {
	for name, c := range map[string]struct {
		delay  time.Duration
		remove bool
		want   meter
	}{
		"in time":     {want: meter{Begun: 1, Ended: 1}},
		"late":        {delay: 2 * time.Second, want: meter{Begun: 1, Ended: 1, Late: 1}},
		"too late":    {delay: time.Minute, want: meter{Begun: 1, Ended: 1, Late: 1}},
		"no upstream": {remove: true, want: meter{Begun: 1, Ended: 1, Refused: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				m := x.attachMeter()
				if c.remove {
					for _, id := range testUpstreams {
						x.KeyedLog.Put(quetzalroad.LogStreamUpstreams, id, nil)
					}
					time.Sleep(5 * time.Second)
				}
				x.Script = func(ctx context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
					select {
					case <-time.After(c.delay):
						return &faker.ScriptedResponse{Chunks: []quetzalroad.BodyChunk{{Data: []byte("x")}}}, nil
					case <-ctx.Done():
						return nil, connectionLostError(a)
					}
				}
				x.forward(t.Context(), newForwardRequest("once"))
				got := *m
				got.Runs = nil
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}
