// Package allocator enforces the limits of teams over many nodes without coordination.
//
// A team's limit is divided first between data centres and then between the nodes
// of each. Part of each share is static, the rest follows the demand that the other
// participants reported recently. A data centre that is cut off keeps its even share
// and no more, and the others leave it that share, so that the shares add up to the
// limit also during a network partition.
package allocator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotLimiter, Name: "sharer", Default: true,
		New: func() kernel.Component { return new(Allocator) },
	})
}

const (
	// shardCount is the number of shards of the accounts.
	shardCount = 64
	// demandWindow is the time over which token demand is averaged and a concurrency peak is kept.
	demandWindow = 2 * time.Second
	// burst is the time over which an idle team may accumulate tokens at its rate.
	burst = 1 * time.Second
	// concurrencyRetryAfter is the retry delay suggested to callers refused for lack of a permit.
	concurrencyRetryAfter = time.Second
)

// reportedDemand is the demand that a peer or another data centre reported.
type reportedDemand struct {
	reportedAt time.Time
	demand     quetzalroad.TeamDemand
}

// account is the state of one team on this node.
type account struct {
	// running counts the permits held on this node and is never negative.
	running int
	// peakConcurrency is the recent maximum number of permits requested at once.
	peakConcurrency int
	peakAt          time.Time
	// tokens is the fill level of the token bucket. It falls below zero if the estimate of a request
	// exceeds it, or if requests use more than their estimate.
	tokens     float64
	refilledAt time.Time
	// tokenDemand is the recent rate of tokens requested, in tokens per second.
	tokenDemand   float64
	tokenDemandAt time.Time
	// guaranteed is the part of the team's limits guaranteed to this node.
	guaranteed guarantee
	// peers and dataCentres hold the latest demand reported by each node and data centre; an entry is
	// replaced as a whole.
	peers       map[quetzalroad.NodeName]reportedDemand
	dataCentres map[quetzalroad.DataCentre]reportedDemand
}

// shard holds the accounts of the teams that hash to it.
type shard struct {
	// The padding keeps locks used by different cores in different cache lines.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// accounts is guarded by mu and allocated on first use.
	accounts map[quetzalroad.TeamName]*account
}

// Allocator is a limiter that allocates to each node a quota of the team limits.
type Allocator struct {
	node           *kernel.Node
	staticShare    float64
	demandLifetime time.Duration
	shards         [shardCount]shard
	serviceCounts  serviceCounters
	// lastSummary maps a quetzalroad.DataCentre to the time of its last demand summary.
	lastSummary sync.Map
	// cachedParticipants is the last count of participants.
	cachedParticipants atomic.Pointer[participantsSnapshot]
}

// Declare implements kernel.Component.
func (al *Allocator) Declare(section *configloader.Section) {
	section.Float("static-share", &al.staticShare, 0.25, 0.01, 1, "Share of a limit that is divided evenly, regardless of demand.")
	section.Duration("lifetime", &al.demandLifetime, 15*time.Second, 100*time.Millisecond, 10*time.Minute, "How long the demand reported by other nodes and data centres is used.")
}

// Build implements kernel.Component.
func (al *Allocator) Build(n *kernel.Node) error {
	al.node = n
	n.Limiter = al
	return nil
}

func (al *Allocator) shard(t quetzalroad.TeamName) *shard {
	return &al.shards[xxhash.Sum64String(string(t))%shardCount]
}

func (sh *shard) account(t quetzalroad.TeamName) *account {
	a := sh.accounts[t]
	if a == nil {
		if sh.accounts == nil {
			sh.accounts = make(map[quetzalroad.TeamName]*account)
		}
		a = new(account)
		sh.accounts[t] = a
	}
	return a
}

// Acquire implements quetzalroad.Limiter. The service's permit is acquired first and
// released if the team's is refused.
func (al *Allocator) Acquire(now time.Time, r *quetzalroad.Request) (quetzalroad.Permit, error) {
	participants := al.participants(now)
	if !al.serviceCounts.acquire(r.Service, participants.nodes*participants.dataCentres) {
		return nil, quetzalroad.NewRefusal(quetzalroad.ReasonServiceConcurrencyLimit, "the service runs as many requests as it may", concurrencyRetryAfter)
	}
	cost := al.estimate(r)
	if err := al.acquireTeam(now, r, cost, participants); err != nil {
		al.serviceCounts.release(r.Service)
		return nil, err
	}
	return &permit{allocator: al, request: r, cost: cost}, nil
}

// estimate returns the number of tokens that a request is charged before it runs: its
// prompt and what such requests usually generate. The difference from its actual
// usage is settled when it ends.
func (al *Allocator) estimate(r *quetzalroad.Request) int {
	if r.Service.Kind == quetzalroad.ServiceKindPlain {
		return 0
	}
	return r.PromptTokens + al.node.LengthEstimator.Remaining(r, 0)
}

