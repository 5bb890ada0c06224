// Package sender sends interactive work that its own data centre has no room
// for to the upstreams of another one, as long as the way there leaves enough
// of the target. Each node uses a part of the room that the other data centre
// told of, so that nodes which don't know of each other's sending don't
// overfill it together.
package sender

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotSpiller, Name: "sender", Default: true,
		New: func() kernel.Component { return new(Sender) },
	})
}

// shardCount is the number of shards of the rooms.
const shardCount = 16

// room is what another data centre told of a service.
type room struct {
	taken time.Time
	trip  time.Duration
	free  int
}

// rooms is what a node knows of one service.
type rooms struct {
	// places holds the last word of each data centre.
	places map[quetzalroad.DataCentre]room
	// sent counts the node's requests under way in each.
	sent map[quetzalroad.DataCentre]int
}

// shard holds the services that hash to it.
type shard struct {
	mu sync.Mutex
	// services is guarded by mu and made on first use.
	services map[quetzalroad.ServiceName]*rooms
}

// Sender is the part that spills.
type Sender struct {
	node      *kernel.Node
	use       float64
	tripShare float64
	lifetime  time.Duration
	shards    [shardCount]shard
}

// Declare implements kernel.Component.
func (s *Sender) Declare(section *configloader.Section) {
	section.Float("use", &s.use, 1, 0, 1, "Part of the room told by another data centre that all others together use.")
	section.Float("trip-share", &s.tripShare, 0.25, 0, 1, "Largest part of a request's target that the round trip may take.")
	section.Duration("lifetime", &s.lifetime, 8*time.Second, 100*time.Millisecond, 10*time.Minute, "How long what a data centre told counts.")
}

// Build implements kernel.Component.
func (s *Sender) Build(n *kernel.Node) error {
	s.node = n
	n.Spiller = s
	return nil
}

// with runs f on what is known of a service, under its shard's lock.
func (s *Sender) with(name quetzalroad.ServiceName, f func(r *rooms)) {
	sh := &s.shards[xxhash.Sum64String(string(name))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.services == nil {
		sh.services = make(map[quetzalroad.ServiceName]*rooms)
	}
	r := sh.services[name]
	if r == nil {
		r = &rooms{places: make(map[quetzalroad.DataCentre]room), sent: make(map[quetzalroad.DataCentre]int)}
		sh.services[name] = r
	}
	f(r)
}

// UpdateDataCentre implements quetzalroad.Spiller.
func (s *Sender) UpdateDataCentre(d quetzalroad.DataCentre, taken time.Time, trip time.Duration, told []quetzalroad.ServiceHeadroom) {
	for _, t := range told {
		s.with(t.Service, func(r *rooms) {
			if taken.After(r.places[d].taken) {
				r.places[d] = room{taken: taken, trip: trip, free: t.Free}
			}
		})
	}
}

// Spill implements quetzalroad.Spiller. Only interactive, idempotent work
// leaves its data centre: the rest can wait, or must not depend on far links.
func (s *Sender) Spill(now time.Time, r *quetzalroad.Request) ([]quetzalroad.Upstream, quetzalroad.Admission) {
	if !r.Profile.Interactive || !r.Idempotent {
		return nil, nil
	}
	d, ok := s.pick(now, r)
	if !ok {
		return nil, nil
	}
	var there []quetzalroad.Upstream
	for _, u := range s.node.Directory.UpstreamsOf(r.Service.Name) {
		if u.DataCentre == d && !u.Draining && !s.node.Drainer.HasPendingDrain(u.Name) && s.usable(now, u) {
			there = append(there, u)
		}
	}
	p := &place{sender: s, service: r.Service.Name, dataCentre: d}
	if len(there) == 0 {
		p.Release(0)
		return nil, nil
	}
	return there, p
}

func (s *Sender) usable(now time.Time, u quetzalroad.Upstream) bool {
	e := s.node.LoadTracker.Estimate(u.Name, now)
	return !e.Leaving && !e.Suspect
}

// pick takes a place in the data centre with the most room for this node.
func (s *Sender) pick(now time.Time, r *quetzalroad.Request) (quetzalroad.DataCentre, bool) {
	nodes := s.nodes()
	limit := time.Duration(s.tripShare * float64(r.Profile.FirstTokenTarget))
	var best quetzalroad.DataCentre
	most := 0.0
	s.with(r.Service.Name, func(known *rooms) {
		for d, told := range known.places {
			if now.Sub(told.taken) > s.lifetime || told.trip > limit {
				continue
			}
			left := s.use*float64(told.free)/float64(nodes) - float64(known.sent[d])
			if left >= 1 && (left > most || left == most && d < best) {
				best, most = d, left
			}
		}
		if best != "" {
			known.sent[best]++
		}
	})
	return best, best != ""
}

// nodes counts the nodes of the deployment but those that have the room.
func (s *Sender) nodes() int {
	count := 1
	if s.node.Peers != nil {
		for _, p := range s.node.Peers.Status() {
			if !p.Stopping {
				count++
			}
		}
	}
	return count
}

// place is a place in another data centre.
type place struct {
	sender     *Sender
	service    quetzalroad.ServiceName
	dataCentre quetzalroad.DataCentre
	once       sync.Once
}

// Preempted implements quetzalroad.Admission; interactive work is never paused.
func (*place) Preempted() <-chan struct{} { return nil }

// Resume implements quetzalroad.Admission.
func (*place) Resume(context.Context) error { return nil }

// Release implements quetzalroad.Admission.
func (p *place) Release(int) {
	p.once.Do(func() {
		p.sender.with(p.service, func(r *rooms) { r.sent[p.dataCentre]-- })
	})
}
