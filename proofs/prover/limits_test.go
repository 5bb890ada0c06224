package prover

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
)

const (
	// overshootSteady is the stated bound on how far a limit may be passed in
	// steady state.
	overshootSteady = 0.05
	limitPlaces     = 60
	limitRate       = 6000
)

// meter follows the places held and the tokens granted over all nodes.
type meter struct {
	mu sync.Mutex
	// running and most are guarded by mu, as is tokens.
	running int
	most    int
	tokens  int
}

func (m *meter) begin(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running++
	m.most = max(m.most, m.running)
	m.tokens += tokens
}

func (m *meter) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
}

// reset starts a new measurement and gives the last one.
func (m *meter) reset() (most, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	most, tokens = m.most, m.tokens
	m.most, m.tokens = m.running, 0
	return most, tokens
}

// press asks for places on a node again and again until a time. Each place is
// held for a while.
func (m *meter) press(n *kernel.Node, team quetzalroad.Team, random *rand.Rand, rate float64, tokens int, until time.Time) {
	var group sync.WaitGroup
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		r := &quetzalroad.Request{Team: team, PromptTokens: tokens / 2, MaxTokens: tokens / 2}
		grant, err := n.Limiter.Acquire(time.Now(), r)
		if err != nil {
			continue
		}
		m.begin(tokens)
		hold := time.Duration(500+random.IntN(1000)) * time.Millisecond
		group.Go(func() {
			time.Sleep(hold)
			m.end()
			grant.Release(time.Now(), tokens/2)
		})
	}
	group.Wait()
}

// pressAll presses on all nodes, on some much more than on others.
func (x *fixture) pressAll(m *meter, team quetzalroad.Team, tokens int, until time.Time) *sync.WaitGroup {
	var group sync.WaitGroup
	for i, n := range x.Nodes {
		random := rand.New(rand.NewPCG(uint64(i), 5))
		rate := 20.0 + 60*float64(i%3)
		group.Go(func() { m.press(n, team, random, rate, tokens, until) })
	}
	return &group
}

func TestConcurrencyOfATeamHoldsOverAllNodes(t *testing.T) {
	inBubble(t, 6, func(t *testing.T, x *fixture) {
		team := quetzalroad.Team{Name: "limited", MaxConcurrency: limitPlaces}
		x.publish(quetzalroad.Object{Team: &team})
		m := &meter{}
		group := x.pressAll(m, team, 100, time.Now().Add(40*time.Second))
		time.Sleep(10 * time.Second)
		m.reset()
		time.Sleep(15 * time.Second)
		most, _ := m.reset()
		t.Logf("most running in steady state: %d of %d", most, limitPlaces)
		if bound := int(limitPlaces * (1 + overshootSteady)); most > bound {
			t.Errorf("%d requests ran at once, the limit is %d and the bound %d", most, limitPlaces, bound)
		}
		if most < limitPlaces*8/10 {
			t.Errorf("only %d of %d places were used", most, limitPlaces)
		}
		x.Network.SetPartitioned("east", "west", true)
		time.Sleep(10 * time.Second)
		most, _ = m.reset()
		t.Logf("most running with the data centres cut off: %d of %d", most, limitPlaces)
		// Each node may always hold one request, beside the even parts.
		if bound := limitPlaces + len(x.Nodes); most > bound {
			t.Errorf("%d requests ran at once in the partition, the bound is %d", most, bound)
		}
		group.Wait()
	})
}

func TestRateOfATeamHoldsOverAllNodes(t *testing.T) {
	inBubble(t, 6, func(t *testing.T, x *fixture) {
		team := quetzalroad.Team{Name: "limited", MaxTokensPerSecond: limitRate}
		x.publish(quetzalroad.Object{Team: &team})
		m := &meter{}
		group := x.pressAll(m, team, 50, time.Now().Add(40*time.Second))
		time.Sleep(10 * time.Second)
		m.reset()
		const span = 20 * time.Second
		time.Sleep(span)
		_, tokens := m.reset()
		rate := float64(tokens) / span.Seconds()
		t.Logf("rate in steady state: %.0f of %d tokens a second", rate, limitRate)
		if bound := limitRate * (1 + overshootSteady); rate > bound {
			t.Errorf("%.0f tokens a second were granted, the limit is %d and the bound %.0f", rate, limitRate, bound)
		}
		if rate < limitRate*0.8 {
			t.Errorf("only %.0f of %d tokens a second were granted", rate, limitRate)
		}
		group.Wait()
	})
}
