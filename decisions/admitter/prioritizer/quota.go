package prioritizer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// nodeQuota is the number of requests that the node may run for a service at the moment.
type nodeQuota struct {
	// slots is the node's share of the service's slots.
	slots int
	// floorSlots is the node's share of the additional floor slots.
	floorSlots int
}

// quotaLocked returns the node's quota. The nodes of the data centre divide the static share of the
// slots evenly and the rest by demand, with higher tiers first; each gets at least one slot.
func (q *queue) quotaLocked(now time.Time, c quetzalroad.Capacity) nodeQuota {
	nodes := 1
	var others tierCounts
	for _, peer := range q.peers {
		if now.Sub(peer.receivedAt) >= q.prioritizer.settings.peerLifetime {
			continue
		}
		nodes++
		for i, n := range peer.requests {
			others[i] += n
		}
	}
	total := float64(max(0, c.MaxConcurrency-c.Unattributed))
	floorSlots := math.Ceil(q.prioritizer.settings.floorShare * float64(c.MaxConcurrency))
	if nodes == 1 {
		return nodeQuota{slots: int(total), floorSlots: int(floorSlots)}
	}
	static := q.prioritizer.settings.staticShare * total
	share := static/float64(nodes) + shareByDemand(total-static, q.demandLocked(), others, nodes)
	return nodeQuota{slots: max(1, int(share)), floorSlots: q.floorQuota(now, int(floorSlots), nodes)}
}

// availableSlots returns the slots of the data centre that tiers whose requests can't be preempted
// neither use nor wait for, as far as the node knows.
func (q *queue) availableSlots(now time.Time, c quetzalroad.Capacity) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	available := c.MaxConcurrency - c.Unattributed
	for i := range q.tiers {
		t := &q.tiers[i]
		if t.preemptible {
			continue
		}
		available -= t.running + t.waiting
		for _, peer := range q.peers {
			if now.Sub(peer.receivedAt) < q.prioritizer.settings.peerLifetime {
				available -= peer.requests[i]
			}
		}
	}
	return max(0, available)
}

// shareByDemand returns a node's share of a pool of slots: each tier in order takes
// what it demands, divided in proportion to the demand of the nodes, and the
// remainder is divided evenly.
func shareByDemand(pool float64, own, others tierCounts, nodes int) float64 {
	share := 0.0
	for i := range own {
		demand := float64(own[i] + others[i])
		if demand == 0 {
			continue
		}
		allotted := min(pool, demand)
		share += allotted * float64(own[i]) / demand
		pool -= allotted
	}
	return share + pool/float64(nodes)
}

// floorRotation is how long a node keeps its turn at the remainder of the floor slots.
const floorRotation = 5 * time.Second

// floorQuota returns the node's share of the floor slots. The nodes take turns at the remainder,
// without coordination.
func (q *queue) floorQuota(now time.Time, floorSlots, nodes int) int {
	quota := floorSlots / nodes
	remainder := floorSlots % nodes
	rotation := uint64(now.UnixNano()/int64(floorRotation)) + xxhash.Sum64String(string(q.prioritizer.name))
	if int(rotation%uint64(nodes)) < remainder {
		quota++
	}
	return quota
}

// runningLocked counts the slots held, excluding floor slots.
func (q *queue) runningLocked() int {
	sum := 0
	for i := range q.tiers {
		sum += q.tiers[i].running
	}
	return sum
}

// reserveDeviations is how many standard deviations of the demand of higher tiers are
// reserved. The deviation of a number of requests is taken as its square root.
const reserveDeviations = 2

// reserveLocked returns the slots that a request leaves to higher tiers: enough for the usual
// fluctuations of their recent demand or, if the request can't be preempted, for the part of their
// recent peak that they aren't running now, if that is more. It is at most reserve-share of the quota.
func (q *queue) reserveLocked(now time.Time, w *waiter, quota nodeQuota) int {
	bound := int(q.prioritizer.settings.reserveShare * float64(quota.slots))
	sum := 0
	for i := quetzalroad.Tier(0); i < w.tier(); i++ {
		t := &q.tiers[i]
		peak := t.decayedPeak(now)
		need := int(math.Ceil(reserveDeviations * math.Sqrt(peak)))
		if !w.request.Profile.Preemptible {
			need = max(need, int(peak)-t.running)
		}
		sum += min(need, bound)
	}
	return min(sum, bound)
}
