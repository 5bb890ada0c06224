package distributor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

func record(key, value string, offset quetzalroad.Offset) quetzalroad.KeyedRecord {
	r := quetzalroad.KeyedRecord{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

// boundsAt is the answer of a log that ends at an offset.
func boundsAt(end quetzalroad.Offset) quetzalroad.StreamBounds {
	return quetzalroad.StreamBounds{End: end, NextRead: end}
}

// sameFirstByte takes records for alike whose values begin alike.
func sameFirstByte(a, b quetzalroad.KeyedRecord) bool { return a.Value[0] == b.Value[0] }

func TestReadOmitsRewritesWithoutChange(t *testing.T) {
	c := streamCache{sameContent: sameFirstByte}
	c.load([]quetzalroad.KeyedRecord{record("a", "x1", 3), record("b", "y1", 5)}, 10, boottimer.Now())
	c.add(10, []quetzalroad.KeyedRecord{record("a", "x2", 10), record("b", "z1", 11), record("c", "w1", 12), record("c", "", 13)}, boundsAt(14), boottimer.Now())
	got := c.read(10)
	want := []quetzalroad.KeyedRecord{record("b", "z1", 11), record("c", "", 13)}
	if diff := cmp.Diff(want, got.Records); diff != "" || got.NextRead != 14 || got.Status != quetzalroad.SharedReadOK {
		t.Errorf("state %d through %d (-want +got):\n%s", got.Status, got.NextRead, diff)
	}
	all := c.read(quetzalroad.NoOffset)
	want = []quetzalroad.KeyedRecord{record("a", "x1", 3), record("b", "z1", 11)}
	if diff := cmp.Diff(want, all.Records); diff != "" {
		t.Errorf("all that stands (-want +got):\n%s", diff)
	}
}

func TestCacheWithGapRefusesReadsUntilReloaded(t *testing.T) {
	var c streamCache
	if got := c.read(0).Status; got != quetzalroad.SharedReadRefused {
		t.Errorf("an empty feed answers %d", got)
	}
	c.load(nil, 10, boottimer.Now())
	if c.continuesAt(12) || !c.continuesAt(10) {
		t.Error("a read from beyond the end was taken to join")
	}
	c.add(12, []quetzalroad.KeyedRecord{record("a", "x", 12)}, boundsAt(13), boottimer.Now())
	if got := c.read(10).Status; got != quetzalroad.SharedReadRefused {
		t.Errorf("a feed with a gap answers %d", got)
	}
	c.load([]quetzalroad.KeyedRecord{record("a", "x", 12)}, 13, boottimer.Now())
	if got := c.read(13).Status; got != quetzalroad.SharedReadOK {
		t.Errorf("a feed that was loaded anew answers %d", got)
	}
}

func TestReadBeforeEarliestOffsetIsTrimmed(t *testing.T) {
	var c streamCache
	c.load([]quetzalroad.KeyedRecord{record("a", "x", 3)}, 10, boottimer.Now())
	if got := c.read(9).Status; got != quetzalroad.SharedReadTrimmed {
		t.Errorf("answer %d to one who may have missed a key's end", got)
	}
}

func TestAgeCountsFromLastConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c streamCache
		c.load(nil, 10, boottimer.Now())
		time.Sleep(3 * time.Second)
		if got := c.read(10).Age; got < 3*time.Second {
			t.Errorf("age %s after 3s", got)
		}
		// More is to come, so that the log confirmed nothing.
		c.add(10, []quetzalroad.KeyedRecord{record("a", "x", 10)}, quetzalroad.StreamBounds{End: 20, NextRead: 11}, boottimer.Now())
		if got := c.read(10).Age; got < 3*time.Second {
			t.Errorf("age %s with records still to be read", got)
		}
		c.add(11, nil, boundsAt(11), boottimer.Now())
		if got := c.read(10).Age; got > time.Second {
			t.Errorf("age %s right after the log's word", got)
		}
	})
}
