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

// members are the other nodes of the data centre. The zero value knows none.
type members struct {
	mu sync.Mutex
	// ranked holds them in the order in which they are to read, without this
	// node. It is guarded by mu and not changed once it is set.
	ranked []quetzalroad.NodeRegistration
	// avoidUntil holds until when nodes are not asked, and is guarded by mu.
	avoidUntil map[quetzalroad.NodeName]time.Time
}

// role is what a node does for the others or they for it.
type role struct {
	// readsLog tells that this node reads the log for others.
	readsLog bool
	// reader is the node that reads for this one; without a name where none
	// does.
	reader quetzalroad.NodeRegistration
}

func (r role) hasReader() bool {
	return r.reader.Name != ""
}

// sharedReadHops counts the steps from the log to a node for which another reads.
const sharedReadHops = 2

func (r role) hops() int {
	if r.readsLog {
		return sharedReadHops
	}
	return 1
}

// compareNodes orders nodes by what they can hand on, and by chance among equals, the
// same on all nodes.
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

// roleOf gives the part of a node: of those that aren't avoided the first ones
// read, and the others are spread over them.
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

// maintainMembership tells of this node and looks for the others, now and then.
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

// writeOwnRegistration writes this node's entry.
func (d *Distributor) writeOwnRegistration(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	self := d.self
	self.WrittenAt = time.Now()
	value, err := nodemapper.EncodeEntry(self)
	if err == nil {
		err = d.writer.PutKeyed(ctx, quetzalroad.LogStreamNodes, string(self.Name), value)
	}
	if err != nil {
		d.logger.Warn("own entry not written", "stream", string(quetzalroad.LogStreamNodes), "error", err)
	}
	return err == nil
}

// deleteOwnRegistration takes this node's entry away.
func (d *Distributor) deleteOwnRegistration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	if err := d.writer.PutKeyed(ctx, quetzalroad.LogStreamNodes, string(d.self.Name), nil); err != nil {
		d.logger.Warn("own entry not taken away", "stream", string(quetzalroad.LogStreamNodes), "error", err)
	}
}

// refreshMembers reads the entries of the other nodes of the data centre. Without an answer
// those known stay.
func (d *Distributor) refreshMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	records, _, err := d.log.ReadLatest(ctx, quetzalroad.LogStreamNodes)
	if err != nil {
		d.logger.Warn("other nodes not read", "stream", string(quetzalroad.LogStreamNodes), "error", err)
		return
	}
	var others []quetzalroad.NodeRegistration
	for _, r := range records {
		registration, err := nodemapper.DecodeEntry(r)
		if err != nil {
			d.logger.Warn("node entry unreadable", "key", r.Key, "offset", int64(r.Offset), "error", err)
			continue
		}
		if registration.Name != d.self.Name && registration.DataCentre == d.self.DataCentre && time.Since(registration.WrittenAt) < d.registrationTTL {
			others = append(others, registration)
		}
	}
	d.members.set(others)
	ownRole := d.members.roleOf(d.self, d.minNodes, d.fanOut)
	d.logger.Info("nodes listed", "data-centre", string(d.self.DataCentre), "others", len(others), "reads", ownRole.readsLog, "reader", string(ownRole.reader.Name))
}
