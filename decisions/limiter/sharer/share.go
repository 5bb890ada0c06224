package sharer

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
)

// participants is how many others a limit is shared with.
type participants struct {
	// nodes counts the nodes of this data centre, this one included.
	nodes int
	// dataCentres counts the data centres that have nodes or upstreams.
	dataCentres int
	// reporting lists the other data centres that were heard of lately.
	reporting map[quetzalroad.DataCentre]bool
}

// participantsTTL is how long a count of sharers is used again.
const participantsTTL = 100 * time.Millisecond

// participantsSnapshot holds the sharers with the time at which they were counted.
type participantsSnapshot struct {
	participants participants
	countedAt    time.Time
}

// participants counts whom limits are shared with. Data centres are those of the
// published upstreams, which all nodes know alike, cut off or not. A count is
// used again for a while; two that are made at once do no harm.
func (al *Allocator) participants(now time.Time) participants {
	if last := al.cachedParticipants.Load(); last != nil && now.Sub(last.countedAt) < participantsTTL {
		return last.participants
	}
	fresh := &participantsSnapshot{participants: al.countParticipants(now), countedAt: now}
	al.cachedParticipants.Store(fresh)
	return fresh.participants
}

func (al *Allocator) countParticipants(now time.Time) participants {
	result := participants{nodes: 1, reporting: make(map[quetzalroad.DataCentre]bool)}
	dataCentres := map[quetzalroad.DataCentre]bool{al.node.DataCentre: true}
	if al.node.Directory != nil {
		for _, u := range al.node.Directory.Upstreams() {
			dataCentres[u.DataCentre] = true
		}
	}
	if al.node.Peers != nil {
		for _, peer := range al.node.Peers.Status() {
			dataCentres[peer.DataCentre] = true
			if peer.DataCentre == al.node.DataCentre {
				result.nodes++
			}
		}
	}
	al.lastSummary.Range(func(dc, measuredAt any) bool {
		if now.Sub(measuredAt.(time.Time)) < al.demandLifetime {
			result.reporting[dc.(quetzalroad.DataCentre)] = true
		}
		return true
	})
	result.dataCentres = len(dataCentres)
	return result
}

// demandSums is a demand in one unit, here, of the peers and of the places.
type demandSums struct {
	own    float64
	peers  float64
	remote float64
}

// tokenRateQuota is the node's part of a team's tokens a second.
func (al *Allocator) tokenRateQuota(now time.Time, a *account, t quetzalroad.Team, participants participants) float64 {
	demand := a.sumDemand(now, al.demandLifetime, participants, a.decayedTokenDemand(now), func(d quetzalroad.TeamDemand) float64 { return d.TokensPerSecond })
	return math.Max(al.nodeQuota(float64(t.MaxTokensPerSecond), demand, participants), 1e-3)
}

// concurrencyQuota is the number of places a node may hold for a team: what is left of
// the team's places, shared out by demand, on top of those held. Each node may
// hold at least one, so that a team that comes to a fresh node isn't refused
// there before its demand was told.
func (al *Allocator) concurrencyQuota(now time.Time, a *account, t quetzalroad.Team, participants participants) int {
	peakConcurrency := func(d quetzalroad.TeamDemand) float64 { return float64(d.PeakConcurrency) }
	demand := a.sumDemand(now, al.demandLifetime, participants, float64(a.recentPeakConcurrency(now)), peakConcurrency)
	share := al.nodeQuota(float64(t.MaxConcurrency), demand, participants)
	permits := math.Floor(share)
	if al.roundsUp(now, t.Name, share-permits, participants) {
		permits++
	}
	return int(math.Max(1, permits))
}

// roundingPeriod is how long a node keeps the fraction of a place.
const roundingPeriod = 5 * time.Second

