// Package sharer keeps the limits of teams over many nodes without agreement.
//
// A team's limit is first shared out between data centres and then between
// the nodes of one. A part of each share is static, the rest follows the
// demand that the others told of lately. A data centre that was not heard of
// keeps its static part and no more, and the others leave it that part, so
// that the parts add up to the limit also while the network is cut.
package sharer

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
	// demandWindow is the time over which demand is averaged.
	demandWindow = 2 * time.Second
	// burst is how many seconds of a rate an idle team may save up.
	burst = 1 * time.Second
	// concurrencyRetryAfter is the pause suggested after a refusal for want of a
	// place.
	concurrencyRetryAfter = time.Second
)

// reportedDemand is the demand that another told of.
type reportedDemand struct {
	reportedAt time.Time
	demand     quetzalroad.TeamDemand
}

// account is what a node knows of one team.
type account struct {
	// running counts the places held here and is never negative.
	running int
	// peakConcurrency is the largest number of places asked for at once lately.
	peakConcurrency int
	peakAt          time.Time
	// tokens is the number of tokens that may be spent; it goes below zero by
	// what running requests took beyond their estimate.
	tokens     float64
	refilledAt time.Time
	// tokenDemand is the recent rate of tokens asked for, in tokens a second.
	tokenDemand   float64
	tokenDemandAt time.Time
	// guaranteed is the node's sure part of the team's limits.
	guaranteed guarantee
	// peers and places hold what others told of; an entry is replaced as a
	// whole.
	peers       map[quetzalroad.NodeName]reportedDemand
	dataCentres map[quetzalroad.DataCentre]reportedDemand
}

// shard holds the accounts of the teams that hash to it.
type shard struct {
	// Shards that several cores lock share no cache line.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// accounts is guarded by mu and made on first use.
	accounts map[quetzalroad.TeamName]*account
}

// Allocator is the part that limits.
type Allocator struct {
	node           *kernel.Node
	staticShare    float64
	demandLifetime time.Duration
	shards         [shardCount]shard
	serviceCounts  serviceCounters
	// lastSummary maps a quetzalroad.DataCentre to the time of the last sum from it.
	lastSummary sync.Map
	// cachedParticipants is the last count of those that limits are shared with.
	cachedParticipants atomic.Pointer[participantsSnapshot]
}

// Declare implements kernel.Component.
func (al *Allocator) Declare(section *configloader.Section) {
	section.Float("static-share", &al.staticShare, 0.25, 0.01, 1, "Part of a limit that is shared out evenly, whatever the demand.")
	section.Duration("lifetime", &al.demandLifetime, 15*time.Second, 100*time.Millisecond, 10*time.Minute, "How long what others told of their demand counts.")
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

// Acquire implements quetzalroad.Limiter. The service's bound is taken first
// and given back where the team's refuses.
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

// estimate is the number of tokens a request is charged before it ran: its
// prompt and what such requests usually generate. What it really takes is
// settled when it ends.
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

// ask notes a request's demand, whether or not it will be met.
func (a *account) recordDemand(now time.Time, cost int) {
	a.tokenDemand = a.decayedTokenDemand(now) + float64(cost)/demandWindow.Seconds()
	a.tokenDemandAt = now
	if a.running+1 >= a.peakConcurrency || now.Sub(a.peakAt) > demandWindow {
		a.peakConcurrency = a.running + 1
		a.peakAt = now
	}
}

// decayedTokenDemand lets the asked rate fade in proportion to the time since it was
// asked.
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

// refill adds what the rate gave since the last time, up to the burst.
func (a *account) refill(now time.Time, rate float64) {
	capacity := rate * burst.Seconds()
	if a.refilledAt.IsZero() {
		a.tokens = capacity
	} else {
		a.tokens = min(capacity, a.tokens+rate*now.Sub(a.refilledAt).Seconds())
	}
	a.refilledAt = now
}

// permit is one place.
type permit struct {
	allocator *Allocator
	request   *quetzalroad.Request
	cost      int
	once      sync.Once
}

// Release implements quetzalroad.Permit.
func (g *permit) Release(_ time.Time, tokens int) {
	g.once.Do(func() { g.allocator.release(g.request, g.cost, tokens) })
}

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

// guarantee is what a node may use of a team's limits for sure, whatever the others
// want. A limit of zero is none.
type guarantee struct {
	tokensPerSecond float64
	concurrency     float64
}

// exceededBy tells that a demand is above the floor, so that others have to know
// of it. Below it the node needs nothing of what is shared by demand.
func (g guarantee) exceededBy(d quetzalroad.TeamDemand) bool {
	return g.tokensPerSecond > 0 && d.TokensPerSecond > g.tokensPerSecond || g.concurrency > 0 && float64(d.PeakConcurrency) > g.concurrency
}

// Demand implements quetzalroad.Limiter. Only demands that others have to know
// of are told.
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
