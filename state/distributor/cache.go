package distributor

import (
	"slices"
	"sync"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// streamCache holds the records of a stream that this node read from the log, to
// serve them to other nodes. The zero value is empty.
type streamCache struct {
	// sameContent reports whether a record repeats the previous one of its key; if
	// nil, every record counts as a change.
	sameContent func(before, after quetzalroad.KeyedRecord) bool

	mu sync.Mutex
	// The fields below are guarded by mu. latest holds the last record of each key that was a
	// change; one without a value is a deletion. It is nil before the first load and after a gap.
	latest map[string]quetzalroad.KeyedRecord
	// The cache holds all changes in [earliest, nextRead).
	earliest, nextRead quetzalroad.Offset
	// confirmedAt is the last time at which the log had no records beyond nextRead.
	confirmedAt boottimer.Instant
}

// continuesAt reports whether adding the records from an offset on leaves no gap.
func (c *streamCache) continuesAt(from quetzalroad.Offset) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest != nil && c.nextRead == from
}

// load replaces the contents by the latest record of every key.
func (c *streamCache) load(records []quetzalroad.KeyedRecord, nextRead quetzalroad.Offset, sentAt boottimer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest = make(map[string]quetzalroad.KeyedRecord, len(records))
	for _, r := range records {
		c.latest[r.Key] = r
	}
	c.earliest, c.nextRead = nextRead, nextRead
	c.confirmedAt = sentAt
}

// add adds records that were read from an offset on. If that leaves a gap, the
// cache is cleared and refuses reads until it is loaded again.
func (c *streamCache) add(from quetzalroad.Offset, records []quetzalroad.KeyedRecord, bounds quetzalroad.StreamBounds, sentAt boottimer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil || from != c.nextRead {
		c.latest = nil
		return
	}
	for _, r := range records {
		before, known := c.latest[r.Key]
		if known && c.unchanged(before, r) {
			continue
		}
		c.latest[r.Key] = r
	}
	c.nextRead = bounds.NextRead
	if c.nextRead >= bounds.End {
		c.confirmedAt = sentAt
	}
}

func (c *streamCache) unchanged(before, after quetzalroad.KeyedRecord) bool {
	if before.Value == nil || after.Value == nil {
		return before.Value == nil && after.Value == nil
	}
	return c.sameContent != nil && c.sameContent(before, after)
}

// read returns the changes from an offset on or, for NoOffset, the latest record of every key.
func (c *streamCache) read(from quetzalroad.Offset) quetzalroad.SharedReadResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	complete := from == quetzalroad.NoOffset
	switch {
	case c.latest == nil:
		return quetzalroad.SharedReadResponse{Status: quetzalroad.SharedReadRefused}
	case !complete && from < c.earliest:
		return quetzalroad.SharedReadResponse{Status: quetzalroad.SharedReadTrimmed}
	}
	response := quetzalroad.SharedReadResponse{Status: quetzalroad.SharedReadOK, NextRead: c.nextRead, Age: c.confirmedAt.Age()}
	for _, r := range c.latest {
		if (complete && r.Value != nil) || (!complete && r.Offset >= from) {
			response.Records = append(response.Records, r)
		}
	}
	slices.SortFunc(response.Records, func(a, b quetzalroad.KeyedRecord) int { return int(a.Offset - b.Offset) })
	return response
}
