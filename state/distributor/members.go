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
	// avoided holds until when nodes are not asked, and is guarded by mu.
	avoided map[quetzalroad.NodeName]time.Time
}

// role is what a node does for the others or they for it.
type role struct {
	// reads tells that this node reads the log for others.
	reads bool
	// reader is the node that reads for this one; without a name where none
	// does.
	reader quetzalroad.NodeRegistration
}

func (r role) follows() bool {
	return r.reader.Name != ""
}

// readHops counts the steps from the log to a node for which another reads.
const readHops = 2

func (r role) hops() int {
	if r.reads {
		return readHops
	}
	return 1
}

// rank orders nodes by what they can hand on, and by chance among equals, the
// same on all nodes.
func rank(a, b quetzalroad.NodeRegistration) int {
	return cmp.Or(cmp.Compare(b.ReadCapacity, a.ReadCapacity), cmp.Compare(xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name))))
}

func (m *members) set(others []quetzalroad.NodeRegistration) {
	slices.SortFunc(others, rank)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ranked = others
}

func (m *members) avoid(n quetzalroad.NodeName, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.avoided == nil {
		m.avoided = make(map[quetzalroad.NodeName]time.Time)
	}
	m.avoided[n] = until
}

// role gives the part of a node: of those that aren't avoided the first ones
// read, and the others are spread over them.
func (m *members) role(self quetzalroad.NodeRegistration, least, fanOut int) role {
	m.mu.Lock()
	defer m.mu.Unlock()
	if 1+len(m.ranked) < least {
		return role{}
	}
	now := time.Now()
	readers := (len(m.ranked) + fanOut) / fanOut
	var first []quetzalroad.NodeRegistration
	for _, n := range m.ranked {
		if len(first) == readers {
			break
		}
		if now.Before(m.avoided[n.Name]) {
			continue
		}
		if rank(self, n) < 0 {
			return role{reads: true}
		}
		first = append(first, n)
	}
	if len(first) < readers {
		return role{reads: true}
	}
	return role{reader: first[xxhash.Sum64String(string(self.Name))%uint64(readers)]}
}

// follow tells of this node and looks for the others, now and then.
func (d *Distributor) follow(ctx context.Context) error {
	var written time.Time
	for round := 0; ; round++ {
		if time.Since(written) >= d.lifetime/3 && d.tell(ctx) {
			written = time.Now()
		}
		d.list(ctx)
		pause := d.listEvery
		if round == 0 {
			pause = d.settle
		}
		if written.IsZero() {
			pause = min(pause, d.callTimeout)
		}
		if err := sleeper.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// tell writes this node's entry.
func (d *Distributor) tell(ctx context.Context) bool {
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

// leave takes this node's entry away.
func (d *Distributor) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	if err := d.writer.PutKeyed(ctx, quetzalroad.LogStreamNodes, string(d.self.Name), nil); err != nil {
		d.logger.Warn("own entry not taken away", "stream", string(quetzalroad.LogStreamNodes), "error", err)
	}
}

// list reads the entries of the other nodes of the data centre. Without an answer
// those known stay.
func (d *Distributor) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	records, _, err := d.log.ReadLatest(ctx, quetzalroad.LogStreamNodes)
	if err != nil {
		d.logger.Warn("other nodes not read", "stream", string(quetzalroad.LogStreamNodes), "error", err)
		return
	}
	var others []quetzalroad.NodeRegistration
	for _, r := range records {
		e, err := nodemapper.DecodeEntry(r)
		if err != nil {
			d.logger.Warn("node entry unreadable", "key", r.Key, "offset", int64(r.Offset), "error", err)
			continue
		}
		if e.Name != d.self.Name && e.DataCentre == d.self.DataCentre && time.Since(e.WrittenAt) < d.lifetime {
			others = append(others, e)
		}
	}
	d.members.set(others)
	role := d.members.role(d.self, d.leastNodes, d.fanOut)
	d.logger.Info("nodes listed", "data-centre", string(d.self.DataCentre), "others", len(others), "reads", role.reads, "reader", string(role.reader.Name))
}
