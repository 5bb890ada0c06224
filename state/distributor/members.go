package distributor

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// members are the other nodes of the data centre. The zero value is empty.
type members struct {
	mu sync.Mutex
	// ranked holds them in the order in which they become readers, without this
	// node. It is guarded by mu; the slice is never modified once it is set.
	ranked []quetzalroad.NodeRegistration
	// avoidUntil is when failed readers may be used again, and is guarded by mu.
	avoidUntil map[quetzalroad.NodeName]time.Time
	// failures counts the failed reads from each reader since it last responded, and is guarded by mu.
	failures map[quetzalroad.NodeName]int
	// promotedUntil is until when this node reads the log because another one asked it to.
	promotedUntil time.Time
	// fallbackFailedAt is when the log last failed to respond to this node while it had readers. It
	// has a monotonic clock reading, so that steps of the VM's clock don't matter.
	fallbackFailedAt time.Time
	// nodes holds the names of all nodes of all data centres, this one included, in order; guarded by
	// mu. The slice is never modified once it is set.
	nodes []quetzalroad.NodeName
	// rankedNodes holds the same names in the order of compareNodes; guarded by mu. The slice is never modified once
	// it is set.
	rankedNodes []quetzalroad.NodeName
	// registrations are the last ones that could be decoded, of all nodes, without their evidence; guarded by mu.
	// The slice is never modified once it is set.
	registrations []quetzalroad.NodeRegistration
	// listNext is the position from which to read the list of nodes again; nil before it was first read. It is
	// guarded by mu.
	listNext *quetzalroad.Position
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
	m.forgetAbsentLocked()
	if !m.isKnown {
		m.isKnown = true
		close(m.knownLocked())
	}
}

// forgetAbsentLocked forgets the failures of nodes that are no longer listed. The caller holds mu.
func (m *members) forgetAbsentLocked() {
	listed := make(map[quetzalroad.NodeName]bool, len(m.ranked))
	for _, n := range m.ranked {
		listed[n.Name] = true
	}
	maps.DeleteFunc(m.failures, func(n quetzalroad.NodeName, _ int) bool { return !listed[n] })
	maps.DeleteFunc(m.avoidUntil, func(n quetzalroad.NodeName, _ time.Time) bool { return !listed[n] })
}

// setNodes sets the nodes of all data centres, this one included, and reports whether there is one that was not known
// before.
func (m *members) setNodes(registrations []quetzalroad.NodeRegistration) (grew bool) {
	ranked := namesOf(slices.SortedFunc(slices.Values(registrations), compareNodes))
	nodes := slices.Sorted(slices.Values(ranked))
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.nodes
	m.nodes, m.rankedNodes = nodes, ranked
	return slices.ContainsFunc(nodes, func(n quetzalroad.NodeName) bool {
		_, known := slices.BinarySearch(before, n)
		return !known
	})
}

func namesOf(registrations []quetzalroad.NodeRegistration) []quetzalroad.NodeName {
	names := make([]quetzalroad.NodeName, len(registrations))
	for i, r := range registrations {
		names[i] = r.Name
	}
	return names
}

// listUpdate is the result of a read of the list of nodes.
type listUpdate struct {
	// from is the position that was read from; nil if there was none. complete reports whether the records are the
	// latest of all nodes.
	from     *quetzalroad.Position
	next     quetzalroad.Position
	complete bool
	records  []quetzalroad.KeyedRecord
	// registrations are the decoded records, and undecodable the names of nodes whose record can't be decoded.
	registrations []quetzalroad.NodeRegistration
	undecodable   []quetzalroad.NodeName
}

// listPosition returns the position from which to read the list of nodes again; nil before it was first read.
func (m *members) listPosition() *quetzalroad.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listNext
}

// update applies a read of the list of nodes and returns the registrations of all nodes. A node whose next
// registration can't be decoded keeps its last one. update does nothing if another read was applied since from.
func (m *members) update(u listUpdate) (all []quetzalroad.NodeRegistration, applied bool) {
	replaced := make(map[quetzalroad.NodeName]bool, len(u.records))
	for _, r := range u.records {
		replaced[quetzalroad.NodeName(r.Key)] = true
	}
	for _, n := range u.undecodable {
		replaced[n] = false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listNext != u.from {
		return nil, false
	}
	for _, r := range u.registrations {
		r.Evidence = nil
		all = append(all, r)
	}
	for _, r := range m.registrations {
		wasReplaced, listed := replaced[r.Name]
		if !wasReplaced && (listed || !u.complete) {
			all = append(all, r)
		}
	}
	m.registrations, m.listNext = all, &u.next
	return all, true
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
	m.avoidLocked(n, until)
}

// avoidLocked avoids a reader. The caller holds mu.
func (m *members) avoidLocked(n quetzalroad.NodeName, until time.Time) {
	if m.avoidUntil == nil {
		m.avoidUntil = make(map[quetzalroad.NodeName]time.Time)
	}
	now := time.Now()
	maps.DeleteFunc(m.avoidUntil, func(_ quetzalroad.NodeName, at time.Time) bool { return at.Before(now) })
	m.avoidUntil[n] = until
}

// avoidDurationAfter returns how long to avoid a reader after a number of failed reads in a row. It doubles up to
// longest: a node that was killed stays listed until its registration expires.
func avoidDurationAfter(failures int, initial, longest time.Duration) time.Duration {
	duration := initial
	for i := 1; i < failures && duration < longest; i++ {
		duration *= 2
	}
	return min(duration, longest)
}

// recordFailure avoids a reader that did not respond. Reads that were under way at the same time count once.
func (m *members) recordFailure(n quetzalroad.NodeName, now time.Time, initial, longest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(m.avoidUntil[n]) {
		return
	}
	if m.failures == nil {
		m.failures = make(map[quetzalroad.NodeName]int)
	}
	m.failures[n]++
	m.avoidLocked(n, now.Add(avoidDurationAfter(m.failures[n], initial, longest)))
}

// recordResponse forgets the failures of a reader that responded.
func (m *members) recordResponse(n quetzalroad.NodeName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.failures, n)
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
