package throttler

import (
	"expvar"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// fleet is a fixed list of nodes.
type fleet []quetzalroad.NodeName

func (f fleet) Nodes() []quetzalroad.NodeName { return f }

func (f fleet) RankedNodes() []quetzalroad.NodeName { return f }
func (fleet) PeerAddresses() []netip.AddrPort       { return nil }

func newFleet(t *testing.T, count int) []*Throttler {
	t.Helper()
	var names fleet
	for i := range count {
		names = append(names, quetzalroad.NodeName(fmt.Sprintf("node-%d", i)))
	}
	var throttlers []*Throttler
	for _, name := range names {
		throttler := new(Throttler)
		throttler.Declare(new(configloader.Section))
		n := &kernel.Node{Logger: slog.New(slog.DiscardHandler), Vars: new(expvar.Map), Fleet: names}
		n.Name = name
		if err := throttler.Build(n); err != nil {
			t.Fatal(err)
		}
		throttlers = append(throttlers, throttler)
	}
	return throttlers
}

func limitOf(perSecond float64) quetzalroad.RateLimit {
	return quetzalroad.RateLimit{PerSecond: perSecond, IsSet: true}
}

func (t *Throttler) acquire(u quetzalroad.UpstreamName) bool {
	return t.Acquire(time.Now(), "service", 0, u)
}

// Every node always has a request for the upstream.
func TestNodesTogetherUseTheLimitAndKeepIt(t *testing.T) {
	const (
		span      = 200 * time.Second
		window    = 4 * time.Second
		step      = 50 * time.Millisecond
		overshoot = 1.5
		slack     = 5
		leastUse  = 0.9
	)
	for _, nodes := range []int{1, 7, 80, 200} {
		for _, perSecond := range []float64{0, 0.3, 2, 7.5, 100} {
			t.Run(fmt.Sprintf("%d nodes, %v a second", nodes, perSecond), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					throttlers := newFleet(t, nodes)
					for _, throttler := range throttlers {
						throttler.UpdateLimit(time.Now(), "u", limitOf(perSecond))
					}
					var sent []time.Time
					first := 0
					for range span / step {
						time.Sleep(step)
						for _, throttler := range throttlers {
							for throttler.acquire("u") {
								sent = append(sent, time.Now())
							}
						}
						for first < len(sent) && time.Since(sent[first]) > window {
							first++
						}
						if got, most := float64(len(sent)-first), overshoot*window.Seconds()*perSecond+slack; got > most {
							t.Fatalf("%v requests in %s, want at most %v", got, window, most)
						}
					}
					if got := float64(len(sent)) / span.Seconds(); got < leastUse*perSecond {
						t.Errorf("%v requests a second were sent, want about %v", got, perSecond)
					}
				})
			})
		}
	}
}

func TestUpstreamWithoutLimitIsNotThrottled(t *testing.T) {
	throttler := newFleet(t, 7)[0]
	throttler.UpdateLimit(time.Now(), "u", limitOf(0))
	for range 100 {
		if !throttler.acquire("other") {
			t.Fatal("a request to an upstream without a limit is refused")
		}
	}
	throttler.UpdateLimit(time.Now(), "u", quetzalroad.RateLimit{})
	for range 100 {
		if !throttler.acquire("u") {
			t.Fatal("a request is refused after the limit ended")
		}
	}
	if throttler.HasLimits() {
		t.Error("the limit that ended is still counted")
	}
}

func TestLaterStatementCounts(t *testing.T) {
	now := time.Now()
	a := newFleet(t, 1)[0]
	a.UpdateLimit(now, "u", limitOf(5))
	a.UpdatePeerLimits(now, []quetzalroad.UpstreamLimit{{Upstream: "u", Age: time.Second}})
	if !a.HasLimits() {
		t.Error("what a peer was told earlier replaces what this node was told")
	}
	a.UpdatePeerLimits(now.Add(2*time.Second), []quetzalroad.UpstreamLimit{{Upstream: "u", Age: time.Second}})
	if a.HasLimits() {
		t.Error("what a peer was told later is ignored")
	}
	want := []quetzalroad.UpstreamLimit{{Upstream: "u", Age: 2 * time.Second}}
	if diff := cmp.Diff(want, a.LocalLimits(now.Add(3*time.Second))); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if got := a.LocalLimits(now.Add(time.Minute)); len(got) > 0 {
		t.Errorf("old statements are passed on: %v", got)
	}
}

func TestUrgentRequestsGetTheLimitFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttler := newFleet(t, 1)[0]
		throttler.UpdateLimit(time.Now(), "u", limitOf(2))
		candidates := []quetzalroad.Upstream{{Name: "u"}}
		served := make(map[quetzalroad.Tier]int)
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			for _, tier := range []quetzalroad.Tier{3, 0} {
				if throttler.Acquire(time.Now(), "service", tier, "u") {
					served[tier]++
				} else {
					throttler.RetryAfter(time.Now(), "service", tier, candidates)
				}
			}
		}
		if served[0] < 9*served[3] {
			t.Errorf("%d urgent and %d other requests were sent", served[0], served[3])
		}
	})
}

func TestRetryAfterSpreadsRefusedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttler := newFleet(t, 1)[0]
		throttler.UpdateLimit(time.Now(), "u", limitOf(4))
		for throttler.acquire("u") {
		}
		var last time.Duration
		for i := range 20 {
			got := throttler.RetryAfter(time.Now(), "service", 0, []quetzalroad.Upstream{{Name: "u"}})
			if got <= 0 || got > maxRetryAfter {
				t.Fatalf("refusal %d: retry after %s", i, got)
			}
			last = got
		}
		if last < 4*time.Second {
			t.Errorf("the 20th refused request is to come back after %s, at four requests a second", last)
		}
	})
}

func TestForgottenUpstreamsTakeNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttler := newFleet(t, 1)[0]
		for i := range 10000 {
			throttler.UpdateLimit(time.Now(), quetzalroad.UpstreamName(fmt.Sprint(i)), limitOf(1))
			time.Sleep(time.Second)
		}
		const mostKept = 2 * int(maxStateAge/time.Second)
		if kept := throttler.limited.Load(); kept > int64(mostKept) {
			t.Errorf("%d upstreams are kept, want at most %d", kept, mostKept)
		}
	})
}
