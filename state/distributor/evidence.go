package distributor

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

// evidenceSharing is the state of the exchange of evidence of losses with other nodes.
//
// A node that has a reader exchanges it with its reader, with its observations. The other nodes write
// theirs to the log with their registrations, and follow those of all data centres during an alert.
// While no upstream exits, that takes no call and no byte.
type evidenceSharing struct {
	// interval is the minimum time between two writes, and between two reads.
	interval time.Duration
	// writtenDirect is the digest of the written evidence without the requests in flight.
	writtenDirect atomic.Uint64
	// readerDigest is the digest that this node's reader sent last, and writtenDigest that of the
	// evidence in this node's registration.
	readerDigest  atomic.Uint64
	writtenDigest atomic.Uint64
	// next is the position from which to follow the stream of nodes; nil before the first read.
	next atomic.Pointer[quetzalroad.Position]
	// following is set while a goroutine follows it.
	following atomic.Bool
}

// evidencePollWait is how long a read waits for the evidence of other nodes.
const evidencePollWait = 4 * time.Second

// attachEvidence adds this node's evidence to observations, unless the other node is known to have it.
func (d *Distributor) attachEvidence(o *quetzalroad.Observations, knownDigest uint64) {
	o.EvidenceDigest = d.node.Quarantine.Digest()
	if o.EvidenceDigest != 0 && o.EvidenceDigest != knownDigest {
		evidence := d.node.Quarantine.Evidence()
		o.Evidence = &evidence
	}
}

func (d *Distributor) mergeEvidence(e *quetzalroad.LossEvidence) {
	if e != nil {
		d.node.Quarantine.Merge(time.Now(), *e)
	}
}

// registeredEvidenceLifetime is the age up to which evidence in the log counts. Nodes that run write
// theirs again more often; that of others may disprove losses that came later.
const registeredEvidenceLifetime = 10 * time.Minute

func (d *Distributor) mergeRegisteredEvidence(r quetzalroad.NodeRegistration) {
	if writtenWithin(r, registeredEvidenceLifetime) {
		d.mergeEvidence(r.Evidence)
	}
}

// hasUnwrittenEvidence reports whether this node has to write its evidence to the log.
func (d *Distributor) hasUnwrittenEvidence() bool {
	digest := d.node.Quarantine.Digest()
	return digest != d.evidence.writtenDigest.Load() && digest != 0 && !d.ownRole().hasReader()
}

// hasUnwrittenLosses reports whether the evidence that this node wrote lacks losses of begun responses.
func (d *Distributor) hasUnwrittenLosses() bool {
	return d.node.Quarantine.DirectDigest() != d.evidence.writtenDirect.Load()
}

// shareEvidence writes this node's evidence whenever it has changed, and follows that of other nodes
// during an alert.
func (d *Distributor) shareEvidence(ctx context.Context) error {
	var follower sync.WaitGroup
	defer follower.Wait()
	for {
		select {
		case <-d.node.Quarantine.Changed():
		case <-ctx.Done():
			return ctx.Err()
		}
		if d.followsEvidence() && d.evidence.following.CompareAndSwap(false, true) {
			follower.Go(func() { d.followEvidence(ctx) })
		}
		// What is learnt meanwhile of requests in flight on other nodes is no reason to write again.
		for written := false; d.hasUnwrittenEvidence() && (!written || d.hasUnwrittenLosses()); {
			delay := d.callTimeout
			if d.writeOwnRegistration(ctx) {
				written, delay = true, d.evidence.interval
			}
			if err := sleeper.Sleep(ctx, delay); err != nil {
				return err
			}
		}
	}
}

// followsEvidence reports whether this node reads the evidence of others from the log now.
func (d *Distributor) followsEvidence() bool {
	return d.node.Quarantine.IsAlert(time.Now()) && !d.ownRole().hasReader()
}

func (d *Distributor) followEvidence(ctx context.Context) {
	defer d.evidence.following.Store(false)
	for d.followsEvidence() {
		delay := d.evidence.interval
		if !d.readEvidence(ctx) {
			delay = d.callTimeout
		}
		if err := sleeper.Sleep(ctx, delay); err != nil {
			return
		}
	}
}

// readEvidence reads the registrations that were written since the last read, and waits for one. It
// reports whether the log responded.
func (d *Distributor) readEvidence(ctx context.Context) bool {
	var from quetzalroad.Position
	if next := d.evidence.next.Load(); next != nil {
		from = *next
	}
	records, bounds, err := d.readLog(ctx, quetzalroad.LogStreamNodes, from, evidencePollWait, d.callTimeout)
	switch {
	case err != nil && isReload(err):
		d.refreshMembers(ctx)
		return true
	case err != nil:
		d.logger.Info("failed to read the evidence of other nodes", "epoch", uint64(from.Epoch), "from", int64(from.Offset), "error", err)
		return false
	}
	registrations, _ := d.decodeRegistrations(records)
	for _, registration := range registrations {
		d.mergeRegisteredEvidence(registration)
	}
	d.setEvidencePosition(bounds)
	return true
}

// setEvidencePosition sets the position from which to follow the stream of nodes.
func (d *Distributor) setEvidencePosition(b quetzalroad.StreamBounds) {
	next := b.Next()
	d.evidence.next.Store(&next)
}

// Nodes implements quetzalroad.Fleet.
func (d *Distributor) Nodes() []quetzalroad.NodeName {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	return d.members.nodes
}

// RankedNodes implements quetzalroad.Fleet.
func (d *Distributor) RankedNodes() []quetzalroad.NodeName {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	return d.members.rankedNodes
}

// PeerAddresses implements quetzalroad.Fleet.
func (d *Distributor) PeerAddresses() []netip.AddrPort {
	d.members.mu.Lock()
	registrations := d.members.registrations
	d.members.mu.Unlock()
	var addresses []netip.AddrPort
	for _, r := range registrations {
		if r.Name != d.self.Name && r.IsNode() && writtenWithin(r, d.registrationTTL) {
			addresses = append(addresses, r.Address)
		}
	}
	return addresses
}

var errNodesUnknown = errors.New("the list of nodes has not been read yet")

// Ready implements quetzalroad.Readiness. With the list of nodes come the requests that must not reach
// upstreams.
func (d *Distributor) Ready() error {
	if !d.members.readAttempted.Load() {
		return errNodesUnknown
	}
	return nil
}
