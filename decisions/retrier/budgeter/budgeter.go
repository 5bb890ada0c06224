// Package budgeter limits retries and hedges by a budget for each service that grows with its first
// attempts, so that they remain a fixed share of the load even if every attempt fails.
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
	shardCount = 16
	// maxDoublings is the maximum number of times that the mean backoff is doubled.
	maxDoublings = 6
)

// retryBudget is the retry budget of one service; a retry spends 1.
type retryBudget struct {
	// balance is between zero and Budgeter.maxBalance.
	balance float64
}

// shard holds the budgets of the services whose names hash to it.
type shard struct {
	// The padding keeps shards on separate cache lines to avoid false sharing.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// budgets is guarded by mu and allocated on first use.
	budgets map[quetzalroad.ServiceName]*retryBudget
}

// Budgeter implements quetzalroad.RetryPolicy. Declare describes its settings.
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
	s.Float("share", &b.retryShare, 0.15, 0, 1, "Retry budget that each first attempt adds; a retry spends 1.")
	s.Int("reserve", &b.maxBalance, 100, 1, 100000, "Maximum retry budget of a service, in retries.")
	s.Int("initial", &b.initialBalance, 20, 0, 100000, "Retry budget of a service before its first attempt, in retries.")
	s.Int("attempts", &b.maxAttempts, 4, 1, 100, "Maximum number of attempts per request, including the first.")
	s.Duration("backoff", &b.backoff, 20*time.Millisecond, 0, time.Minute, "Mean delay before the first retry; doubles with each further retry.")
	s.Float("hedge-after", &b.hedgeDelayShare, 0.5, 0, 1, "Fraction of the first-token target after which an interactive request without a first token is hedged; zero disables hedging.")
	s.Float("hedge-cost", &b.hedgeCost, 1, 0.1, 10, "Retry budget that a hedge spends.")
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

// spend takes cost from the budget of a service and reports whether the budget was sufficient.
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

// AllowRetry implements quetzalroad.RetryPolicy. The backoff is uniformly distributed between zero
// and twice its mean.
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

// HedgeDelay implements quetzalroad.RetryPolicy. Only interactive, idempotent requests are hedged; for
// others it returns zero.
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
