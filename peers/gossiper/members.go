package gossiper

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// memberShards is the number of shards of the members.
const memberShards = 8

// member is what is known of another node.
type member struct {
	address quetzalroad.PeerAddress
	// added is when it was first known of, heard when it was last heard of;
	// heard is zero before the first heartbeat.
	added time.Time
	heard time.Time
	// applied is the offset of the state stream it told of.
	applied  quetzalroad.Offset
	stopping bool
	// listed tells that the VM list showed it last time.
	listed bool
	// introduced tells that it was told of the other nodes.
	introduced bool
	// counted tells that its loads and demands count.
	counted bool
	// teams is the demand it told of; empty for other data centres.
	teams []quetzalroad.TeamDemand
}

func (m member) status() quetzalroad.PeerStatus {
	return quetzalroad.PeerStatus{
		Name: m.address.Name, DataCentre: m.address.DataCentre, Address: m.address.Address,
		AppliedOffset: m.applied, LastHeard: m.heard, Stopping: m.stopping,
	}
}

// memberShard holds the members whose name hashes to it.
type memberShard struct {
	mu sync.Mutex
	// members is guarded by mu and made on first use.
	members map[quetzalroad.NodeName]*member
}

// placeSum is a sum of another data centre, with when it came.
type placeSum struct {
	demand quetzalroad.DataCentreDemand
	at     time.Time
	// direct tells that it came from that data centre itself.
	direct bool
}

// members is the set of the other nodes. The zero value is empty.
type members struct {
	shards [memberShards]memberShard
	mu     sync.Mutex
	// places holds the last sum of each other data centre, and trips the last
	// round trip to it. Both are guarded by mu.
	places map[quetzalroad.DataCentre]placeSum
	trips  map[quetzalroad.DataCentre]time.Duration
}

// timed notes a round trip to another data centre.
func (s *members) timed(d quetzalroad.DataCentre, trip time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trips == nil {
		s.trips = make(map[quetzalroad.DataCentre]time.Duration)
	}
	s.trips[d] = trip
}

// unknownTrip stands for a round trip that was not timed yet.
const unknownTrip = 200 * time.Millisecond

// trip gives the last round trip to a data centre.
func (s *members) trip(d quetzalroad.DataCentre) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if trip, ok := s.trips[d]; ok {
		return trip
	}
	return unknownTrip
}

func (s *members) shard(n quetzalroad.NodeName) *memberShard {
	return &s.shards[xxhash.Sum64String(string(n))%memberShards]
}

// with runs f on a member, which is made where make is set.
func (s *members) with(n quetzalroad.NodeName, create bool, f func(m *member)) {
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
		m = &member{address: quetzalroad.PeerAddress{Name: n}, added: time.Now(), applied: quetzalroad.NoOffset}
		sh.members[n] = m
	}
	f(m)
}

// list gives a copy of all members in order of name.
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

func (s *members) heard(now time.Time, h quetzalroad.Heartbeat) {
	s.with(h.From.Name, true, func(m *member) {
		m.address = h.From
		m.heard = now
		m.stopping = h.Stopping
		m.counted = true
		m.teams = h.TeamDemands
		if h.Stopping {
			m.teams = nil
		}
		for _, x := range h.AppliedOffsets {
			if x.Stream == quetzalroad.LogStreamState {
				m.applied = x.Offset
			}
		}
	})
}

// add learns of a node from another's telling.
func (s *members) add(now time.Time, a quetzalroad.PeerAddress) {
	s.with(a.Name, true, func(m *member) {
		if m.heard.IsZero() {
			m.address = a
			m.added = now
		}
	})
}

// listed learns of nodes from the platform's list.
func (s *members) listed(now time.Time, self quetzalroad.NodeName, vms []quetzalroad.VM) {
	shown := make(map[quetzalroad.NodeName]bool)
	for _, v := range vms {
		name := quetzalroad.NodeName(v.Name)
		if v.Role != quetzalroad.RoleNode || name == self {
			continue
		}
		shown[name] = true
		s.add(now, quetzalroad.PeerAddress{Name: name, DataCentre: v.DataCentre, Address: v.Address})
	}
	for _, m := range s.list() {
		s.with(m.address.Name, false, func(m *member) { m.listed = shown[m.address.Name] })
	}
}

func (s *members) introduce(n quetzalroad.NodeName) {
	s.with(n, false, func(m *member) { m.introduced = true })
}

func (s *members) introduced(n quetzalroad.NodeName) bool {
	known := false
	s.with(n, false, func(m *member) {
		known = m.introduced
		m.introduced = true
	})
	return known
}

func (s *members) uncount(n quetzalroad.NodeName) {
	s.with(n, false, func(m *member) {
		m.counted = false
		m.teams = nil
	})
}

func (s *members) remove(n quetzalroad.NodeName) {
	sh := s.shard(n)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.members, n)
}

// addresses lists the nodes that were heard of, and the node itself.
func (s *members) addresses(self quetzalroad.PeerAddress) []quetzalroad.PeerAddress {
	all := []quetzalroad.PeerAddress{self}
	for _, m := range s.list() {
		if !m.heard.IsZero() {
			all = append(all, m.address)
		}
	}
	return all
}

// place keeps the sum of another data centre.
func (s *members) place(now time.Time, p quetzalroad.DataCentreDemand, direct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.places == nil {
		s.places = make(map[quetzalroad.DataCentre]placeSum)
	}
	if p.MeasuredAt.After(s.places[p.DataCentre].demand.MeasuredAt) {
		s.places[p.DataCentre] = placeSum{demand: p, at: now, direct: direct}
	}
}

// direct lists the sums that other data centres told this node itself after a
// time, to be handed on once.
func (s *members) direct(after time.Time) []quetzalroad.DataCentreDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []quetzalroad.DataCentreDemand
	for _, t := range s.places {
		if t.direct && t.at.After(after) {
			all = append(all, t.demand)
		}
	}
	return all
}

// sum adds up the demand of the node's data centre.
func (s *members) sum(now time.Time, lifetime time.Duration, place quetzalroad.DataCentre, own []quetzalroad.TeamDemand) quetzalroad.DataCentreDemand {
	total := make(map[quetzalroad.TeamName]quetzalroad.TeamDemand)
	addTo := func(demand []quetzalroad.TeamDemand) {
		for _, d := range demand {
			have := total[d.Team]
			have.Team = d.Team
			have.TokensPerSecond += d.TokensPerSecond
			have.Running += d.Running
			have.PeakConcurrency += d.PeakConcurrency
			total[d.Team] = have
		}
	}
	addTo(own)
	for _, m := range s.list() {
		if m.address.DataCentre == place && now.Sub(m.heard) < lifetime {
			addTo(m.teams)
		}
	}
	p := quetzalroad.DataCentreDemand{DataCentre: place, MeasuredAt: now}
	for _, d := range total {
		p.TeamDemands = append(p.TeamDemands, d)
	}
	sort.Slice(p.TeamDemands, func(i, j int) bool { return p.TeamDemands[i].Team < p.TeamDemands[j].Team })
	return p
}
