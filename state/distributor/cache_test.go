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

// through is the answer of a log that ends at an offset.
func through(end quetzalroad.Offset) quetzalroad.StreamBounds {
	return quetzalroad.StreamBounds{End: end, NextRead: end}
}

// sameLetter takes records for alike whose values begin alike.
func sameLetter(a, b quetzalroad.KeyedRecord) bool { return a.Value[0] == b.Value[0] }

func TestOthersGetWhatChangedAndNotWhatWasOnlyWrittenAgain(t *testing.T) {
	f := feed{alike: sameLetter}
	f.load([]quetzalroad.KeyedRecord{record("a", "x1", 3), record("b", "y1", 5)}, 10, boottimer.Now())
	f.add(10, []quetzalroad.KeyedRecord{record("a", "x2", 10), record("b", "z1", 11), record("c", "w1", 12), record("c", "", 13)}, through(14), boottimer.Now())
	got := f.read(10)
	want := []quetzalroad.KeyedRecord{record("b", "z1", 11), record("c", "", 13)}
	if diff := cmp.Diff(want, got.Records); diff != "" || got.NextRead != 14 || got.Status != quetzalroad.SharedReadOK {
		t.Errorf("state %d through %d (-want +got):\n%s", got.Status, got.NextRead, diff)
	}
	all := f.read(quetzalroad.NoOffset)
	want = []quetzalroad.KeyedRecord{record("a", "x1", 3), record("b", "z1", 11)}
	if diff := cmp.Diff(want, all.Records); diff != "" {
		t.Errorf("all that stands (-want +got):\n%s", diff)
	}
}

func TestAFeedWithAGapGivesNothingUntilItIsLoadedAnew(t *testing.T) {
	var f feed
	if got := f.read(0).Status; got != quetzalroad.SharedReadRefused {
		t.Errorf("an empty feed answers %d", got)
	}
	f.load(nil, 10, boottimer.Now())
	if f.joins(12) || !f.joins(10) {
		t.Error("a read from beyond the end was taken to join")
	}
	f.add(12, []quetzalroad.KeyedRecord{record("a", "x", 12)}, through(13), boottimer.Now())
	if got := f.read(10).Status; got != quetzalroad.SharedReadRefused {
		t.Errorf("a feed with a gap answers %d", got)
	}
	f.load([]quetzalroad.KeyedRecord{record("a", "x", 12)}, 13, boottimer.Now())
	if got := f.read(13).Status; got != quetzalroad.SharedReadOK {
		t.Errorf("a feed that was loaded anew answers %d", got)
	}
}

func TestWhatLiesBeforeTheFeedIsToldAsTrimmed(t *testing.T) {
	var f feed
	f.load([]quetzalroad.KeyedRecord{record("a", "x", 3)}, 10, boottimer.Now())
	if got := f.read(9).Status; got != quetzalroad.SharedReadTrimmed {
		t.Errorf("answer %d to one who may have missed a key's end", got)
	}
}

func TestAnAnswerIsAsOldAsTheLogsLastWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f feed
		f.load(nil, 10, boottimer.Now())
		time.Sleep(3 * time.Second)
		if got := f.read(10).Age; got < 3*time.Second {
			t.Errorf("age %s after 3s", got)
		}
		// More is to come, so that the log confirmed nothing.
		f.add(10, []quetzalroad.KeyedRecord{record("a", "x", 10)}, quetzalroad.StreamBounds{End: 20, NextRead: 11}, boottimer.Now())
		if got := f.read(10).Age; got < 3*time.Second {
			t.Errorf("age %s with records still to be read", got)
		}
		f.add(11, nil, through(11), boottimer.Now())
		if got := f.read(10).Age; got > time.Second {
			t.Errorf("age %s right after the log's word", got)
		}
	})
}
