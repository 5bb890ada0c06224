package quarantiner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// maxProbes bounds how often a quarantined segment is tried again.
	maxProbes = 3
	// probeBackoff is the factor by which the delay grows from one probe to the next.
	probeBackoff = 10
)

// probe is the state of a quarantined segment's probes. A probe is a request that is sent although its
// segment is quarantined.
type probe struct {
	// sent counts the probes of this node.
	sent int
	// nextAt is when the next one may be sent, and delay the time between it and the one before.
	nextAt time.Time
	delay  time.Duration
	// request is the last probe.
	request quetzalroad.RequestID
}

// updateProbes starts the delay of newly quarantined segments and forgets released ones. The caller
// holds the lock.
func (q *Quarantiner) updateProbes(now time.Time, table *segmentTable) {
	if q.probes == nil {
		q.probes = make(map[string]*probe)
	}
	quarantined := table.quarantined()
	for id := range quarantined {
		if q.probes[id] == nil {
			q.probes[id] = &probe{nextAt: now.Add(q.probeDelay), delay: q.probeDelay}
		}
	}
	for id := range q.probes {
		if quarantined[id].upstreams == 0 {
			delete(q.probes, id)
		}
	}
}

// allowProbe reports whether a request may be sent as a probe of a quarantined segment. Only one node
// sends probes of a segment, one at a time.
func (q *Quarantiner) allowProbe(now time.Time, segment string, id quetzalroad.RequestID) bool {
	if !q.ownsProbes(segment) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.probes[segment]
	if p == nil {
		return false
	}
	if p.sent > 0 && p.request == id {
		return true
	}
	if p.sent >= maxProbes || now.Before(p.nextAt) {
		return false
	}
	p.sent++
	p.request = id
	p.delay *= probeBackoff
	p.nextAt = now.Add(p.delay)
	q.logger.Warn("probing a quarantined segment", "segment", segment, "request-id", string(id), "probe", p.sent)
	return true
}

// untilProbe returns how long it takes at least until a request with a quarantined segment is sent.
func (q *Quarantiner) untilProbe(now time.Time, segment string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.probes[segment]; p != nil && p.sent < maxProbes && now.Before(p.nextAt) {
		return p.nextAt.Sub(now)
	}
	return q.probeDelay
}

// ownsProbes reports whether this node sends the probes of a segment, by rendezvous hashing over the
// nodes that it knows.
func (q *Quarantiner) ownsProbes(segment string) bool {
	if q.node.Fleet == nil {
		return true
	}
	own := probeRank(q.node.Name, segment)
	for _, n := range q.node.Fleet.Nodes() {
		if probeRank(n, segment) > own {
			return false
		}
	}
	return true
}

func probeRank(n quetzalroad.NodeName, segment string) uint64 {
	return xxhash.Sum64String(string(n) + "\x00" + segment)
}
