package distributor

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/nodemapper"
)

// members are the other nodes of the data centre. The zero value is empty.
type members struct {
	mu sync.Mutex
	// ranked holds them in the order in which they become readers, without this
	// node. It is guarded by mu; the slice is never modified once it is set.
	ranked []quetzalroad.NodeRegistration
	// avoidUntil is when failed readers may be used again, and is guarded by mu.
	avoidUntil map[quetzalroad.NodeName]time.Time
	// promotedUntil is until when this node reads the log because another one asked it to.
	promotedUntil time.Time
	// fallbackFailedAt is when the log last failed to respond to this node while it had readers. It
	// has a monotonic clock reading, so that steps of the VM's clock don't matter.
	fallbackFailedAt time.Time
	// nodes holds the names of all nodes of all data centres, this one included; guarded by mu. The
	// slice is never modified once it is set.
	nodes []quetzalroad.NodeName
	// known is closed once the members have been read, and isKnown is set then. Both are guarded by
	// mu; known is allocated on first use.
	known   chan struct{}
	isKnown bool
	// readAttempted is set once the members and their evidence have been read, or a read has failed.
	readAttempted atomic.Bool
}

// role is a node's part in shared reads. With the zero value it reads for itself only.
type role struct {
	// readsLog reports whether this node reads the log for others.
	readsLog bool
	// readers are the nodes that read the log for this one, the first of them unless it fails.
	readers []quetzalroad.NodeRegistration
}

func (r role) hasReader() bool {
	return len(r.readers) > 0
}

// readerName returns the name of the node that reads the log for this one; empty if there is none.
func (r role) readerName() quetzalroad.NodeName {
	if !r.hasReader() {
		return ""
	}
	return r.readers[0].Name
}

// sharedReadHops is the number of hops from the log, through a reader, to a node.
const sharedReadHops = 2

// hops returns the number of hops from the log to the last node that receives the records that this
// node reads from it.
func (r role) hops() int {
	if r.readsLog {
		return sharedReadHops
	}
	return 1
}

// compareNodes orders nodes by descending capacity and then by the hash of their
// names, so that all nodes agree on the order.
func compareNodes(a, b quetzalroad.NodeRegistration) int {
	return cmp.Or(cmp.Compare(b.ReadCapacity, a.ReadCapacity), cmp.Compare(xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name))))
}

func (m *members) set(others []quetzalroad.NodeRegistration) {
	slices.SortFunc(others, compareNodes)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ranked = others
	if !m.isKnown {
		m.isKnown = true
		close(m.knownLocked())
	}
}

func (m *members) setNodes(nodes []quetzalroad.NodeName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes = nodes
}

func (m *members) knownLocked() chan struct{} {
	if m.known == nil {
		m.known = make(chan struct{})
	}
	return m.known
}

// promote makes this node a reader for a while. Another node asks it only if it can't use the nodes
// that should be readers.
func (m *members) promote(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.promotedUntil = until
}

func (m *members) recordFallbackFailure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fallbackFailedAt = time.Now()
}

// sinceFallbackFailure returns the time since the log last failed; very long if it never did.
func (m *members) sinceFallbackFailure() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.fallbackFailedAt)
}

// areKnown reports whether the members have been read.
func (m *members) areKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isKnown
}