// roundsUp gives the fractions of a place to the nodes in turn: in each
// period a node rounds up in proportion to its fraction.
func (al *Allocator) roundsUp(now time.Time, t quetzalroad.TeamName, fraction float64, participants participants) bool {
	if participants.nodes*participants.dataCentres <= 1 {
		return false
	}
	period := uint64(now.UnixNano() / int64(roundingPeriod))
	h := xxhash.Sum64String(string(al.node.Name)+"/"+string(t)) + period*goldenRatio64
	return float64(h>>11)/(1<<53) < fraction
}

// goldenRatio64 steps a hash through its whole range evenly.
const goldenRatio64 = 0x9E3779B97F4A7C15

func (a *account) sumDemand(now time.Time, lifetime time.Duration, participants participants, own float64, amount func(quetzalroad.TeamDemand) float64) demandSums {
	sums := demandSums{own: own}
	for _, peer := range a.peers {
		if now.Sub(peer.reportedAt) < lifetime {
			sums.peers += amount(peer.demand)
		}
	}
	for dc, remote := range a.dataCentres {
		if participants.reporting[dc] && now.Sub(remote.reportedAt) < lifetime {
			sums.remote += amount(remote.demand)
		}
	}
	return sums
}

// nodeQuota gives the node's part of a limit. The limit is shared out between the
// data centres first: each has an even part of the static share for sure, and
// the parts of those that were not heard of are left to them whole. What
// remains follows the demand. The nodes of the data centre share its part in
// the same way.
func (al *Allocator) nodeQuota(limit float64, demand demandSums, participants participants) float64 {
	dataCentreQuota := limit
	if participants.dataCentres > 1 {
		even := limit / float64(participants.dataCentres)
		reporting := 1 + len(participants.reporting)
		pool := even * float64(min(reporting, participants.dataCentres))
		dataCentreQuota = divide(pool, even, al.staticShare, demand.own+demand.peers, demand.remote, reporting)
	}
	if participants.nodes <= 1 {
		return dataCentreQuota
	}
	return divide(dataCentreQuota, dataCentreQuota/float64(participants.nodes), al.staticShare, demand.own, demand.peers, participants.nodes)
}

// guaranteed gives the node's sure part of a team's limits.
func (al *Allocator) guaranteed(t quetzalroad.Team, participants participants) guarantee {
	share := al.staticShare / float64(max(1, participants.nodes))
	if participants.dataCentres > 1 {
		share *= al.staticShare / float64(participants.dataCentres)
	}
	return guarantee{tokensPerSecond: share * float64(t.MaxTokensPerSecond), concurrency: share * float64(t.MaxConcurrency)}
}

// divide gives one's part of an amount: the static share of the even part,
// and the rest in proportion to the demand.
func divide(amount, evenShare, static, own, others float64, participants int) float64 {
	if participants <= 1 {
		return evenShare
	}
	fixed := static * evenShare
	pool := amount - static*evenShare*float64(participants)
	if own+others <= 0 {
		return fixed + pool/float64(participants)
	}
	return fixed + pool*own/(own+others)
}

// serviceShardCount is the number of shards of the service bounds.
const serviceShardCount = 16

// serviceCounters counts the running requests of each service. The zero value
// is empty.
type serviceCounters struct {
	shards [serviceShardCount]serviceShard
}

type serviceShard struct {
	// Shards that several cores lock share no cache line.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// running is guarded by mu, made on first use, and never negative.
	running map[quetzalroad.ServiceName]int
}

func (c *serviceCounters) shard(s quetzalroad.ServiceName) *serviceShard {
	return &c.shards[xxhash.Sum64String(string(s))%serviceShardCount]
}

// acquire takes one of the node's places of a service: its even part of the
// service's bound, at least one.
func (c *serviceCounters) acquire(s quetzalroad.Service, nodes int) bool {
	sh := c.shard(s.Name)
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

func (c *serviceCounters) release(s quetzalroad.Service) {
	sh := c.shard(s.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.running[s.Name]--
}
