package distributor

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/platform/statedecoder"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

func record(key, value string, offset quetzalroad.Offset) quetzalroad.KeyedRecord {
	r := quetzalroad.KeyedRecord{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

// at returns a position in the epoch of these tests.
func at(offset quetzalroad.Offset) quetzalroad.Position {
	return quetzalroad.Position{Epoch: 1, Offset: offset}
}

// boundsAt returns the bounds of a read up to the end of a stream.
func boundsAt(end quetzalroad.Offset) quetzalroad.StreamBounds {
	return quetzalroad.StreamBounds{Epoch: 1, End: end, NextRead: end}
}

// decodeFirstByte decodes registrations of which only the first byte matters.
func decodeFirstByte(r quetzalroad.KeyedRecord) (quetzalroad.UpstreamRegistration, error) {
	return quetzalroad.UpstreamRegistration{Upstream: quetzalroad.Upstream{InstanceID: string(r.Value[:1])}}, nil
}

func TestReadOmitsRewritesWithoutChange(t *testing.T) {
	c := streamCache{decode: decodeFirstByte}
	c.load([]quetzalroad.KeyedRecord{record("a", "x1", 3), record("b", "y1", 5)}, at(10), boottimer.Now())
	c.add(at(10), []quetzalroad.KeyedRecord{record("a", "x2", 10), record("b", "z1", 11), record("c", "w1", 12), record("c", "", 13)}, boundsAt(14), boottimer.Now())
	got := c.read(at(10))
	want := []quetzalroad.KeyedRecord{record("b", "z1", 11), record("c", "", 13)}
	if diff := cmp.Diff(want, got.Records); diff != "" || got.NextRead != 14 || got.Status != quetzalroad.SharedReadOK {
		t.Errorf("status %d, next read %d (-want +got):\n%s", got.Status, got.NextRead, diff)
	}
	all := c.read(at(quetzalroad.NoOffset))
	want = []quetzalroad.KeyedRecord{record("a", "x1", 3), record("b", "z1", 11)}
	if diff := cmp.Diff(want, all.Records); diff != "" {
		t.Errorf("latest of every key (-want +got):\n%s", diff)
	}
}

func TestCacheWithGapRefusesReadsUntilReloaded(t *testing.T) {
	var c streamCache
	if got := c.read(at(0)).Status; got != quetzalroad.SharedReadRefused {
		t.Errorf("status %d from an empty cache, want SharedReadRefused", got)
	}
	c.load(nil, at(10), boottimer.Now())
	if c.continuesAt(at(12)) || !c.continuesAt(at(10)) {
		t.Error("continuesAt accepts an offset beyond the end or rejects the end itself")
	}
	c.add(at(12), []quetzalroad.KeyedRecord{record("a", "x", 12)}, boundsAt(13), boottimer.Now())
	if got := c.read(at(10)).Status; got != quetzalroad.SharedReadRefused {
		t.Errorf("status %d from a cache with a gap, want SharedReadRefused", got)
	}
	c.load([]quetzalroad.KeyedRecord{record("a", "x", 12)}, at(13), boottimer.Now())
	if got := c.read(at(13)).Status; got != quetzalroad.SharedReadOK {
		t.Errorf("status %d from a reloaded cache, want SharedReadOK", got)
	}
}

func TestReadBeforeEarliestOffsetIsTrimmed(t *testing.T) {
	var c streamCache
	c.load([]quetzalroad.KeyedRecord{record("a", "x", 3)}, at(10), boottimer.Now())
	if got := c.read(at(9)).Status; got != quetzalroad.SharedReadTrimmed {
		t.Errorf("status %d for a read that may have missed a deletion, want SharedReadTrimmed", got)
	}
}

func TestAgeCountsFromLastConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c streamCache
		c.load(nil, at(10), boottimer.Now())
		time.Sleep(3 * time.Second)
		if got := c.read(at(10)).Age; got < 3*time.Second {
			t.Errorf("age %s after 3s", got)
		}
		// The log has more records, so this read confirms nothing.
		c.add(at(10), []quetzalroad.KeyedRecord{record("a", "x", 10)}, quetzalroad.StreamBounds{Epoch: 1, End: 20, NextRead: 11}, boottimer.Now())
		if got := c.read(at(10)).Age; got < 3*time.Second {
			t.Errorf("age %s with unread records in the log", got)
		}
		c.add(at(11), nil, boundsAt(11), boottimer.Now())
		if got := c.read(at(10)).Age; got > time.Second {
			t.Errorf("age %s right after a confirmation", got)
		}
	})
}

func TestPositionOfAnotherEpochIsTrimmed(t *testing.T) {
	var c streamCache
	c.load([]quetzalroad.KeyedRecord{record("a", "x", 3)}, at(10), boottimer.Now())
	c.load([]quetzalroad.KeyedRecord{record("a", "x", 3)}, quetzalroad.Position{Epoch: 2, Offset: 4}, boottimer.Now())
	for name, from := range map[string]quetzalroad.Position{
		"earlier epoch": at(10), "earlier epoch, lower offset": at(4), "later epoch": {Epoch: 3, Offset: 4}, "no epoch, beyond the end": {Offset: 10}, "no epoch, before the load": {Offset: 3},
	} {
		if got := c.read(from); got.Status != quetzalroad.SharedReadTrimmed || got.Epoch != 2 {
			t.Errorf("%s: status %d in epoch %d, want SharedReadTrimmed in epoch 2", name, got.Status, got.Epoch)
		}
	}
	for name, from := range map[string]quetzalroad.Position{"same epoch": {Epoch: 2, Offset: 4}, "build without epochs": {Offset: 4}} {
		if got := c.read(from).Status; got != quetzalroad.SharedReadOK {
			t.Errorf("%s: status %d, want SharedReadOK", name, got)
		}
	}
}

// Guards the processor time of a reader, which grows with the upstreams that write their registrations again.
func BenchmarkRewrittenRegistrations(b *testing.B) {
	const upstreams = 150
	c := streamCache{decode: new(statedecoder.Decoder).DecodeRegistration}
	beat := func(sequence int) []quetzalroad.KeyedRecord {
		var records []quetzalroad.KeyedRecord
		for i := range upstreams {
			value := fmt.Sprintf(`{"service":"chat","address":"10.0.0.%d:80","zone":"logan-a","slots":24,"state":"ready","sequence":%d,"born":1765000000000}`, i+1, sequence)
			records = append(records, record(fmt.Sprint("upstream-", i), value, quetzalroad.Offset(sequence*upstreams+i)))
		}
		return records
	}
	c.load(beat(0), at(upstreams), boottimer.Now())
	records := beat(1)
	next := quetzalroad.Offset(upstreams)
	for b.Loop() {
		c.add(at(next), records, boundsAt(next+upstreams), boottimer.Now())
		next += upstreams
	}
	if got := len(c.read(at(upstreams)).Records); got != 0 {
		b.Errorf("%d of the rewritten registrations count as changes", got)
	}
}
