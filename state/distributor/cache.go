package distributor

import (
	"slices"
	"sync"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// streamCache holds what this node itself read of a stream, for others. The zero value
// is empty.
type streamCache struct {
	// sameContent tells that a record says nothing new after another; nil where each
	// does.
	sameContent func(before, after quetzalroad.KeyedRecord) bool

	mu sync.Mutex
	// The fields below are guarded by mu. newest holds each key's last record
	// that changed something; one without a value dropped its key. It is nil
	// before the first load.
	latest map[string]quetzalroad.KeyedRecord
	// All changes from floor on and below through are known.
	earliest, nextRead quetzalroad.Offset
	// confirmedAt is the last moment for which the log said that there is nothing
	// beyond through.
	confirmedAt boottimer.Instant
}

// continuesAt tells that a read from an offset on leaves nothing out.
func (c *streamCache) continuesAt(from quetzalroad.Offset) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest != nil && c.nextRead == from
}

// load takes the newest record of each key as they were read from the log.
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

// add takes records that were read from an offset on. Where some between are
// missing, the feed is of no use until it is loaded anew.
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

// read gives the changes from an offset on, or all that stands.
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