func (al *Allocator) acquireTeam(now time.Time, r *quetzalroad.Request, cost int, participants participants) error {
	sh := al.shard(r.Team.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	a := sh.account(r.Team.Name)
	a.recordDemand(now, cost)
	a.guaranteed = al.guaranteed(r.Team, participants)
	if permits := al.concurrencyQuota(now, a, r.Team, participants); r.Team.MaxConcurrency > 0 && a.running >= permits {
		return quetzalroad.NewRefusal(quetzalroad.ReasonTeamConcurrencyLimit, "the team runs as many requests as it may", concurrencyRetryAfter)
	}
	if r.Team.MaxTokensPerSecond > 0 {
		rate := al.tokenRateQuota(now, a, r.Team, participants)
		a.refill(now, rate)
		if a.tokens <= 0 {
			retryAfter := time.Duration((1 - a.tokens) / rate * float64(time.Second))
			return quetzalroad.NewRefusal(quetzalroad.ReasonTeamRateLimit, "the team has spent its rate of tokens", retryAfter)
		}
		a.tokens -= float64(cost)
	}
	a.running++
	return nil
}

// recordDemand records a request's demand, whether or not the request is permitted.
func (a *account) recordDemand(now time.Time, cost int) {
	a.tokenDemand = a.decayedTokenDemand(now) + float64(cost)/demandWindow.Seconds()
	a.tokenDemandAt = now
	if a.running+1 >= a.peakConcurrency || now.Sub(a.peakAt) > demandWindow {
		a.peakConcurrency = a.running + 1
		a.peakAt = now
	}
}

// decayedTokenDemand returns the demand for tokens, decayed linearly with the time
// since the last request.
func (a *account) decayedTokenDemand(now time.Time) float64 {
	decay := 1 - now.Sub(a.tokenDemandAt).Seconds()/demandWindow.Seconds()
	if decay <= 0 {
		return 0
	}
	return a.tokenDemand * decay
}

func (a *account) recentPeakConcurrency(now time.Time) int {
	if now.Sub(a.peakAt) > demandWindow {
		return a.running
	}
	return max(a.peakConcurrency, a.running)
}

// refill adds the tokens accrued since the last call, up to the burst.
func (a *account) refill(now time.Time, rate float64) {
	capacity := rate * burst.Seconds()
	if a.refilledAt.IsZero() {
		a.tokens = capacity
	} else {
		a.tokens = min(capacity, a.tokens+rate*now.Sub(a.refilledAt).Seconds())
	}
	a.refilledAt = now
}

// permit is the permit of one request.
type permit struct {
	allocator *Allocator
	request   *quetzalroad.Request
	cost      int
	once      sync.Once
}

// Release implements quetzalroad.Permit.
func (p *permit) Release(_ time.Time, tokens int) {
	p.once.Do(func() { p.allocator.release(p.request, p.cost, tokens) })
}

// release ends a permit and replaces the request's token estimate by its actual usage.
func (al *Allocator) release(r *quetzalroad.Request, cost, tokens int) {
	al.serviceCounts.release(r.Service)
	sh := al.shard(r.Team.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	a := sh.account(r.Team.Name)
	a.running--
	if a.running < 0 {
		al.node.Recorder.RecordViolation("limit-places-never-negative", string(r.Team.Name))
	}
	if r.Team.MaxTokensPerSecond > 0 {
		a.tokens += float64(cost - r.PromptTokens - tokens)
	}
}

// guarantee is the part of a team's limits that a node may use regardless of the
// demand elsewhere. Zero means that there is no limit.
type guarantee struct {
	tokensPerSecond float64
	concurrency     float64
}

// exceededBy reports whether a demand is above the guarantee, so that the others must
// know about it. Below it the node needs nothing of the part divided by demand.
func (g guarantee) exceededBy(d quetzalroad.TeamDemand) bool {
	return g.tokensPerSecond > 0 && d.TokensPerSecond > g.tokensPerSecond || g.concurrency > 0 && float64(d.PeakConcurrency) > g.concurrency
}

// Demand implements quetzalroad.Limiter. It returns only demand above the guarantee,
// which is all that the others must know about.
func (al *Allocator) Demand(now time.Time) []quetzalroad.TeamDemand {
	var all []quetzalroad.TeamDemand
	for i := range al.shards {
		sh := &al.shards[i]
		sh.mu.Lock()
		for name, a := range sh.accounts {
			d := quetzalroad.TeamDemand{Team: name, TokensPerSecond: a.decayedTokenDemand(now), Running: a.running, PeakConcurrency: a.recentPeakConcurrency(now)}
			if a.guaranteed.exceededBy(d) {
				all = append(all, d)
			}
		}
		sh.mu.Unlock()
	}
	return all
}

// UpdatePeer implements quetzalroad.Limiter.
func (al *Allocator) UpdatePeer(n quetzalroad.NodeName, received time.Time, demand []quetzalroad.TeamDemand) {
	for _, d := range demand {
		al.withAccount(d.Team, func(a *account) {
			if a.peers == nil {
				a.peers = make(map[quetzalroad.NodeName]reportedDemand)
			}
			a.peers[n] = reportedDemand{reportedAt: received, demand: d}
		})
	}
}

// UpdateDataCentre implements quetzalroad.Limiter.
func (al *Allocator) UpdateDataCentre(dc quetzalroad.DataCentre, measuredAt time.Time, demand []quetzalroad.TeamDemand) {
	if last, ok := al.lastSummary.Load(dc); !ok || measuredAt.After(last.(time.Time)) {
		al.lastSummary.Store(dc, measuredAt)
	}
	for _, d := range demand {
		al.withAccount(d.Team, func(a *account) {
			if a.dataCentres == nil {
				a.dataCentres = make(map[quetzalroad.DataCentre]reportedDemand)
			}
			if measuredAt.After(a.dataCentres[dc].reportedAt) {
				a.dataCentres[dc] = reportedDemand{reportedAt: measuredAt, demand: d}
			}
		})
	}
}

func (al *Allocator) withAccount(t quetzalroad.TeamName, f func(a *account)) {
	sh := al.shard(t)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f(sh.account(t))
}

// RemovePeer implements quetzalroad.Limiter.
func (al *Allocator) RemovePeer(n quetzalroad.NodeName) {
	for i := range al.shards {
		sh := &al.shards[i]
		sh.mu.Lock()
		for _, a := range sh.accounts {
			delete(a.peers, n)
		}
		sh.mu.Unlock()
	}
}
