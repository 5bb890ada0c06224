package placer

import (
	"testing"
	"time"
)

// The size of the fleet: nodes that see a few requests a second each.
const (
	dataCentres          = 6
	nodesPerDataCentre   = 32
	enginesPerDataCentre = 13
	seed                 = 1
)

const (
	// calm is how long a pattern lasts before and after its trouble.
	calm = 8 * time.Second
	// trouble is how long the trouble lasts.
	trouble = 8 * time.Second
)

func inTrouble(at time.Duration) bool { return at >= calm && at < calm+trouble }

// target is the share of each class that must be in time during the trouble.
type target struct{ chat, draft float64 }

var (
	// servable is the target for patterns that the engines can carry.
	servable = target{chat: 0.9, draft: 0.9}
	// impaired is the target while part of the engines fails or every cache is cold.
	impaired = target{chat: 0.8, draft: 0.8}
)

// constantRate sends a multiple of the usual rate.
func constantRate(factor float64) func(*class, int, time.Duration) float64 {
	return func(*class, int, time.Duration) float64 { return factor }
}

// burstOf multiplies the rate of a class during the trouble.
func burstOf(c *class, usual, factor float64) func(*class, int, time.Duration) float64 {
	return func(other *class, _ int, at time.Duration) float64 {
		if other == c && inTrouble(at) {
			return usual * factor
		}
		return usual
	}
}

var patterns = map[string]struct {
	pattern
	target target
}{
	"usual load":                        {pattern{rate: constantRate(1)}, servable},
	"half as much again":                {pattern{rate: constantRate(1.5)}, servable},
	"burst of one class, short prompts": {pattern{rate: burstOf(chat, 1.2, 2)}, servable},
	"burst of one class, long prompts":  {pattern{rate: burstOf(draft, 1.2, 2)}, servable},
	"burst on a burst while callers move to another data centre": {pattern{rate: func(c *class, d int, at time.Duration) float64 {
		factor := 1.0
		switch {
		case !inTrouble(at):
			return factor
		case c == chat && at > calm+trouble/2, c == draft:
			factor = 1.6
		}
		switch d {
		case 0:
			return 0
		case 1:
			return 2 * factor
		}
		return factor
	}}, impaired},
	"one prefix in two fifths of the long prompts": {pattern{rate: constantRate(1.2), hotShare: func(c *class, at time.Duration) float64 {
		if c == draft && inTrouble(at) {
			return 0.4
		}
		return 0
	}}, impaired},
	"engines slower by half in one data centre": {pattern{rate: constantRate(1.2), changes: map[time.Duration]func(*fleet){calm: func(f *fleet) {
		for _, e := range f.engines {
			if e.DataCentre == dataCentreName(0) {
				e.speed = 2
			}
		}
	}}}, impaired},
	"a crash of a fifth at the crest": {pattern{rate: burstOf(chat, 1.2, 1.8), changes: map[time.Duration]func(*fleet){
		calm + trouble/4: func(f *fleet) { f.crash(0.2, 3*time.Second) },
	}}, impaired},
}

// play runs a pattern with the settings of one balancer.
func play(t *testing.T, p pattern, balancer string) *fleet {
	t.Helper()
	p.dataCentres, p.nodesPerDataCentre, p.enginesPerDataCentre = dataCentres, nodesPerDataCentre, enginesPerDataCentre
	p.duration = 2*calm + trouble
	f := newFleet(t, p, seed, map[string]string{"balancer": balancer})
	f.run()
	return f
}

const (
	// routerBalancer is that of the deployments.
	routerBalancer = `{"plugin": "separator", "request-cost": 350, "seed": ` + seedOfNode + `}`
	// weighingBalancer weighs room, pace and memory of the owners of prefixes.
	weighingBalancer = `{"plugin": "separator", "request-cost": 350, "hold-weight": 1, "seed": ` + seedOfNode + `}`
)

// The router holds the targets of each load pattern. Beside its outcome stands, with -v, that of round robin, and
// how much of their time the engines need at least: below one, a clairvoyant could serve all in time.
func TestTargetsHoldUnderLoadPatterns(t *testing.T) {
	for name, p := range patterns {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			router := play(t, p.pattern, routerBalancer)
			t.Logf("engines' time needed: %.2f", router.neededShare(calm, calm+trouble))
			t.Logf("shared tokens prefilled again: %.3f", router.rereadShare(calm, calm+trouble))
			baseline := new(fleet)
			if testing.Verbose() {
				baseline = play(t, p.pattern, `{"plugin": "rotator"}`)
			}
			for _, c := range []*class{chat, draft} {
				got := router.countOutcomes(c, calm, calm+trouble)
				t.Logf("%s: %s; round robin (with -v): %s", c.name, got, baseline.countOutcomes(c, calm, calm+trouble))
				want := p.target.chat
				if c == draft {
					want = p.target.draft
				}
				if got.inTimeShare() < want {
					t.Errorf("%s: %.3f in time, want %.2f", c.name, got.inTimeShare(), want)
				}
			}
		})
	}
}

