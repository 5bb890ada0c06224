package prioritizer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// room is how much a queue may run, as of one moment.
type room struct {
	// slots is the node's part of the service's slots.
	slots int
	// floor is the node's part of the extra places.
	floor int
}

// roomLocked shares the slots out between the nodes of the data centre: a
// static part evenly, the rest by demand, that of the higher tiers first.
func (q *queue) roomLocked(now time.Time, c quetzalroad.Capacity) room {
	nodes := 1
	var others tierCounts
	for _, p := range q.peers {
		if now.Sub(p.at) >= q.owner.policy.peerLifetime {
			continue
		}
		nodes++
		for i, n := range p.wanted {
			others[i] += n
		}
	}
	total := float64(max(0, c.MaxConcurrency-c.Unattributed))
	floor := math.Ceil(q.owner.policy.floorShare * float64(c.MaxConcurrency))
	if nodes == 1 {
		return room{slots: int(total), floor: int(floor)}
	}
	static := q.owner.policy.staticShare * total
	part := static/float64(nodes) + byDemand(total-static, q.wantedLocked(), others, nodes)
	return room{slots: max(1, int(part)), floor: q.floorPart(now, int(floor), nodes)}
}

// free gives the slots of the data centre that are left by the tiers whose work
// can't be paused, as far as the node knows.
func (q *queue) free(now time.Time, c quetzalroad.Capacity) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	left := c.MaxConcurrency - c.Unattributed
	for i := range q.tiers {
		t := &q.tiers[i]
		if t.preemptible {
			continue
		}
		left -= t.running + t.waiting
		for _, p := range q.peers {
			if now.Sub(p.at) < q.owner.policy.peerLifetime {
				left -= p.wanted[i]
			}
		}
	}
	return max(0, left)
}

// byDemand gives a node's part of a pool: each tier in order takes what it
// wants, shared in proportion to the demand, and what is left is shared
// evenly.
func byDemand(pool float64, own, others tierCounts, nodes int) float64 {
	part := 0.0
	for i := range own {
		wanted := float64(own[i] + others[i])
		if wanted == 0 {
			continue
		}
		taken := min(pool, wanted)
		part += taken * float64(own[i]) / wanted
		pool -= taken
	}
	return part + pool/float64(nodes)
}

// floorTurn is how long a node keeps its turn at the floor.
const floorTurn = 5 * time.Second

// floorPart shares the floor out between nodes in turn, without agreement.
func (q *queue) floorPart(now time.Time, floor, nodes int) int {
	whole := floor / nodes
	rest := floor % nodes
	turn := uint64(now.UnixNano()/int64(floorTurn)) + xxhash.Sum64String(string(q.owner.name))
	if int(turn%uint64(nodes)) < rest {
		whole++
	}
	return whole
}

// runningLocked counts the places held, without the floor's.
func (q *queue) runningLocked() int {
	sum := 0
	for i := range q.tiers {
		sum += q.tiers[i].running
	}
	return sum
}

// swings is how many standard deviations of the demand of the tiers above are
// left free, where the number of their requests scatters like its square root.
const swings = 2

// reserveLocked is the room that a tier leaves to those above it: enough for
// the usual swings of their recent demand, and for work that can't be paused
// also what their recent peak would take beyond what they run.
func (q *queue) reserveLocked(now time.Time, w *waiter, r room) int {
	bound := int(q.owner.policy.reserveShare * float64(r.slots))
	sum := 0
	for i := quetzalroad.Tier(0); i < w.tier(); i++ {
		t := &q.tiers[i]
		peak := t.peakNow(now)
		need := int(math.Ceil(swings * math.Sqrt(peak)))
		if !w.request.Profile.Preemptible {
			need = max(need, int(peak)-t.running)
		}
		sum += min(need, bound)
	}
	return min(sum, bound)
}
