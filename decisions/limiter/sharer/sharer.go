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
		New: func() kernel.Component { return new(Sharer) },
	})
}

const (
	// shardCount is the number of shards of the accounts.
	shardCount = 64
	// demandWindow is the time over which demand is averaged.
	demandWindow = 2 * time.Second
	// burst is how many seconds of a rate an idle team may save up.
	burst = 1 * time.Second
	// retryConcurrency is the pause suggested after a refusal for want of a
	// place.
	retryConcurrency = time.Second
)

// peerDemand is the demand that another told of.
type peerDemand struct {
	at     time.Time
	demand quetzalroad.TeamDemand
}

// account is what a node knows of one team.
type account struct {
	// running counts the places held here and is never negative.
	running int
	// wanted is the largest number of places asked for at once lately.
	wanted   int
	wantedAt time.Time
	// level is the number of tokens that may be spent; it goes below zero by
	// what running requests took beyond their estimate.
	level   float64
	settled time.Time
	// asked is the recent rate of tokens asked for, in tokens a second.
	asked   float64
	askedAt time.Time
	// static is the node's sure part of the team's limits.
	static floor
	// peers and places hold what others told of; an entry is replaced as a
	// whole.
	peers  map[quetzalroad.NodeName]peerDemand
	places map[quetzalroad.DataCentre]peerDemand
}

// shard holds the accounts of the teams that hash to it.
type shard struct {
	// Shards that several cores lock share no cache line.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// accounts is guarded by mu and made on first use.
	accounts map[quetzalroad.TeamName]*account
}

// Sharer is the part that limits.
type Sharer struct {
	node        *kernel.Node
	staticShare float64
	lifetime    time.Duration
	shards      [shardCount]shard
	services    serviceBounds
	// heard maps a quetzalroad.DataCentre to the time of the last sum from it.
	heard sync.Map
	// counted is the last count of those that limits are shared with.
	counted atomic.Pointer[counted]
}

// Declare implements kernel.Component.
func (s *Sharer) Declare(section *configloader.Section) {
	section.Float("static-share", &s.staticShare, 0.25, 0.01, 1, "Part of a limit that is shared out evenly, whatever the demand.")
	section.Duration("lifetime", &s.lifetime, 15*time.Second, 100*time.Millisecond, 10*time.Minute, "How long what others told of their demand counts.")
}

// Build implements kernel.Component.
func (s *Sharer) Build(n *kernel.Node) error {
	s.node = n
	n.Limiter = s
	return nil
}

