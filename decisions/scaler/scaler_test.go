package scaler

import (
	"context"
	"expvar"
	"log/slog"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/decisions/scaler/planner"
	"github.com/quetzalroad/quetzalroad/kernel"
)

const bootTime = 4 * time.Second

// platform fakes the lease, the activity exchange, the published state, the load estimates and the control API. Its
// methods run in one goroutine at a time.
type platform struct {
	quetzalroad.Directory
	quetzalroad.LoadTracker
	quetzalroad.ActivityExchange
	saved      []byte
	lostBefore time.Time
	saveErr    error
	checkErr   error
	// silentFrom is when the publication of new activity stops; zero for never.
	silentFrom time.Time
	writtenAt  time.Time
	inFlight   int
	// respond is the response to an order; nil accepts it.
	respond     func(ctx context.Context, o quetzalroad.UpstreamOrder) error
	calls       []call
	unconfirmed int
	present     map[planner.Group]int
	booting     []call
}

type call struct {
	quetzalroad.UpstreamOrder
	at      time.Time
	present int
	err     error
}

func newPlatform() *platform {
	p := &platform{present: make(map[planner.Group]int), inFlight: 100}
	for _, d := range []quetzalroad.DataCentre{"a", "b", "c"} {
		p.present[planner.Group{DataCentre: d}] = 10
	}
	return p
}

func (*platform) Token() quetzalroad.FencingToken             { return 7 }
func (p *platform) State(quetzalroad.DutyName) []byte         { return p.saved }
func (p *platform) LostBefore() time.Time                     { return p.lostBefore }
func (p *platform) Check(time.Duration) error                 { return p.checkErr }
func (p *platform) Unconfirmed()                              { p.unconfirmed++ }
func (*platform) AddDuty(quetzalroad.Duty)                    {}
func (*platform) Holder() (h quetzalroad.LeaseHolder, _ bool) { return h, false }

func (p *platform) Save(_ context.Context, _ quetzalroad.DutyName, state []byte) error {
	if p.saveErr == nil {
		p.saved = state
	}
	return p.saveErr
}

func (p *platform) Refresh(context.Context) ([]quetzalroad.ActivityReport, error) {
	if p.silentFrom.IsZero() || time.Now().Before(p.silentFrom) {
		p.writtenAt = time.Now()
	}
	demand := []quetzalroad.ServiceActivity{{Service: "s", Requests: 100, InFlight: p.inFlight}}
	return []quetzalroad.ActivityReport{{Node: "n", WrittenAt: p.writtenAt, Demand: demand}}, nil
}

func (*platform) Services() []quetzalroad.Service {
	return []quetzalroad.Service{{Name: "unscaled"}, {Name: "s", Scaling: &quetzalroad.Scaling{
		Minimum: 1, Maximum: 30, BootTime: bootTime, SpotPrice: 0.2,
		Prices: []quetzalroad.DataCentrePrice{{DataCentre: "a", Price: 1}, {DataCentre: "b", Price: 1}, {DataCentre: "c", Price: 1}},
	}}}
}

func (p *platform) UpstreamsOf(quetzalroad.ServiceName) []quetzalroad.Upstream {
	for len(p.booting) > 0 && time.Since(p.booting[0].at) >= bootTime {
		g := planner.Group{DataCentre: p.booting[0].DataCentre, Spot: p.booting[0].Spot}
		p.present[g] = max(p.present[g], p.booting[0].Count)
		p.booting = p.booting[1:]
	}
	var upstreams []quetzalroad.Upstream
	for g, count := range p.present {
		for i := range count {
			name := quetzalroad.UpstreamName(string(g.DataCentre) + strconv.FormatBool(g.Spot) + strconv.Itoa(i))
			upstreams = append(upstreams, quetzalroad.Upstream{Name: name, DataCentre: g.DataCentre, Spot: g.Spot, MaxConcurrency: 16})
		}
	}
	return upstreams
}

func (*platform) Estimate(quetzalroad.UpstreamName, time.Time) (e quetzalroad.LoadEstimate) { return e }

func (*platform) ReportUsage(context.Context, quetzalroad.Fence, quetzalroad.UsageReport, func() error) error {
	return nil
}

