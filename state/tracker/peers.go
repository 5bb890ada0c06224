package tracker

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// UpdatePeer implements quetzalroad.LoadTracker. The peer has no work on
// upstreams that loads leaves out.
func (t *Tracker) UpdatePeer(n quetzalroad.NodeName, received time.Time, loads []quetzalroad.UpstreamLoad) {
	if _, known := t.reportingPeers.Swap(n, received); !known {
		t.reportingCount.Add(1)
	}
	listed := make(map[quetzalroad.UpstreamName]bool, len(loads))
	for _, l := range loads {
		listed[l.Upstream] = true
		t.withState(l.Upstream, func(s *upstreamState) {
			s.setPeerRunning(n, received, l.Running)
			s.observePeerLatency(received, l.InterTokenLatency)
		})
	}
	t.clearPeer(n, received, listed)
}

// localLatencyPrecedence is how long a local sample takes precedence over a peer's.
const localLatencyPrecedence = 300 * time.Millisecond

// observePeerLatency updates the inter-token latency from a peer's sample, unless
// this node has a recent one of its own.
func (s *upstreamState) observePeerLatency(received time.Time, latency time.Duration) {
	if latency <= 0 || received.Sub(s.interTokenAt) < localLatencyPrecedence {
		return
	}
	s.interTokenLatency = movingAverage(s.interTokenLatency, latency, received.Sub(s.peerLatencyAt))
	s.peerLatencyAt = received
}

// RemovePeer implements quetzalroad.LoadTracker.
func (t *Tracker) RemovePeer(n quetzalroad.NodeName) {
	if _, known := t.reportingPeers.LoadAndDelete(n); known {
		t.reportingCount.Add(-1)
	}
	t.clearPeer(n, time.Now(), nil)
}

func (t *Tracker) clearPeer(n quetzalroad.NodeName, now time.Time, except map[quetzalroad.UpstreamName]bool) {
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for u, s := range sh.states {
			if !except[u] {
				s.setPeerRunning(n, now, 0)
			}
		}
		sh.mu.Unlock()
	}
}

func (s *upstreamState) setPeerRunning(n quetzalroad.NodeName, now time.Time, running int) {
	delta := running - s.runningByPeer[n]
	if delta == 0 {
		return
	}
	s.peerRunning += delta
	s.history.add(now, delta)
	if running == 0 {
		delete(s.runningByPeer, n)
		return
	}
	if s.runningByPeer == nil {
		s.runningByPeer = make(map[quetzalroad.NodeName]int)
	}
	s.runningByPeer[n] = running
}

// LocalLoads implements quetzalroad.LoadTracker. It lists the upstreams where this
// node has attempts or recently observed a latency.
func (t *Tracker) LocalLoads(now time.Time) []quetzalroad.UpstreamLoad {
	var loads []quetzalroad.UpstreamLoad
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for u, s := range sh.states {
			l := quetzalroad.UpstreamLoad{Upstream: u, Running: s.localRunning}
			if now.Sub(s.interTokenAt) < sentLatencyMaxAge {
				l.InterTokenLatency = s.interTokenLatency
			}
			if l.Running > 0 || l.InterTokenLatency > 0 {
				loads = append(loads, l)
			}
		}
		sh.mu.Unlock()
	}
	return loads
}

// sentLatencyMaxAge is the age up to which a local latency is sent to peers.
const sentLatencyMaxAge = 2 * time.Second