func (s *Sharer) shard(t quetzalroad.TeamName) *shard {
	return &s.shards[xxhash.Sum64String(string(t))%shardCount]
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
func (s *Sharer) Acquire(now time.Time, r *quetzalroad.Request) (quetzalroad.Permit, error) {
	sharers := s.sharers(now)
	if !s.services.acquire(r.Service, sharers.nodes*sharers.places) {
		return nil, quetzalroad.NewRefusal(quetzalroad.ReasonServiceConcurrencyLimit, "the service runs as many requests as it may", retryConcurrency)
	}
	cost := s.estimate(r)
	if err := s.acquireTeam(now, r, cost, sharers); err != nil {
		s.services.release(r.Service)
		return nil, err
	}
	return &grant{sharer: s, request: r, cost: cost}, nil
}

// estimate is the number of tokens a request is charged before it ran: its
// prompt and what such requests usually generate. What it really takes is
// settled when it ends.
func (s *Sharer) estimate(r *quetzalroad.Request) int {
	if r.Service.Kind == quetzalroad.ServiceKindPlain {
		return 0
	}
	return r.PromptTokens + s.node.LengthEstimator.Remaining(r, 0)
}

func (s *Sharer) acquireTeam(now time.Time, r *quetzalroad.Request, cost int, sharers sharers) error {
	sh := s.shard(r.Team.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	a := sh.account(r.Team.Name)
	a.ask(now, cost)
	a.static = s.floor(r.Team, sharers)
	if places := s.placesFor(now, a, r.Team, sharers); r.Team.MaxConcurrency > 0 && a.running >= places {
		return quetzalroad.NewRefusal(quetzalroad.ReasonTeamConcurrencyLimit, "the team runs as many requests as it may", retryConcurrency)
	}
	if r.Team.MaxTokensPerSecond > 0 {
		rate := s.rate(now, a, r.Team, sharers)
		a.fill(now, rate)
		if a.level <= 0 {
			wait := time.Duration((1 - a.level) / rate * float64(time.Second))
			return quetzalroad.NewRefusal(quetzalroad.ReasonTeamRateLimit, "the team has spent its rate of tokens", wait)
		}
		a.level -= float64(cost)
	}
	a.running++
	return nil
}

// ask notes a request's demand, whether or not it will be met.
func (a *account) ask(now time.Time, cost int) {
	a.asked = a.rateAt(now) + float64(cost)/demandWindow.Seconds()
	a.askedAt = now
	if a.running+1 >= a.wanted || now.Sub(a.wantedAt) > demandWindow {
		a.wanted = a.running + 1
		a.wantedAt = now
	}
}

// rateAt lets the asked rate fade in proportion to the time since it was
// asked.
func (a *account) rateAt(now time.Time) float64 {
	faded := 1 - now.Sub(a.askedAt).Seconds()/demandWindow.Seconds()
	if faded <= 0 {
		return 0
	}
	return a.asked * faded
}

func (a *account) wantedNow(now time.Time) int {
	if now.Sub(a.wantedAt) > demandWindow {
		return a.running
	}
	return max(a.wanted, a.running)
}

// fill adds what the rate gave since the last time, up to the burst.
func (a *account) fill(now time.Time, rate float64) {
	most := rate * burst.Seconds()
	if a.settled.IsZero() {
		a.level = most
	} else {
		a.level = min(most, a.level+rate*now.Sub(a.settled).Seconds())
	}
	a.settled = now
}

// grant is one place.
type grant struct {
	sharer  *Sharer
	request *quetzalroad.Request
	cost    int
	once    sync.Once
}

// Release implements quetzalroad.Permit.
func (g *grant) Release(_ time.Time, tokens int) {
	g.once.Do(func() { g.sharer.release(g.request, g.cost, tokens) })
}

func (s *Sharer) release(r *quetzalroad.Request, cost, tokens int) {
	s.services.release(r.Service)
	sh := s.shard(r.Team.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	a := sh.account(r.Team.Name)
	a.running--
	if a.running < 0 {
		s.node.Recorder.RecordViolation("limit-places-never-negative", string(r.Team.Name))
	}
	if r.Team.MaxTokensPerSecond > 0 {
		a.level += float64(cost - r.PromptTokens - tokens)
	}
}

// floor is what a node may use of a team's limits for sure, whatever the others
// want. A limit of zero is none.
type floor struct {
	tokensPerSecond float64
	concurrency     float64
}

// exceeded tells that a demand is above the floor, so that others have to know
// of it. Below it the node needs nothing of what is shared by demand.
func (f floor) exceeded(d quetzalroad.TeamDemand) bool {
	return f.tokensPerSecond > 0 && d.TokensPerSecond > f.tokensPerSecond || f.concurrency > 0 && float64(d.PeakConcurrency) > f.concurrency
}

// Demand implements quetzalroad.Limiter. Only demands that others have to know
// of are told.
func (s *Sharer) Demand(now time.Time) []quetzalroad.TeamDemand {
	var all []quetzalroad.TeamDemand
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for name, a := range sh.accounts {
			d := quetzalroad.TeamDemand{Team: name, TokensPerSecond: a.rateAt(now), Running: a.running, PeakConcurrency: a.wantedNow(now)}
			if a.static.exceeded(d) {
				all = append(all, d)
			}
		}
		sh.mu.Unlock()
	}
	return all
}

// UpdatePeer implements quetzalroad.Limiter.
func (s *Sharer) UpdatePeer(n quetzalroad.NodeName, received time.Time, demand []quetzalroad.TeamDemand) {
	for _, d := range demand {
		s.with(d.Team, func(a *account) {
			if a.peers == nil {
				a.peers = make(map[quetzalroad.NodeName]peerDemand)
			}
			a.peers[n] = peerDemand{at: received, demand: d}
		})
	}
}

// UpdateDataCentre implements quetzalroad.Limiter.
func (s *Sharer) UpdateDataCentre(d quetzalroad.DataCentre, taken time.Time, demand []quetzalroad.TeamDemand) {
	if last, ok := s.heard.Load(d); !ok || taken.After(last.(time.Time)) {
		s.heard.Store(d, taken)
	}
	for _, one := range demand {
		s.with(one.Team, func(a *account) {
			if a.places == nil {
				a.places = make(map[quetzalroad.DataCentre]peerDemand)
			}
			if taken.After(a.places[d].at) {
				a.places[d] = peerDemand{at: taken, demand: one}
			}
		})
	}
}

func (s *Sharer) with(t quetzalroad.TeamName, f func(a *account)) {
	sh := s.shard(t)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f(sh.account(t))
}

// RemovePeer implements quetzalroad.Limiter.
func (s *Sharer) RemovePeer(n quetzalroad.NodeName) {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for _, a := range sh.accounts {
			delete(a.peers, n)
		}
		sh.mu.Unlock()
	}
}
