package allocator

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
)

// participants counts the nodes and data centres among which limits are divided.
type participants struct {
	// nodes counts the nodes of this data centre, including this one.
	nodes int
	// dataCentres counts the data centres that have nodes or upstreams.
	dataCentres int
	// reporting holds the other data centres that reported their demand recently.
	reporting map[quetzalroad.DataCentre]bool
}

// participantsTTL is how long a count of participants is reused.
const participantsTTL = 100 * time.Millisecond

// participantsSnapshot is a count of participants with its time.
type participantsSnapshot struct {
	participants participants
	countedAt    time.Time
}

// participants counts the nodes and data centres that share the limits. The data centres are this one,
// those of the peers and those of the published upstreams, which all nodes agree on even in a network
// partition. A count is reused for participantsTTL; two concurrent counts do no harm.
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

// demandSums is the demand for one resource on this node, its peers and the other data centres.
type demandSums struct {
	own    float64
	peers  float64
	remote float64
}

// tokenRateQuota returns the node's share of a team's rate, in tokens per second. It is never zero, as
// acquireTeam divides by it.
func (al *Allocator) tokenRateQuota(now time.Time, a *account, t quetzalroad.Team, participants participants) float64 {
	demand := a.sumDemand(now, al.demandLifetime, participants, a.decayedTokenDemand(now), func(d quetzalroad.TeamDemand) float64 { return d.TokensPerSecond })
	return math.Max(al.nodeQuota(float64(t.MaxTokensPerSecond), demand, participants), 1e-3)
}

// concurrencyQuota returns the number of permits that the node may hold for a team: its share of
// the team's limit by demand, which includes the permits already held. Each node may hold at least
// one, so that a team that is new to a node isn't refused there before its demand was reported.
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

// roundingPeriod is how long a node keeps its turn at rounding up.
const roundingPeriod = 5 * time.Second

// roundsUp rotates the fractional permits among the nodes: the share of the periods in
// which a node rounds up equals its fraction.
func (al *Allocator) roundsUp(now time.Time, t quetzalroad.TeamName, fraction float64, participants participants) bool {
	if participants.nodes*participants.dataCentres <= 1 {
		return false
	}
	period := uint64(now.UnixNano() / int64(roundingPeriod))
	h := xxhash.Sum64String(string(al.node.Name)+"/"+string(t)) + period*goldenRatio64
	return float64(h>>11)/(1<<53) < fraction
}

// goldenRatio64 is 2^64 divided by the golden ratio; its multiples spread evenly over the range of a hash.
const goldenRatio64 = 0x9E3779B97F4A7C15

// sumDemand adds up the reported demand that is younger than lifetime, measured by amount.
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

// nodeQuota returns the node's share of a limit. The limit is divided between the data
// centres first: each is guaranteed the static share of an even split, and those that
// haven't reported recently keep their even split whole. The rest is divided by demand.
// The nodes of a data centre divide its quota in the same way.
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

// guaranteed returns the part of a team's limits that is guaranteed to the node.
func (al *Allocator) guaranteed(t quetzalroad.Team, participants participants) guarantee {
	share := al.staticShare / float64(max(1, participants.nodes))
	if participants.dataCentres > 1 {
		share *= al.staticShare / float64(participants.dataCentres)
	}
	return guarantee{tokensPerSecond: share * float64(t.MaxTokensPerSecond), concurrency: share * float64(t.MaxConcurrency)}
}

// divide returns one participant's part of an amount: the static share of evenShare, its
// part in an even split, and the rest in proportion to the demand, or evenly if there is none.
func divide(amount, evenShare, staticShare, own, others float64, participantCount int) float64 {
	if participantCount <= 1 {
		return evenShare
	}
	fixed := staticShare * evenShare
	pool := amount - staticShare*evenShare*float64(participantCount)
	if own+others <= 0 {
		return fixed + pool/float64(participantCount)
	}
	return fixed + pool*own/(own+others)
}

// serviceShardCount is the number of shards of serviceCounters.
const serviceShardCount = 16

// serviceCounters counts the running requests of each service. The zero value is ready for use.
type serviceCounters struct {
	shards [serviceShardCount]serviceShard
}

type serviceShard struct {
	// The padding keeps locks used by different cores in different cache lines.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// running is guarded by mu, allocated on first use, and never negative.
	running map[quetzalroad.ServiceName]int
}

func (c *serviceCounters) shard(s quetzalroad.ServiceName) *serviceShard {
	return &c.shards[xxhash.Sum64String(string(s))%serviceShardCount]
}

// acquire takes one of the node's permits of a service and reports whether one was left. The node's
// quota is an even share of the service's limit, at least one.
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
