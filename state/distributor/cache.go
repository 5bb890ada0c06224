package distributor

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// streamCache holds the records of a stream that this node read from the log, to
// serve them to other nodes. The zero value is empty.
type streamCache struct {
	// decode decodes the registration of an upstream, which is often written again with nothing but another
	// sequence number; if nil, every record counts as a change.
	decode func(quetzalroad.KeyedRecord) (quetzalroad.UpstreamRegistration, error)
	// failing is set while reads of the stream from the log fail.
	failing atomic.Bool

	mu sync.Mutex
	// The fields below are guarded by mu. latest holds the last record of each key that was a
	// change; one without a value is a deletion. It is nil before the first load and after a gap.
	latest map[string]quetzalroad.KeyedRecord
	// decoded holds the registrations in latest that could be decoded, since the first rewrite of each.
	decoded map[string]quetzalroad.UpstreamRegistration
	// lastChange is the highest offset in latest.
	lastChange quetzalroad.Offset
	// The cache holds all changes in [earliest, nextRead) of an epoch of the log.
	epoch              quetzalroad.Epoch
	earliest, nextRead quetzalroad.Offset
	// inheritedEnd is the offset below which records may come from the copy with which the epoch began.
	// inherited holds the keys of a restored log of which no record was read since.
	inheritedEnd quetzalroad.Offset
	inherited    map[string]bool
	// confirmedAt is the last time at which the log had no records beyond nextRead.
	confirmedAt boottimer.Instant
}

// continuesAt reports whether adding the records from a position on leaves no gap.
func (c *streamCache) continuesAt(from quetzalroad.Position) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest != nil && c.next() == from
}

// next returns the position at which the cache ends. The caller holds mu.
func (c *streamCache) next() quetzalroad.Position {
	return quetzalroad.Position{Epoch: c.epoch, Offset: c.nextRead}
}

// load replaces the contents by the latest record of every key, read up to a position.
func (c *streamCache) load(records []quetzalroad.KeyedRecord, next quetzalroad.Position, sentAt boottimer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	restored := c.epoch != 0 && next.Epoch != c.epoch
	if next.Epoch != c.epoch {
		c.inheritedEnd = next.Offset
		c.inherited = make(map[string]bool)
	}
	c.latest = make(map[string]quetzalroad.KeyedRecord, len(records))
	c.decoded = make(map[string]quetzalroad.UpstreamRegistration, len(records))
	c.lastChange = next.Offset
	for _, r := range records {
		c.latest[r.Key] = r
		if restored {
			c.inherited[r.Key] = true
		}
	}
	c.epoch, c.earliest, c.nextRead = next.Epoch, next.Offset, next.Offset
	c.confirmedAt = sentAt
}

// add adds records that were read from a position on. If that leaves a gap, the
// cache is cleared and refuses reads until it is loaded again.
func (c *streamCache) add(from quetzalroad.Position, records []quetzalroad.KeyedRecord, bounds quetzalroad.StreamBounds, sentAt boottimer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil || from != c.next() {
		c.latest = nil
		return
	}
	for _, r := range records {
		before, known := c.latest[r.Key]
		if known && !c.inherited[r.Key] && c.unchanged(before, r) {
			continue
		}
		delete(c.inherited, r.Key)
		c.latest[r.Key] = r
		c.lastChange = r.Offset
	}
	c.nextRead = bounds.NextRead
	if c.nextRead >= bounds.End {
		c.confirmedAt = sentAt
	}
}

// unchanged reports whether a record repeats the previous one of its key. The caller holds mu.
func (c *streamCache) unchanged(before, after quetzalroad.KeyedRecord) bool {
	if before.Value == nil || after.Value == nil {
		delete(c.decoded, after.Key)
		return before.Value == nil && after.Value == nil
	}
	if c.decode == nil {
		return false
	}
	previous, known := c.decoded[before.Key]
	if !known {
		var err error
		previous, err = c.decode(before)
		known = err == nil
	}
	next, err := c.decode(after)
	if err != nil {
		delete(c.decoded, after.Key)
		return false
	}
	c.decoded[after.Key] = next
	return known && previous.Upstream == next.Upstream && previous.StartedAt.Equal(next.StartedAt) && previous.LeavesAt.Equal(next.LeavesAt)
}

// holdsFrom reports whether the cache holds all changes from a position on. Nodes of builds that know no
// epochs leave the epoch out. The caller holds mu.
func (c *streamCache) holdsFrom(from quetzalroad.Position) bool {
	switch from.Epoch {
	case c.epoch:
		return from.Offset >= c.earliest
	case 0:
		return from.Offset >= c.earliest && from.Offset <= c.nextRead
	}
	return false
}

// read returns the changes from a position on or, for NoOffset, the latest record of every key.
func (c *streamCache) read(from quetzalroad.Position) quetzalroad.SharedReadResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	complete := from.Offset == quetzalroad.NoOffset
	switch {
	case c.latest == nil:
		return quetzalroad.SharedReadResponse{Status: quetzalroad.SharedReadRefused}
	case !complete && !c.holdsFrom(from):
		return quetzalroad.SharedReadResponse{Status: quetzalroad.SharedReadTrimmed, Epoch: c.epoch}
	}
	response := quetzalroad.SharedReadResponse{
		Status: quetzalroad.SharedReadOK, Epoch: c.epoch, NextRead: c.nextRead, InheritedEnd: c.inheritedEnd, Age: c.confirmedAt.Age(),
	}
	if !complete && from.Offset > c.lastChange {
		return response
	}
	for _, r := range c.latest {
		if (complete && r.Value != nil) || (!complete && r.Offset >= from.Offset) {
			response.Records = append(response.Records, r)
		}
	}
	slices.SortFunc(response.Records, func(a, b quetzalroad.KeyedRecord) int { return int(a.Offset - b.Offset) })
	return response
}
