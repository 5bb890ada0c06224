package sharer

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
)

// sharers is how many others a limit is shared with.
type sharers struct {
	// nodes counts the nodes of this data centre, this one included.
	nodes int
	// places counts the data centres that have nodes or upstreams.
	places int
	// heard lists the other data centres that were heard of lately.
	heard map[quetzalroad.DataCentre]bool
}

// sharersLifetime is how long a count of sharers is used again.
const sharersLifetime = 100 * time.Millisecond

// counted holds the sharers with the time at which they were counted.
type counted struct {
	sharers sharers
	at      time.Time
}

// sharers counts whom limits are shared with. Data centres are those of the
// published upstreams, which all nodes know alike, cut off or not. A count is
// used again for a while; two that are made at once do no harm.
func (s *Sharer) sharers(now time.Time) sharers {
	if last := s.counted.Load(); last != nil && now.Sub(last.at) < sharersLifetime {
		return last.sharers
	}
	fresh := &counted{sharers: s.count(now), at: now}
	s.counted.Store(fresh)
	return fresh.sharers
}

func (s *Sharer) count(now time.Time) sharers {
	c := sharers{nodes: 1, heard: make(map[quetzalroad.DataCentre]bool)}
	known := map[quetzalroad.DataCentre]bool{s.node.DataCentre: true}
	if s.node.Directory != nil {
		for _, u := range s.node.Directory.Upstreams() {
			known[u.DataCentre] = true
		}
	}
	if s.node.Peers != nil {
		for _, p := range s.node.Peers.Status() {
			known[p.DataCentre] = true
			if p.DataCentre == s.node.DataCentre {
				c.nodes++
			}
		}
	}
	s.heard.Range(func(d, taken any) bool {
		if now.Sub(taken.(time.Time)) < s.lifetime {
			c.heard[d.(quetzalroad.DataCentre)] = true
		}
		return true
	})
	c.places = len(known)
	return c
}

// amounts is a demand in one unit, here, of the peers and of the places.
type amounts struct {
	own    float64
	peers  float64
	places float64
}

// rate is the node's part of a team's tokens a second.
func (s *Sharer) rate(now time.Time, a *account, t quetzalroad.Team, c sharers) float64 {
	d := a.amounts(now, s.lifetime, c, a.rateAt(now), func(d quetzalroad.TeamDemand) float64 { return d.TokensPerSecond })
	return math.Max(s.share(float64(t.MaxTokensPerSecond), d, c), 1e-3)
}

// placesFor is the number of places a node may hold for a team: what is left of
// the team's places, shared out by demand, on top of those held. Each node may
// hold at least one, so that a team that comes to a fresh node isn't refused
// there before its demand was told.
func (s *Sharer) placesFor(now time.Time, a *account, t quetzalroad.Team, c sharers) int {
	wanted := func(d quetzalroad.TeamDemand) float64 { return float64(d.PeakConcurrency) }
	d := a.amounts(now, s.lifetime, c, float64(a.wantedNow(now)), wanted)
	share := s.share(float64(t.MaxConcurrency), d, c)
	whole := math.Floor(share)
	if s.roundsUp(now, t.Name, share-whole, c) {
		whole++
	}
	return int(math.Max(1, whole))
}

// roundPeriod is how long a node keeps the fraction of a place.
const roundPeriod = 5 * time.Second

// roundsUp gives the fractions of a place to the nodes in turn: in each
// period a node rounds up in proportion to its fraction.
func (s *Sharer) roundsUp(now time.Time, t quetzalroad.TeamName, fraction float64, c sharers) bool {
	if c.nodes*c.places <= 1 {
		return false
	}
	period := uint64(now.UnixNano() / int64(roundPeriod))
	h := xxhash.Sum64String(string(s.node.Name)+"/"+string(t)) + period*golden
	return float64(h>>11)/(1<<53) < fraction
}

// golden steps a hash through its whole range evenly.
const golden = 0x9E3779B97F4A7C15

func (a *account) amounts(now time.Time, lifetime time.Duration, c sharers, own float64, of func(quetzalroad.TeamDemand) float64) amounts {
	d := amounts{own: own}
	for _, t := range a.peers {
		if now.Sub(t.at) < lifetime {
			d.peers += of(t.demand)
		}
	}
	for place, t := range a.places {
		if c.heard[place] && now.Sub(t.at) < lifetime {
			d.places += of(t.demand)
		}
	}
	return d
}

// share gives the node's part of a limit. The limit is shared out between the
// data centres first: each has an even part of the static share for sure, and
// the parts of those that were not heard of are left to them whole. What
// remains follows the demand. The nodes of the data centre share its part in
// the same way.
func (s *Sharer) share(limit float64, d amounts, c sharers) float64 {
	here := limit
	if c.places > 1 {
		even := limit / float64(c.places)
		heard := 1 + len(c.heard)
		free := even * float64(min(heard, c.places))
		here = divide(free, even, s.staticShare, d.own+d.peers, d.places, heard)
	}
	if c.nodes <= 1 {
		return here
	}
	return divide(here, here/float64(c.nodes), s.staticShare, d.own, d.peers, c.nodes)
}

// floor gives the node's sure part of a team's limits.
func (s *Sharer) floor(t quetzalroad.Team, c sharers) floor {
	share := s.staticShare / float64(max(1, c.nodes))
	if c.places > 1 {
		share *= s.staticShare / float64(c.places)
	}
	return floor{tokensPerSecond: share * float64(t.MaxTokensPerSecond), concurrency: share * float64(t.MaxConcurrency)}
}

// divide gives one's part of an amount: the static share of the even part,
// and the rest in proportion to the demand.
func divide(amount, even, static, own, others float64, parties int) float64 {
	if parties <= 1 {
		return even
	}
	fixed := static * even
	pool := amount - static*even*float64(parties)
	if own+others <= 0 {
		return fixed + pool/float64(parties)
	}
	return fixed + pool*own/(own+others)
}

// serviceShards is the number of shards of the service bounds.
const serviceShards = 16

// serviceBounds counts the running requests of each service. The zero value
// is empty.
type serviceBounds struct {
	shards [serviceShards]serviceShard
}

type serviceShard struct {
	// Shards that several cores lock share no cache line.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// running is guarded by mu, made on first use, and never negative.
	running map[quetzalroad.ServiceName]int
}

func (b *serviceBounds) shard(s quetzalroad.ServiceName) *serviceShard {
	return &b.shards[xxhash.Sum64String(string(s))%serviceShards]
}

// acquire takes one of the node's places of a service: its even part of the
// service's bound, at least one.
func (b *serviceBounds) acquire(s quetzalroad.Service, nodes int) bool {
	sh := b.shard(s.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if s.MaxConcurrency > 0 && sh.running[s.Name] >= max(1, s.MaxConcurrency/max(1, nodes)) {
		return false
	}
	if sh.running == nil {
		sh.running = make(map[quetzalroad.ServiceName]int)
	}
	sh.running[s.Name]++
	return true
}

func (b *serviceBounds) release(s quetzalroad.Service) {
	sh := b.shard(s.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.running[s.Name]--
}
