package distributor

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/nodemapper"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

// members are the other nodes of the data centre. The zero value is empty.
type members struct {
	mu sync.Mutex
	// ranked holds them in the order in which they become readers, without this
	// node. It is guarded by mu; the slice is never modified once it is set.
	ranked []quetzalroad.NodeRegistration
	// avoidUntil is when failed readers may be used again, and is guarded by mu.
	avoidUntil map[quetzalroad.NodeName]time.Time
}

// role is a node's part in shared reads. With the zero value it reads for itself only.
type role struct {
	// readsLog reports whether this node reads the log for others.
	readsLog bool
	// reader is the node that reads the log for this one; its name is empty if there is none.
	reader quetzalroad.NodeRegistration
}

func (r role) hasReader() bool {
	return r.reader.Name != ""
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
}

func (m *members) avoid(n quetzalroad.NodeName, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.avoidUntil == nil {
		m.avoidUntil = make(map[quetzalroad.NodeName]time.Time)
	}
	m.avoidUntil[n] = until
}

// roleOf returns the role of a node: of the nodes that aren't avoided, the first
// ones are readers, and the others are distributed over them by hash. With fewer than
// minNodes nodes there are no readers.
func (m *members) roleOf(self quetzalroad.NodeRegistration, minNodes, fanOut int) role {
	m.mu.Lock()
	defer m.mu.Unlock()
	if 1+len(m.ranked) < minNodes {
		return role{}
	}
	now := time.Now()
	readerCount := (len(m.ranked) + fanOut) / fanOut
	var readers []quetzalroad.NodeRegistration
	for _, n := range m.ranked {
		if len(readers) == readerCount {
			break
		}
		if now.Before(m.avoidUntil[n.Name]) {
			continue
		}
		if compareNodes(self, n) < 0 {
			return role{readsLog: true}
		}
		readers = append(readers, n)
	}
	if len(readers) < readerCount {
		return role{readsLog: true}
	}
	return role{reader: readers[xxhash.Sum64String(string(self.Name))%uint64(readerCount)]}
}

// maintainMembership periodically writes this node's registration and reads the others.
func (d *Distributor) maintainMembership(ctx context.Context) error {
	var lastWrite time.Time
	for iteration := 0; ; iteration++ {
		if time.Since(lastWrite) >= d.registrationTTL/3 && d.writeOwnRegistration(ctx) {
			lastWrite = time.Now()
		}
		d.refreshMembers(ctx)
		delay := d.refreshInterval
		if iteration == 0 {
			delay = d.settleDelay
		}
		if lastWrite.IsZero() {
			delay = min(delay, d.callTimeout)
		}
		if err := sleeper.Sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// writeOwnRegistration writes this node's registration and reports whether it did.
func (d *Distributor) writeOwnRegistration(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	self := d.self
	self.WrittenAt = time.Now()
	value, err := nodemapper.EncodeRegistration(self)
	if err == nil {
		err = d.writer.PutKeyed(ctx, quetzalroad.LogStreamNodes, string(self.Name), value)
	}
	if err != nil {
		d.logger.Warn("failed to write own node registration", "stream", string(quetzalroad.LogStreamNodes), "error", err)
	}
	return err == nil
}

// deleteOwnRegistration deletes this node's registration when the node stops.
func (d *Distributor) deleteOwnRegistration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	if err := d.writer.PutKeyed(ctx, quetzalroad.LogStreamNodes, string(d.self.Name), nil); err != nil {
		d.logger.Warn("failed to delete own node registration", "stream", string(quetzalroad.LogStreamNodes), "error", err)
	}
}

// refreshMembers reads the registrations of the other nodes of the data centre. If the
// read fails, the known ones are kept.
func (d *Distributor) refreshMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	records, _, err := d.log.ReadLatest(ctx, quetzalroad.LogStreamNodes)
	if err != nil {
		d.logger.Warn("failed to read node registrations", "stream", string(quetzalroad.LogStreamNodes), "error", err)
		return
	}
	var others []quetzalroad.NodeRegistration
	for _, r := range records {
		registration, err := nodemapper.DecodeRegistration(r)
		if err != nil {
			d.logger.Warn("ignoring undecodable node registration", "key", r.Key, "offset", int64(r.Offset), "error", err)
			continue
		}
		if registration.Name != d.self.Name && registration.DataCentre == d.self.DataCentre && time.Since(registration.WrittenAt) < d.registrationTTL {
			others = append(others, registration)
		}
	}
	d.members.set(others)
	ownRole := d.members.roleOf(d.self, d.minNodes, d.fanOut)
	d.logger.Info("node list refreshed", "data-centre", string(d.self.DataCentre), "others", len(others), "reads", ownRole.readsLog, "reader", string(ownRole.reader.Name))
}