func (p *platform) OrderUpstreams(ctx context.Context, _ quetzalroad.Fence, o quetzalroad.UpstreamOrder, check func() error) error {
	if err := check(); err != nil {
		return err
	}
	g := planner.Group{DataCentre: o.DataCentre, Spot: o.Spot}
	c := call{UpstreamOrder: o, at: time.Now(), present: p.present[g]}
	if p.respond != nil {
		c.err = p.respond(ctx, o)
	}
	p.calls = append(p.calls, c)
	if c.err != nil {
		return c.err
	}
	if o.Count <= p.present[g] {
		p.present[g] = o.Count
		return nil
	}
	p.booting = append(p.booting, c)
	return nil
}

func (p *platform) scaler(t *testing.T) *Scaler {
	t.Helper()
	s := &Scaler{
		policy: planner.DefaultPolicy(), interval: time.Second, orderInterval: 200 * time.Millisecond, callTimeout: 700 * time.Millisecond,
		unavailableFor: 10 * time.Second, demandLifetime: 5 * time.Second, backoff: 500 * time.Millisecond, maxBackoff: 5 * time.Second,
	}
	n := &kernel.Node{
		Identity: kernel.Identity{Name: "n"}, Logger: slog.New(slog.DiscardHandler), Vars: new(expvar.Map),
		Leaser: p, PlatformClient: p, Activity: p, Directory: p, LoadTracker: p,
	}
	if err := s.Build(n); err != nil {
		t.Fatal(err)
	}
	return s
}

// perform runs the duty for a time.
func (p *platform) perform(t *testing.T, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	p.scaler(t).Perform(ctx, p)
}

func (p *platform) count(match func(c call) bool) int {
	count := 0
	for _, c := range p.calls {
		if match(c) {
			count++
		}
	}
	return count
}

func reduces(c call) bool { return c.err == nil && c.Count < c.present }

func noSpot(_ context.Context, o quetzalroad.UpstreamOrder) error {
	if o.Spot {
		return quetzalroad.ErrUnavailable
	}
	return nil
}

func noSpotInA(ctx context.Context, o quetzalroad.UpstreamOrder) error {
	if o.DataCentre == "a" {
		return noSpot(ctx, o)
	}
	return nil
}

const settled = time.Minute

var errDown = errors.New("unreachable")

