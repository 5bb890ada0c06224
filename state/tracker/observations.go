package tracker

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// LocalObservations implements quetzalroad.LoadTracker. It leaves out what a node learnt from peers, so
// that nothing is passed around for longer than it is true.
func (t *Tracker) LocalObservations(now time.Time) []quetzalroad.UpstreamObservation {
	var observations []quetzalroad.UpstreamObservation
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for u, s := range sh.states {
			if o, ok := s.observation(now, max(t.reportTTL, t.occupancyTTL)); ok {
				o.Upstream = u
				observations = append(observations, o)
			}
		}
		sh.mu.Unlock()
	}
	return observations
}

func (s *upstreamState) observation(now time.Time, maxAge time.Duration) (quetzalroad.UpstreamObservation, bool) {
	var o quetzalroad.UpstreamObservation
	if s.interTokenLatency > 0 && now.Sub(s.interTokenAt) < sentLatencyMaxAge {
		o.InterTokenLatency = s.interTokenLatency
	}
	age := now.Sub(s.report.MeasuredAt)
	hasReport := !s.reportedAt.IsZero() && !s.reportFromPeer && age < maxAge
	if hasReport {
		o.Occupancy, o.ReportAge = s.report.Running+s.report.Waiting, max(age, 1)
	}
	return o, hasReport || o.InterTokenLatency > 0
}

// UpdatePeerObservations implements quetzalroad.LoadTracker. It ignores upstreams that this node doesn't
// know, as their names may come from an older view.
func (t *Tracker) UpdatePeerObservations(received time.Time, observations []quetzalroad.UpstreamObservation) {
	for _, o := range observations {
		if _, known := t.directory.Upstream(o.Upstream); !known {
			continue
		}
		t.withState(o.Upstream, func(s *upstreamState) {
			s.observePeerLatency(received, o.InterTokenLatency)
			if o.ReportAge > 0 {
				r := quetzalroad.LoadReport{MeasuredAt: received.Add(-o.ReportAge), Running: o.Occupancy}
				s.reportFromPeer = s.updateReport(received, r, t.reportTTL) || s.reportFromPeer
			}
		})
	}
}
