package gossiper

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// memberShardCount is the number of independently locked shards.
const memberShardCount = 8

// member is the state kept for another node.
type member struct {
	address quetzalroad.PeerAddress
	// discoveredAt is when the VM list or a peer last listed the node before its
	// first heartbeat. lastHeard is the time of its last heartbeat, or zero.
	discoveredAt time.Time
	lastHeard    time.Time
	// appliedOffset is its last reported offset in the state stream.
	appliedOffset quetzalroad.Offset
	stopping      bool
	// inVMList reports whether the last VM list showed it.
	inVMList bool
	// sentKnownPeers reports whether it was sent the list of known peers.
	sentKnownPeers bool
	// loadsCounted reports whether its loads and demands are used.
	loadsCounted bool
	// teamDemands is its last reported demand; empty for remote data centres.
	teamDemands []quetzalroad.TeamDemand
}

func (m member) status() quetzalroad.PeerStatus {
	return quetzalroad.PeerStatus{
		Name: m.address.Name, DataCentre: m.address.DataCentre, Address: m.address.Address,
		AppliedOffset: m.appliedOffset, LastHeard: m.lastHeard, Stopping: m.stopping,
	}
}

// memberShard holds the members whose name hashes to it.
type memberShard struct {
	mu sync.Mutex
	// members is guarded by mu and allocated on first use.
	members map[quetzalroad.NodeName]*member
}

// receivedDemand is the summed demand of a remote data centre.
type receivedDemand struct {
	demand     quetzalroad.DataCentreDemand
	receivedAt time.Time
	// direct reports whether a node of that data centre sent it to this node.
	direct bool
}

// members is the set of the other nodes. The zero value is empty.
type members struct {
	shards [memberShardCount]memberShard
	mu     sync.Mutex
	// demands holds the last demand of each remote data centre, and roundTrips the
	// last round-trip time to it. Both are guarded by mu.
	demands    map[quetzalroad.DataCentre]receivedDemand
	roundTrips map[quetzalroad.DataCentre]time.Duration
}

// recordRoundTrip records the round-trip time to a remote data centre.
func (s *members) recordRoundTrip(d quetzalroad.DataCentre, roundTrip time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roundTrips == nil {
		s.roundTrips = make(map[quetzalroad.DataCentre]time.Duration)
	}
	s.roundTrips[d] = roundTrip
}

// defaultRoundTrip is assumed for a data centre until a round trip has been measured.
const defaultRoundTrip = 200 * time.Millisecond

// roundTrip returns the last round-trip time to a data centre.
func (s *members) roundTrip(d quetzalroad.DataCentre) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if roundTrip, ok := s.roundTrips[d]; ok {
		return roundTrip
	}
	return defaultRoundTrip
}

func (s *members) shard(n quetzalroad.NodeName) *memberShard {
	return &s.shards[xxhash.Sum64String(string(n))%memberShardCount]
}

// update calls f with a member under its shard's lock, adding it first if create is set.
func (s *members) update(n quetzalroad.NodeName, create bool, f func(m *member)) {
	sh := s.shard(n)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	m := sh.members[n]
	if m == nil {
		if !create {
			return
		}
		if sh.members == nil {
			sh.members = make(map[quetzalroad.NodeName]*member)
		}
		m = &member{address: quetzalroad.PeerAddress{Name: n}, discoveredAt: time.Now(), appliedOffset: quetzalroad.NoOffset}
		sh.members[n] = m
	}
	f(m)
}

// list returns a copy of all members, sorted by name.
func (s *members) list() []member {
	var all []member
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for _, m := range sh.members {
			all = append(all, *m)
		}
		sh.mu.Unlock()
	}
	sort.Slice(all, func(i, j int) bool { return all[i].address.Name < all[j].address.Name })
	return all
}

func (s *members) recordHeartbeat(now time.Time, h quetzalroad.Heartbeat) {
	s.update(h.From.Name, true, func(m *member) {
		m.address = h.From
		m.lastHeard = now
		m.stopping = h.Stopping
		m.loadsCounted = true
		m.teamDemands = h.TeamDemands
		if h.Stopping {
			m.teamDemands = nil
		}
		for _, offset := range h.AppliedOffsets {
			if offset.Stream == quetzalroad.LogStreamState {
				m.appliedOffset = offset.Offset
			}
		}
	})
}