// Each case guards against upstreams that are lost, or ordered in vain, because of one failure.
func TestFailures(t *testing.T) {
	spotA := planner.Group{DataCentre: "a", Spot: true}
	for name, run := range map[string]func(t *testing.T, p *platform){
		"no trouble": func(t *testing.T, p *platform) {
			p.perform(t, settled)
			if p.count(reduces) == 0 || p.present[spotA] == 0 {
				t.Errorf("%+v present after a minute", p.present)
			}
		},
		"unavailable in one data centre": func(t *testing.T, p *platform) {
			p.respond = noSpotInA
			p.perform(t, settled)
			refused := p.count(func(c call) bool { return c.err != nil })
			if refused > 5 || p.unconfirmed > 0 || p.present[planner.Group{DataCentre: "b", Spot: true}] == 0 {
				t.Errorf("%d refused orders, %d unconfirmed, %v present", refused, p.unconfirmed, p.present)
			}
		},
		"no spot upstreams anywhere": func(t *testing.T, p *platform) {
			p.respond = noSpot
			p.perform(t, settled)
			if n := len(p.UpstreamsOf("s")); n != 20 {
				t.Errorf("%d upstreams, want the 20 that the load calls for", n)
			}
		},
		"control API down, then back": func(t *testing.T, p *platform) {
			p.respond = func(context.Context, quetzalroad.UpstreamOrder) error { return errDown }
			p.perform(t, settled)
			if n := len(p.calls); n == 0 || n > 30 || p.unconfirmed != n {
				t.Errorf("%d calls in a minute, %d unconfirmed", n, p.unconfirmed)
			}
			p.respond = nil
			p.perform(t, settled)
			if p.count(reduces) == 0 {
				t.Errorf("no upstreams given up after the return: %v", p.present)
			}
		},
		"control API down between two reductions": func(t *testing.T, p *platform) {
			begin := time.Now()
			const down, back = 16 * time.Second, 50 * time.Second
			p.respond = func(context.Context, quetzalroad.UpstreamOrder) error {
				if at := time.Since(begin); at >= down && at < back {
					return errDown
				}
				return nil
			}
			p.perform(t, settled)
			left := len(p.UpstreamsOf("s"))
			// given counts the upstreams given up in a span of time.
			given := func(from, to time.Duration) (sum int) {
				for _, c := range p.calls {
					if at := c.at.Sub(begin); reduces(c) && at >= from && at < to {
						sum += c.present - c.Count
					}
				}
				return sum
			}
			all := given(back, settled)
			for _, c := range p.calls {
				from := c.at.Sub(begin)
				if n := given(from, from+4*time.Second); from >= back && (all == 0 || n > (left+all)/5) {
					t.Errorf("%d of %d upstreams given up in 4 s from %s on", n, left+all, from)
				}
			}
		},
		"control API slow": func(t *testing.T, p *platform) {
			p.respond = func(ctx context.Context, _ quetzalroad.UpstreamOrder) error { <-ctx.Done(); return ctx.Err() }
			p.perform(t, settled)
			if n := len(p.calls); n == 0 || n > 30 {
				t.Errorf("%d calls in a minute", n)
			}
		},
		"holder dies between two orders": func(t *testing.T, p *platform) {
			ctx, cancel := context.WithCancel(t.Context())
			p.respond = func(context.Context, quetzalroad.UpstreamOrder) error { cancel(); return nil }
			p.scaler(t).Perform(ctx, p)
			first := len(p.calls)
			p.respond = nil
			p.perform(t, 2*time.Second)
			if last := p.calls[len(p.calls)-1]; first != 1 || len(p.calls) < 3 || !last.Spot || last.Count == 0 {
				t.Errorf("%d calls by the first holder, then %+v", first, p.calls[first:])
			}
		},
		"stale demand": func(t *testing.T, p *platform) {
			p.silentFrom = time.Now().Add(8 * time.Second)
			outOfDate := p.silentFrom.Add(5 * time.Second)
			p.perform(t, settled)
			if n := p.count(func(c call) bool { return reduces(c) && !c.at.Before(outOfDate) }); n > 0 || len(p.calls) == 0 {
				t.Errorf("%d of %d orders gave up upstreams after the demand was out of date", n, len(p.calls))
			}
		},
		"reclaim of a data centre": func(t *testing.T, p *platform) {
			p.perform(t, settled)
			before := p.present[spotA]
			p.present[spotA] = 0
			p.respond = noSpotInA
			sum := len(p.UpstreamsOf("s"))
			p.perform(t, 20*time.Second)
			if now := len(p.UpstreamsOf("s")); now < sum+before*9/10 {
				t.Errorf("%d upstreams, %d after the reclaim of %d", now, sum, before)
			}
		},
		"lease ended": func(t *testing.T, p *platform) {
			p.checkErr = quetzalroad.ErrLeaseEnded
			p.perform(t, settled)
			if len(p.calls) > 0 || p.unconfirmed > 0 {
				t.Errorf("%d calls, %d unconfirmed", len(p.calls), p.unconfirmed)
			}
		},
		"orders can't be saved": func(t *testing.T, p *platform) {
			p.saveErr = errDown
			p.perform(t, settled)
			if len(p.calls) > 0 {
				t.Errorf("%d unsaved orders", len(p.calls))
			}
		},
		"restored log with older orders": func(t *testing.T, p *platform) {
			p.saved = []byte(`{"orders":[{"service":"s","data-centre":"a","count":1,"confirmed":true}]}`)
			p.lostBefore, p.inFlight = time.Now(), 200
			p.respond = noSpot
			p.perform(t, p.scaler(t).policy.SettleTime-time.Second)
			if n := p.count(reduces); n > 0 {
				t.Errorf("%d orders gave up upstreams", n)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, newPlatform()) })
		})
	}
}

// Without these slots the duty would fail only once an order is due.
func TestScalerRequiresItsSlots(t *testing.T) {
	if err := new(Scaler).Build(&kernel.Node{Vars: new(expvar.Map)}); err == nil {
		t.Error("built without leases, platform commands and activity")
	}
}
