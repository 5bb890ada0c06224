package distributor

import (
	"slices"
	"sync"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// feed holds what this node itself read of a stream, for others. The zero value
// is empty.
type feed struct {
	// alike tells that a record says nothing new after another; nil where each
	// does.
	alike func(before, after quetzalroad.KeyedRecord) bool

	mu sync.Mutex
	// The fields below are guarded by mu. newest holds each key's last record
	// that changed something; one without a value dropped its key. It is nil
	// before the first load.
	newest map[string]quetzalroad.KeyedRecord
	// All changes from floor on and below through are known.
	floor, through quetzalroad.Offset
	// confirmed is the last moment for which the log said that there is nothing
	// beyond through.
	confirmed boottimer.Instant
}

// joins tells that a read from an offset on leaves nothing out.
func (f *feed) joins(from quetzalroad.Offset) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest != nil && f.through == from
}

// load takes the newest record of each key as they were read from the log.
func (f *feed) load(records []quetzalroad.KeyedRecord, through quetzalroad.Offset, sent boottimer.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = make(map[string]quetzalroad.KeyedRecord, len(records))
	for _, r := range records {
		f.newest[r.Key] = r
	}
	f.floor, f.through = through, through
	f.confirmed = sent
}

// add takes records that were read from an offset on. Where some between are
// missing, the feed is of no use until it is loaded anew.
func (f *feed) add(from quetzalroad.Offset, records []quetzalroad.KeyedRecord, bounds quetzalroad.StreamBounds, sent boottimer.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.newest == nil || from != f.through {
		f.newest = nil
		return
	}
	for _, r := range records {
		before, known := f.newest[r.Key]
		if known && f.same(before, r) {
			continue
		}
		f.newest[r.Key] = r
	}
	f.through = bounds.NextRead
	if f.through >= bounds.End {
		f.confirmed = sent
	}
}

func (f *feed) same(before, after quetzalroad.KeyedRecord) bool {
	if before.Value == nil || after.Value == nil {
		return before.Value == nil && after.Value == nil
	}
	return f.alike != nil && f.alike(before, after)
}

// read gives the changes from an offset on, or all that stands.
func (f *feed) read(from quetzalroad.Offset) quetzalroad.SharedReadResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := from == quetzalroad.NoOffset
	switch {
	case f.newest == nil:
		return quetzalroad.SharedReadResponse{Status: quetzalroad.SharedReadRefused}
	case !all && from < f.floor:
		return quetzalroad.SharedReadResponse{Status: quetzalroad.SharedReadTrimmed}
	}
	answer := quetzalroad.SharedReadResponse{Status: quetzalroad.SharedReadOK, NextRead: f.through, Age: f.confirmed.Age()}
	for _, r := range f.newest {
		if (all && r.Value != nil) || (!all && r.Offset >= from) {
			answer.Records = append(answer.Records, r)
		}
	}
	slices.SortFunc(answer.Records, func(a, b quetzalroad.KeyedRecord) int { return int(a.Offset - b.Offset) })
	return answer
}