// awaitKnown waits until the members have been read, or a timeout has passed.
func (m *members) awaitKnown(ctx context.Context, timeout time.Duration) error {
	m.mu.Lock()
	known := m.knownLocked()
	m.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-known:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

func (m *members) avoid(n quetzalroad.NodeName, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.avoidUntil == nil {
		m.avoidUntil = make(map[quetzalroad.NodeName]time.Time)
	}
	m.avoidUntil[n] = until
}

// roleOf returns the role of a node. In the order of all nodes, each group of as many as there are to
// be readers is a tier. The nodes of the first tier are readers, and the others are distributed over
// them by hash. If a node avoids all readers of a tier, it turns to the next one, as all others do that
// can't reach them. With fewer than minNodes nodes there are no readers.
func (m *members) roleOf(self quetzalroad.NodeRegistration, minNodes, fanOut int) role {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 1 + len(m.ranked)
	if count < minNodes {
		return role{}
	}
	now := time.Now()
	if now.Before(m.promotedUntil) {
		return role{readsLog: true}
	}
	readerCount := (count + fanOut - 1) / fanOut
	position, _ := slices.BinarySearchFunc(m.ranked, self, compareNodes)
	order := slices.Insert(slices.Clone(m.ranked), position, self)
	for tier := range slices.Chunk(order, readerCount) {
		var readers []quetzalroad.NodeRegistration
		for i := range tier {
			n := tier[(int(xxhash.Sum64String(string(self.Name))%uint64(len(tier)))+i)%len(tier)]
			if n.Name == self.Name {
				return role{readsLog: true}
			}
			if !now.Before(m.avoidUntil[n.Name]) {
				readers = append(readers, n)
			}
		}
		if len(readers) > 0 {
			return role{readers: readers}
		}
	}
	return role{readsLog: true}
}

// maintainMembership periodically writes this node's registration and reads the others. As several nodes
// may start together, it first waits for the registrations of the others.
func (d *Distributor) maintainMembership(ctx context.Context) error {
	var lastWrite time.Time
	delay := d.settleDelay
	for {
		if (time.Since(lastWrite) >= d.registrationTTL/3 || d.hasUnwrittenEvidence()) && d.writeOwnRegistration(ctx) {
			lastWrite = time.Now()
		}
		if err := d.awaitRefresh(ctx, delay); err != nil {
			return err
		}
		d.refreshMembers(ctx)
		delay = d.refreshInterval
		if lastWrite.IsZero() {
			delay = min(delay, d.callTimeout)
		}
	}
}

// awaitRefresh waits for a delay, or until the log responds again.
func (d *Distributor) awaitRefresh(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.refresh:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// writeOwnRegistration writes this node's registration and reports whether it did.
func (d *Distributor) writeOwnRegistration(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	self := d.self
	self.WrittenAt = time.Now()
	digest := d.node.Quarantine.Digest()
	if digest != 0 {
		evidence := d.node.Quarantine.Evidence()
		self.Evidence = &evidence
	}
	value, err := nodemapper.EncodeRegistration(self)
	if err == nil {
		err = d.writer.PutKeyed(ctx, quetzalroad.LogStreamNodes, string(self.Name), value)
	}
	if err != nil {
		d.logger.Warn("failed to write own node registration", "stream", string(quetzalroad.LogStreamNodes), "error", err)
		return false
	}
	d.evidence.writtenDigest.Store(digest)
	return true
}

// deleteOwnRegistration deletes this node's registration when the node stops.
func (d *Distributor) deleteOwnRegistration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	if err := d.writer.PutKeyed(ctx, quetzalroad.LogStreamNodes, string(d.self.Name), nil); err != nil {
		d.logger.Warn("failed to delete own node registration", "stream", string(quetzalroad.LogStreamNodes), "error", err)
	}
}

// decodeRegistrations returns the registrations in the records, without deleted and undecodable ones.
func (d *Distributor) decodeRegistrations(records []quetzalroad.KeyedRecord) []quetzalroad.NodeRegistration {
	var registrations []quetzalroad.NodeRegistration
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		registration, err := nodemapper.DecodeRegistration(r)
		if err != nil {
			d.logger.Warn("ignoring undecodable node registration", "key", r.Key, "offset", int64(r.Offset), "error", err)
			continue
		}
		registrations = append(registrations, registration)
	}
	return registrations
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
	var others []quetzalroad.NodeRegistration
	nodes := []quetzalroad.NodeName{d.self.Name}
	for _, registration := range d.decodeRegistrations(records) {
		d.mergeRegisteredEvidence(registration)
		if registration.Name == d.self.Name || !registration.IsNode() || time.Since(registration.WrittenAt) >= d.registrationTTL {
			continue
		}
		nodes = append(nodes, registration.Name)
		if registration.DataCentre == d.self.DataCentre {
			others = append(others, registration)
		}
	}
	d.members.set(others)
	d.members.setNodes(nodes)
	d.evidence.nextRead.Store(int64(bounds.NextRead))
	ownRole := d.ownRole()
	d.logger.Info("node list refreshed", "data-centre", string(d.self.DataCentre), "others", len(others), "reads", ownRole.readsLog, "reader", string(ownRole.readerName()))
}
