package distributor

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/nodemapper"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

// listResult is the result of a read of the list of nodes.
type listResult int

const (
	// listFailed means that the list was not read, listGrew that it has nodes that were not known before.
	listFailed listResult = iota
	listGrew
	listUnchanged
)

// readerRefreshes is how often a node that has a reader reads the list of nodes in the interval of the others. Its
// list is as old as that of the reader, and the read costs no call of the log.
const readerRefreshes = 4

// refreshSchedule decides when the list of nodes is read. All nodes of a fleet may start together, and the log appends
// their registrations one at a time, so that the first lists are incomplete: the delay doubles, from retryDelay at
// least, and reaches interval once the list has stopped growing. After the first failed read it starts again.
type refreshSchedule struct {
	delay      time.Duration
	retryDelay time.Duration
	lastResult listResult
}

// advance sets the delay until the next read, after one that ended some time after the one before. A read that was
// requested meanwhile comes in addition to the schedule.
func (s *refreshSchedule) advance(elapsed, interval time.Duration, result listResult) {
	failedBefore := s.lastResult == listFailed
	s.lastResult = result
	if elapsed < s.delay/2 {
		return
	}
	next, longest := max(2*s.delay, s.retryDelay), interval/4
	switch {
	case result == listFailed && !failedBefore:
		s.delay = min(s.retryDelay, interval)
	case result == listGrew:
		s.delay = min(next, longest)
	case next > longest:
		s.delay = interval
	default:
		s.delay = next
	}
}

// jitter changes a delay by up to an eighth, so that nodes that started together don't call in step.
func jitter(delay time.Duration) time.Duration {
	return delay - delay/8 + rand.N(delay/4+1)
}

// maintainMembership periodically writes this node's registration and reads the others. As several nodes
// may start together, it first waits for the registrations of the others.
func (d *Distributor) maintainMembership(ctx context.Context) error {
	var lastWrite time.Time
	schedule := refreshSchedule{delay: d.settleDelay, retryDelay: d.callTimeout, lastResult: listUnchanged}
	for {
		if (time.Since(lastWrite) >= d.registrationTTL/3 || d.hasUnwrittenEvidence()) && d.writeOwnRegistration(ctx) {
			lastWrite = time.Now()
		}
		waitStart := time.Now()
		restored, err := d.awaitRefresh(ctx, jitter(schedule.delay))
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
		result := d.refreshMembers(ctx)
		schedule.advance(time.Since(waitStart), d.ownRefreshInterval(), result)
		if lastWrite.IsZero() {
			schedule.delay = min(schedule.delay, d.callTimeout)
		}
	}
}

// ownRefreshInterval returns the interval between two reads of the list of nodes by this node.
func (d *Distributor) ownRefreshInterval() time.Duration {
	if d.ownRole().hasReader() {
		return d.refreshInterval / readerRefreshes
	}
	return d.refreshInterval
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

// lastByKey returns the last record of every key.
func lastByKey(records []quetzalroad.KeyedRecord) []quetzalroad.KeyedRecord {
	seen := make(map[string]bool, len(records))
	var last []quetzalroad.KeyedRecord
	for _, r := range slices.Backward(records) {
		if !seen[r.Key] {
			seen[r.Key] = true
			last = append(last, r)
		}
	}
	return last
}

// readRegistrations reads what changed on the stream of nodes from a position on or, if that is nil or no longer
// available, the latest record of every node. complete reports the latter.
func (d *Distributor) readRegistrations(ctx context.Context, next *quetzalroad.Position) (records []quetzalroad.KeyedRecord, bounds quetzalroad.StreamBounds, complete bool, err error) {
	if next != nil {
		records, bounds, err = d.ReadKeyed(ctx, quetzalroad.LogStreamNodes, *next, 0)
		partial := err == nil && bounds.NextRead < bounds.End
		if !partial && (err == nil || !isReload(err)) {
			return records, bounds, false, err
		}
	}
	records, bounds, err = d.ReadLatest(ctx, quetzalroad.LogStreamNodes)
	return records, bounds, true, err
}

// refreshMembers reads the registrations of the other nodes of the data centre, through a reader if
// there is one. If the read fails, the known ones are kept.
func (d *Distributor) refreshMembers(ctx context.Context) listResult {
	from := d.members.listPosition()
	ctx, cancel := context.WithTimeout(ctx, d.loadTimeout+d.callTimeout)
	defer cancel()
	defer d.members.readAttempted.Store(true)
	records, bounds, complete, err := d.readRegistrations(ctx, from)
	if err != nil {
		d.logger.Warn("failed to read node registrations", "stream", string(quetzalroad.LogStreamNodes), "error", err)
		return listFailed
	}
	records = lastByKey(records)
	registrations, undecodable := d.decodeRegistrations(records)
	for _, registration := range registrations {
		d.mergeRegisteredEvidence(registration)
	}
	d.setEvidencePosition(bounds)
	if !d.listEpoch.CompareAndSwap(0, uint64(bounds.Epoch)) && d.listEpoch.Load() != uint64(bounds.Epoch) {
		// The nodes have yet to register again.
		d.logger.Info("keeping the known nodes, as the log was restored", "epoch", uint64(bounds.Epoch), "known", d.listEpoch.Load())
		return listUnchanged
	}
	update := listUpdate{from: from, next: bounds.Next(), complete: complete, records: records, registrations: registrations, undecodable: undecodable}
	registrations, applied := d.members.update(update)
	if !applied {
		return listUnchanged
	}
	return d.setMembers(registrations)
}

// setMembers sets the members to the nodes whose registrations have not expired.
func (d *Distributor) setMembers(registrations []quetzalroad.NodeRegistration) listResult {
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
	grew := d.members.setNodes(nodes)
	ownRole := d.ownRole()
	d.logger.Info("node list refreshed", "data-centre", string(d.self.DataCentre), "others", len(others), "reads", ownRole.readsLog, "reader", string(ownRole.readerName()))
	if grew {
		return listGrew
	}
	return listUnchanged
}