// add adds a node listed by a peer or the VM list; the address in its own heartbeats has priority.
func (s *members) add(now time.Time, a quetzalroad.PeerAddress) {
	s.update(a.Name, true, func(m *member) {
		if m.lastHeard.IsZero() {
			m.address = a
			m.discoveredAt = now
		}
	})
}

// mergeVMList adds the nodes of the VM list and updates inVMList of all members.
func (s *members) mergeVMList(now time.Time, self quetzalroad.NodeName, vms []quetzalroad.VM) {
	inVMList := make(map[quetzalroad.NodeName]bool)
	for _, v := range vms {
		name := quetzalroad.NodeName(v.Name)
		if v.Role != quetzalroad.RoleNode || name == self {
			continue
		}
		inVMList[name] = true
		s.add(now, quetzalroad.PeerAddress{Name: name, DataCentre: v.DataCentre, Address: v.Address})
	}
	for _, m := range s.list() {
		s.update(m.address.Name, false, func(m *member) { m.inVMList = inVMList[m.address.Name] })
	}
}

func (s *members) setSentKnownPeers(n quetzalroad.NodeName) {
	s.update(n, false, func(m *member) { m.sentKnownPeers = true })
}

// swapSentKnownPeers sets sentKnownPeers of a member and returns the previous value.
func (s *members) swapSentKnownPeers(n quetzalroad.NodeName) bool {
	sent := false
	s.update(n, false, func(m *member) {
		sent = m.sentKnownPeers
		m.sentKnownPeers = true
	})
	return sent
}

func (s *members) markStale(n quetzalroad.NodeName) {
	s.update(n, false, func(m *member) {
		m.loadsCounted = false
		m.teamDemands = nil
	})
}

func (s *members) remove(n quetzalroad.NodeName) {
	sh := s.shard(n)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.members, n)
}

// addresses returns the addresses of this node and of all nodes heard so far.
func (s *members) addresses(self quetzalroad.PeerAddress) []quetzalroad.PeerAddress {
	all := []quetzalroad.PeerAddress{self}
	for _, m := range s.list() {
		if !m.lastHeard.IsZero() {
			all = append(all, m.address)
		}
	}
	return all
}

// updateDemand stores the demand of a remote data centre if it is newer.
func (s *members) updateDemand(now time.Time, d quetzalroad.DataCentreDemand, direct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.demands == nil {
		s.demands = make(map[quetzalroad.DataCentre]receivedDemand)
	}
	if d.MeasuredAt.After(s.demands[d.DataCentre].demand.MeasuredAt) {
		s.demands[d.DataCentre] = receivedDemand{demand: d, receivedAt: now, direct: direct}
	}
}

// directDemands returns the demands that this node received after a time from the data centres themselves. Only
// these are forwarded to local peers, so that a demand is not forwarded again by those that receive it.
func (s *members) directDemands(after time.Time) []quetzalroad.DataCentreDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []quetzalroad.DataCentreDemand
	for _, received := range s.demands {
		if received.direct && received.receivedAt.After(after) {
			all = append(all, received.demand)
		}
	}
	return all
}

// sumDemand returns the demand by team of the node itself and of the peers in its
// data centre heard within maxAge.
func (s *members) sumDemand(now time.Time, maxAge time.Duration, dataCentre quetzalroad.DataCentre, local []quetzalroad.TeamDemand) quetzalroad.DataCentreDemand {
	totals := make(map[quetzalroad.TeamName]quetzalroad.TeamDemand)
	addTo := func(demands []quetzalroad.TeamDemand) {
		for _, d := range demands {
			sum := totals[d.Team]
			sum.Team = d.Team
			sum.TokensPerSecond += d.TokensPerSecond
			sum.Running += d.Running
			sum.PeakConcurrency += d.PeakConcurrency
			totals[d.Team] = sum
		}
	}
	addTo(local)
	for _, m := range s.list() {
		if m.address.DataCentre == dataCentre && now.Sub(m.lastHeard) < maxAge {
			addTo(m.teamDemands)
		}
	}
	result := quetzalroad.DataCentreDemand{DataCentre: dataCentre, MeasuredAt: now}
	for _, d := range totals {
		result.TeamDemands = append(result.TeamDemands, d)
	}
	sort.Slice(result.TeamDemands, func(i, j int) bool { return result.TeamDemands[i].Team < result.TeamDemands[j].Team })
	return result
}
