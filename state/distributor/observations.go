package distributor

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// withObservations adds this node's observations to a read of the stream that is read most often.
func (d *Distributor) withObservations(reader quetzalroad.NodeName, q quetzalroad.SharedReadRequest) quetzalroad.SharedReadRequest {
	if q.Stream != quetzalroad.LogStreamOperators {
		return q
	}
	now := time.Now()
	o := d.localObservations(now)
	d.attachEvidence(&o, d.evidence.readerDigest.Load())
	d.attachActivity(&o, reader, now)
	q.Node, q.Observations = d.self.Name, &o
	return q
}

// localObservations returns what this node has recently seen of its own traffic.
func (d *Distributor) localObservations(now time.Time) quetzalroad.Observations {
	var o quetzalroad.Observations
	if d.node.MixTracker != nil {
		o.Mixes = d.node.MixTracker.LocalMix(now)
	}
	if d.node.LoadTracker != nil {
		o.Upstreams = d.node.LoadTracker.LocalObservations(now)
	}
	o.Limits = d.node.Throttler.LocalLimits(now)
	return o
}

// exchangeObservations takes the observations of a node that reads from this one, and returns those
// of this node and of its other readers.
func (d *Distributor) exchangeObservations(from quetzalroad.NodeName, o quetzalroad.Observations) *quetzalroad.Observations {
	now := time.Now()
	d.mergeEvidence(o.Evidence)
	o.Evidence = nil
	d.takeActivity(from, now, &o)
	d.aggregator.Update(from, now, o)
	d.aggregator.Update(d.self.Name, now, d.localObservations(now))
	sum := d.aggregator.Sum(now, from)
	d.attachEvidence(&sum, o.EvidenceDigest)
	return &sum
}

// applyObservations passes the observations of other nodes to the trackers.
func (d *Distributor) applyObservations(o quetzalroad.Observations) {
	now := time.Now()
	d.mergeEvidence(o.Evidence)
	d.evidence.readerDigest.Store(o.EvidenceDigest)
	if d.node.MixTracker != nil {
		d.node.MixTracker.UpdatePeerMix(now, o.Mixes)
	}
	if d.node.LoadTracker != nil {
		d.node.LoadTracker.UpdatePeerObservations(now, o.Upstreams)
	}
	d.node.Throttler.UpdatePeerLimits(now, o.Limits)
}
