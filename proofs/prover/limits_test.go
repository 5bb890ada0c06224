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
	// maxSteadyOvershoot is the largest share by which a limit may be exceeded in steady
	// state, as required.
	maxSteadyOvershoot = 0.05
	concurrencyLimit   = 60
	tokenRateLimit     = 6000
)

// meter measures the permits held and the tokens granted over all nodes.
type meter struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	running int
	peak    int
	tokens  int
}

func (m *meter) start(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running++
	m.peak = max(m.peak, m.running)
	m.tokens += tokens
}

func (m *meter) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
}

// reset starts a new measurement and returns the results of the previous one.
func (m *meter) reset() (peak, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	peak, tokens = m.peak, m.tokens
	m.peak, m.tokens = m.running, 0
	return peak, tokens
}

// generateLoad acquires permits on a node at a mean rate per second until a deadline. Each permit
// is held for 0.5 to 1.5 seconds.
func (m *meter) generateLoad(n *kernel.Node, team quetzalroad.Team, random *rand.Rand, rate float64, tokens int, deadline time.Time) {
	var group sync.WaitGroup
	for time.Now().Before(deadline) {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		r := &quetzalroad.Request{Team: team, PromptTokens: tokens / 2, MaxTokens: tokens / 2}
		permit, err := n.Limiter.Acquire(time.Now(), r)
		if err != nil {
			continue
		}
		m.start(tokens)
		holdTime := time.Duration(500+random.IntN(1000)) * time.Millisecond
		group.Go(func() {
			time.Sleep(holdTime)
			m.end()
			permit.Release(time.Now(), tokens/2)
		})
	}
	group.Wait()
}

// generateLoadOnAllNodes generates load on all nodes, with rates that differ by a factor of up to seven.
func (x *fixture) generateLoadOnAllNodes(m *meter, team quetzalroad.Team, tokens int, deadline time.Time) *sync.WaitGroup {
	var group sync.WaitGroup
	for i, n := range x.Nodes {
		random := rand.New(rand.NewPCG(uint64(i), 5))
		rate := 20.0 + 60*float64(i%3)
		group.Go(func() { m.generateLoad(n, team, random, rate, tokens, deadline) })
	}
	return &group
}

func TestTeamConcurrencyLimitHoldsAcrossNodes(t *testing.T) {
	runWithNodes(t, 6, func(t *testing.T, x *fixture) {
		team := quetzalroad.Team{Name: "limited", MaxConcurrency: concurrencyLimit}
		x.publish(quetzalroad.Object{Team: &team})
		m := &meter{}
		group := x.generateLoadOnAllNodes(m, team, 100, time.Now().Add(40*time.Second))
		time.Sleep(10 * time.Second)
		m.reset()
		time.Sleep(15 * time.Second)
		peak, _ := m.reset()
		t.Logf("peak concurrency in steady state: %d of %d", peak, concurrencyLimit)
		if limit := int(concurrencyLimit * (1 + maxSteadyOvershoot)); peak > limit {
			t.Errorf("peak concurrency %d with a limit of %d, want at most %d", peak, concurrencyLimit, limit)
		}
		if peak < concurrencyLimit*8/10 {
			t.Errorf("peak concurrency %d with a limit of %d, want at least 0.8 of it", peak, concurrencyLimit)
		}
		x.Network.SetPartitioned("east", "west", true)
		time.Sleep(10 * time.Second)
		peak, _ = m.reset()
		t.Logf("peak concurrency during the partition: %d of %d", peak, concurrencyLimit)
		// Each node may always run one request in addition to its equal share.
		if limit := concurrencyLimit + len(x.Nodes); peak > limit {
			t.Errorf("peak concurrency %d during the partition, want at most %d", peak, limit)
		}
		group.Wait()
	})
}

func TestTeamTokenRateLimitHoldsAcrossNodes(t *testing.T) {
	runWithNodes(t, 6, func(t *testing.T, x *fixture) {
		team := quetzalroad.Team{Name: "limited", MaxTokensPerSecond: tokenRateLimit}
		x.publish(quetzalroad.Object{Team: &team})
		m := &meter{}
		group := x.generateLoadOnAllNodes(m, team, 50, time.Now().Add(40*time.Second))
		time.Sleep(10 * time.Second)
		m.reset()
		const window = 20 * time.Second
		time.Sleep(window)
		_, tokens := m.reset()
		rate := float64(tokens) / window.Seconds()
		t.Logf("rate in steady state: %.0f of %d tokens a second", rate, tokenRateLimit)
		if limit := tokenRateLimit * (1 + maxSteadyOvershoot); rate > limit {
			t.Errorf("%.0f tokens a second granted with a limit of %d, want at most %.0f", rate, tokenRateLimit, limit)
		}
		if rate < tokenRateLimit*0.8 {
			t.Errorf("%.0f tokens a second granted with a limit of %d, want at least 0.8 of it", rate, tokenRateLimit)
		}
		group.Wait()
	})
}
