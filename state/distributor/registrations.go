package distributor

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/nodemapper"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

// maintainMembership periodically writes this node's registration and reads the others. As several nodes
// may start together, it first waits for the registrations of the others.
func (d *Distributor) maintainMembership(ctx context.Context) error {
	var lastWrite time.Time
	delay := d.settleDelay
	for {
		if (time.Since(lastWrite) >= d.registrationTTL/3 || d.hasUnwrittenEvidence()) && d.writeOwnRegistration(ctx) {
			lastWrite = time.Now()
		}
		restored, err := d.awaitRefresh(ctx, delay)
		if err != nil {
			return err
		}
		if restored {
			lastWrite = time.Time{}
			written, err := d.registerAgain(ctx)
			if err != nil {
				return err
			}
			if written {
				lastWrite = time.Now()
			}
			d.listEpoch.Store(uint64(d.epochs.Epoch()))
		}
		d.refreshMembers(ctx)
		delay = d.refreshInterval
		if lastWrite.IsZero() {
			delay = min(delay, d.callTimeout)
		}
	}
}

// awaitRefresh waits for a delay, until the log responds again, or until it was restored from an older
// copy, and reports whether it was.
func (d *Distributor) awaitRefresh(ctx context.Context, delay time.Duration) (restored bool, err error) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.refresh:
	case <-d.epochs.Changed():
		return true, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
	select {
	case <-d.epochs.Changed():
		return true, nil
	default:
		return false, nil
	}
}

// registerAgain writes this node's registration, with its evidence, again after it may have been lost with
// the log's latest records, and reports whether it did. The nodes do so at random moments of an interval,
// and read the list of nodes after it: first the readers, then the nodes that read through them.
func (d *Distributor) registerAgain(ctx context.Context) (written bool, err error) {
	delay := time.Duration(rand.Float64() * float64(d.rewriteSpread))
	if err := sleeper.Sleep(ctx, delay); err != nil {
		return false, err
	}
	written = d.writeOwnRegistration(ctx)
	// The nodes behind a reader learn of the restore with their next read.
	rest := d.rewriteSpread - delay + d.pollInterval + d.settleDelay
	if d.ownRole().hasReader() {
		rest += d.settleDelay
	}
	return written, sleeper.Sleep(ctx, rest)
}

// writeOwnRegistration writes this node's registration and reports whether it did.
func (d *Distributor) writeOwnRegistration(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	self := d.self
	self.WrittenAt = time.Now()
	digest, direct := d.node.Quarantine.Digest(), d.node.Quarantine.DirectDigest()
	if digest != 0 {
		evidence := d.node.Quarantine.Evidence()
		self.Evidence = &evidence
	}
	var epoch quetzalroad.Epoch
	value, err := nodemapper.EncodeRegistration(self)
	if err == nil {
		epoch, err = d.writer.PutKeyed(ctx, quetzalroad.LogStreamNodes, string(self.Name), value)
	}
	if err != nil {
		d.logger.Warn("failed to write own node registration", "stream", string(quetzalroad.LogStreamNodes), "error", err)
		return false
	}
	d.logger.Info("wrote own node registration", "stream", string(quetzalroad.LogStreamNodes), "epoch", uint64(epoch))
	d.evidence.writtenDigest.Store(digest)
	d.evidence.writtenDirect.Store(direct)
	return true
}

// deleteOwnRegistration deletes this node's registration when the node stops.
func (d *Distributor) deleteOwnRegistration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	if _, err := d.writer.PutKeyed(ctx, quetzalroad.LogStreamNodes, string(d.self.Name), nil); err != nil {
		d.logger.Warn("failed to delete own node registration", "stream", string(quetzalroad.LogStreamNodes), "error", err)
	}
}

// decodeRegistrations returns the registrations in the records without deleted ones, and the names of the nodes
// whose registrations can't be decoded.
func (d *Distributor) decodeRegistrations(records []quetzalroad.KeyedRecord) (registrations []quetzalroad.NodeRegistration, undecodable []quetzalroad.NodeName) {
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		registration, err := nodemapper.DecodeRegistration(r)
		if err != nil {
			d.logger.Warn("ignoring undecodable node registration", "key", r.Key, "offset", int64(r.Offset), "error", err)
			undecodable = append(undecodable, quetzalroad.NodeName(r.Key))
			continue
		}
		registrations = append(registrations, registration)
	}
	return registrations, undecodable
}

// writtenWithin reports whether a registration was written within a duration before now, or after now, as
// the clocks of VMs differ. One that was written long after now by its own account would never expire.
func writtenWithin(r quetzalroad.NodeRegistration, d time.Duration) bool {
	return time.Since(r.WrittenAt).Abs() < d
}

// refreshMembers reads the registrations of the other nodes of the data centre, through a reader if
// there is one. If the read fails, the known ones are kept.
func (d *Distributor) refreshMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	defer d.members.readAttempted.Store(true)
	records, bounds, err := d.ReadLatest(ctx, quetzalroad.LogStreamNodes)
	if err != nil {
		d.logger.Warn("failed to read node registrations", "stream", string(quetzalroad.LogStreamNodes), "error", err)
		return
	}
	registrations, undecodable := d.decodeRegistrations(records)
	for _, registration := range registrations {
		d.mergeRegisteredEvidence(registration)
	}
	d.setEvidencePosition(bounds)
	if !d.listEpoch.CompareAndSwap(0, uint64(bounds.Epoch)) && d.listEpoch.Load() != uint64(bounds.Epoch) {
		// The nodes have yet to register again.
		d.logger.Info("keeping the known nodes, as the log was restored", "epoch", uint64(bounds.Epoch), "known", d.listEpoch.Load())
		return
	}
	registrations = append(registrations, d.members.lastRegistrations(undecodable)...)
	d.members.setRegistrations(registrations)
	var others []quetzalroad.NodeRegistration
	nodes := []quetzalroad.NodeRegistration{d.self}
	for _, registration := range registrations {
		if registration.Name == d.self.Name || !registration.IsNode() || !writtenWithin(registration, d.registrationTTL) {
			continue
		}
		nodes = append(nodes, registration)
		if registration.DataCentre == d.self.DataCentre {
			others = append(others, registration)
		}
	}
	d.members.set(others)
	d.members.setNodes(nodes)
	ownRole := d.ownRole()
	d.logger.Info("node list refreshed", "data-centre", string(d.self.DataCentre), "others", len(others), "reads", ownRole.readsLog, "reader", string(ownRole.readerName()))
}
