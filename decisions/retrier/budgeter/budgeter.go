// Package budgeter lets retries and hedges spend a budget that grows with the
// first attempts of a service, so that they stay a share of the load also when
// everything fails.
package budgeter

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotRetryPolicy, Name: "budgeter", Default: true,
		New: func() kernel.Component { return new(Budgeter) },
	})
}

const (
	// shardCount is the number of shards of the budgets.
	shardCount = 16
	// maxDoublings bounds the growth of the backoff.
	maxDoublings = 6
)

// retryBudget is what a service may spend, in attempts.
type retryBudget struct {
	// balance is at most the settings' reserve, and never negative.
	balance float64
}

// shard holds the budgets of the services that hash to it.
type shard struct {
	// Shards that several cores lock share no cache line.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// budgets is guarded by mu and made on first use.
	budgets map[quetzalroad.ServiceName]*retryBudget
}

// Budgeter is the part that decides on retries.
type Budgeter struct {
	retryShare      float64
	hedgeCost       float64
	maxBalance      int
	initialBalance  int
	maxAttempts     int
	backoff         time.Duration
	hedgeDelayShare float64
	shards          [shardCount]shard
}

// Declare implements kernel.Component.
func (b *Budgeter) Declare(s *configloader.Section) {
	s.Float("share", &b.retryShare, 0.15, 0, 1, "Retries and hedges allowed for each first attempt.")
	s.Int("reserve", &b.maxBalance, 100, 1, 100000, "Most retries that can be saved up for a service.")
	s.Int("initial", &b.initialBalance, 20, 0, 100000, "Retries that a service has before its first attempt.")
	s.Int("attempts", &b.maxAttempts, 4, 1, 100, "Attempts at most for a request, the first included.")
	s.Duration("backoff", &b.backoff, 20*time.Millisecond, 0, time.Minute, "Mean pause before the first retry; doubled with each further one.")
	s.Float("hedge-after", &b.hedgeDelayShare, 0.5, 0, 1, "Part of its target after which interactive work without a first token is hedged; zero for never.")
	s.Float("hedge-cost", &b.hedgeCost, 1, 0.1, 10, "What a hedge takes from the budget.")
}

// Build implements kernel.Component.
func (b *Budgeter) Build(n *kernel.Node) error {
	n.RetryPolicy = b
	return nil
}

func (b *Budgeter) withBudget(s quetzalroad.ServiceName, f func(budget *retryBudget)) {
	sh := &b.shards[xxhash.Sum64String(string(s))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.budgets == nil {
		sh.budgets = make(map[quetzalroad.ServiceName]*retryBudget)
	}
	budget := sh.budgets[s]
	if budget == nil {
		budget = &retryBudget{balance: float64(b.initialBalance)}
		sh.budgets[s] = budget
	}
	f(budget)
}

// RecordFirstAttempt implements quetzalroad.RetryPolicy.
func (b *Budgeter) RecordFirstAttempt(_ time.Time, s quetzalroad.ServiceName) {
	b.withBudget(s, func(budget *retryBudget) {
		budget.balance = min(float64(b.maxBalance), budget.balance+b.retryShare)
	})
}

func (b *Budgeter) spend(s quetzalroad.ServiceName, cost float64) bool {
	spent := false
	b.withBudget(s, func(budget *retryBudget) {
		if budget.balance >= cost {
			budget.balance -= cost
			spent = true
		}
	})
	return spent
}

// AllowRetry implements quetzalroad.RetryPolicy. The pause is drawn evenly from
// zero to twice its mean.
func (b *Budgeter) AllowRetry(_ time.Time, s quetzalroad.ServiceName, attempt int) (time.Duration, bool) {
	if attempt >= b.maxAttempts || !b.spend(s, 1) {
		return 0, false
	}
	mean := b.backoff << min(attempt-1, maxDoublings)
	if mean <= 0 {
		return 0, true
	}
	return rand.N(2 * mean), true
}

// HedgeDelay implements quetzalroad.RetryPolicy. Only interactive, idempotent
// work is hedged.
func (b *Budgeter) HedgeDelay(r *quetzalroad.Request) time.Duration {
	if !r.Idempotent || !r.Profile.Interactive {
		return 0
	}
	return time.Duration(b.hedgeDelayShare * float64(r.Profile.FirstTokenTarget))
}

// AllowHedge implements quetzalroad.RetryPolicy.
func (b *Budgeter) AllowHedge(_ time.Time, s quetzalroad.ServiceName) bool {
	return b.spend(s, b.hedgeCost)
}