// A third of the engines becomes slower by four, which no report shows.
func TestTargetsHoldWithSlowEngines(t *testing.T) {
	f := play(t, pattern{rate: constantRate(1), changes: map[time.Duration]func(*fleet){calm: func(f *fleet) {
		for i, e := range f.engines {
			if i%3 == 0 {
				e.speed = 4
			}
		}
	}}}, routerBalancer)
	t.Logf("shared tokens prefilled again: %.3f", f.rereadShare(calm, calm+trouble))
	for c, want := range map[*class]float64{chat: impaired.chat, draft: impaired.draft} {
		if got := f.countOutcomes(c, calm, calm+trouble); got.inTimeShare() < want {
			t.Errorf("%s: %s, want %.2f in time", c.name, got, want)
		}
	}
}

// Cold caches and a burst at the start of all nodes, which know nothing of the load yet.
func TestTargetsHoldWhenAllStartCold(t *testing.T) {
	const burstEnd = 8 * time.Second
	f := play(t, pattern{rate: func(c *class, _ int, at time.Duration) float64 {
		if c == draft && at < burstEnd {
			return 2
		}
		return 1.1
	}}, routerBalancer)
	t.Logf("shared tokens prefilled again: %.3f", f.rereadShare(0, burstEnd))
	for c, want := range map[*class]float64{chat: impaired.chat, draft: impaired.draft} {
		if got := f.countOutcomes(c, 0, burstEnd); got.inTimeShare() < want {
			t.Errorf("%s: %s, want %.2f in time", c.name, got, want)
		}
	}
}

// The owners of a frequent prefix get more long prompts than they have room for. Sending them elsewhere is a gain only
// if prefixes are not prefilled again for it in great numbers, at the cost of the others.
func TestLongPromptsLeaveFullOwnersWithoutPrefillingMuchAgain(t *testing.T) {
	const mayPrefillAgain = 0.05
	p := patterns["one prefix in two fifths of the long prompts"].pattern
	weighed, preferred := play(t, p, weighingBalancer), play(t, p, routerBalancer)
	got, without := weighed.countOutcomes(draft, calm, calm+trouble), preferred.countOutcomes(draft, calm, calm+trouble)
	t.Logf("weighed: %s; owners preferred: %s", got, without)
	if got.inTimeShare() <= without.inTimeShare() {
		t.Errorf("%.3f in time, with owners preferred %.3f", got.inTimeShare(), without.inTimeShare())
	}
	if again := weighed.rereadShare(calm, calm+trouble); again > mayPrefillAgain {
		t.Errorf("%.3f of the shared tokens prefilled again, want at most %.2f", again, mayPrefillAgain)
	}
}

// Engines whose memory is too small for the prefixes that they own evict them before they are used again. Staying
// with the owners then saves little, and their queues grow.
func TestLongPromptsLeaveOwnersThatCannotHoldTheirPrefixes(t *testing.T) {
	p := pattern{rate: constantRate(1.4), cacheTokens: 50000, hotShare: func(c *class, _ time.Duration) float64 {
		if c == draft {
			return 0.2
		}
		return 0
	}}
	unknown := play(t, p, weighingBalancer)
	p.publishedTokens = p.cacheTokens
	known := play(t, p, weighingBalancer)
	got, without := known.countOutcomes(draft, calm, calm+trouble), unknown.countOutcomes(draft, calm, calm+trouble)
	again, againWithout := known.rereadShare(calm, calm+trouble), unknown.rereadShare(calm, calm+trouble)
	t.Logf("memory known: %s, prefilled again %.3f; unknown: %s, %.3f", got, again, without, againWithout)
	if got.inTimeShare() <= without.inTimeShare() {
		t.Errorf("%.3f in time, with the memory unknown %.3f", got.inTimeShare(), without.inTimeShare())
	}
	if again > againWithout {
		t.Errorf("%.3f of the shared tokens prefilled again, with the memory unknown %.3f", again, againWithout)
	}
}
