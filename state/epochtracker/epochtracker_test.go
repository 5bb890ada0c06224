package epochtracker

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// observeAll passes the epochs that the log states, one a second, to a belief and returns the verdicts.
func observeAll(b *belief, epochs ...quetzalroad.Epoch) []verdict {
	var verdicts []verdict
	for _, e := range epochs {
		time.Sleep(time.Second)
		verdicts = append(verdicts, b.observe(e, boottimer.Now()))
	}
	return verdicts
}

func TestLaterEpochIsBelievedAtOnceAndEarlierOneIsOutdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b belief
		got := observeAll(&b, 1, 1, 2, 1, 2, 0, 4, 3, 4)
		want := []verdict{current, current, changed, outdated, current, outdated, changed, outdated, current}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

// A response of another machine may state any epoch.
func TestEpochStatedInErrorIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b belief
		got := observeAll(&b, 2, 1<<60, 2, 2, 2, 2)
		want := []verdict{current, changed, outdated, outdated, changed, current}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

func TestLogThatNoLongerStatesItsEpochIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b belief
		got := observeAll(&b, 2, 0, 0, 0, 0)
		want := []verdict{current, outdated, outdated, changed, current}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

func TestLateResponsesOfTheEpochBeforeConfirmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b belief
		observeAll(&b, 1)
		sentAt := boottimer.Now()
		observeAll(&b, 2)
		for range minConfirmations {
			if got := b.observe(1, sentAt); got != outdated {
				t.Errorf("verdict %d for a response to a request of before the restore, want outdated", got)
			}
		}
		if got := b.current(); got != 2 {
			t.Errorf("epoch %d, want 2", got)
		}
	})
}

func TestPeerOfAnEarlierEpochIsOutdatedHoweverOften(t *testing.T) {
	var b belief
	observeAllOfPeers := func(epochs ...quetzalroad.Epoch) (verdicts []verdict) {
		for _, e := range epochs {
			verdicts = append(verdicts, b.observePeer(e))
		}
		return verdicts
	}
	got := observeAllOfPeers(2, 1, 1, 1, 1, 0, 3)
	want := []verdict{current, outdated, outdated, outdated, outdated, outdated, changed}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// stubLog responds with an error or in an epoch.
type stubLog struct {
	quetzalroad.KeyedLog
	quetzalroad.KeyedWriter
	epoch quetzalroad.Epoch
	err   error
}

func (l *stubLog) ReadKeyed(_ context.Context, _ quetzalroad.LogStream, from quetzalroad.Position, _ time.Duration) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	return nil, quetzalroad.StreamBounds{Epoch: l.epoch, NextRead: from.Offset}, l.err
}

func (l *stubLog) PutKeyed(context.Context, quetzalroad.LogStream, string, []byte) (quetzalroad.Epoch, error) {
	return l.epoch, l.err
}

func (l *stubLog) PutKeyedAt(context.Context, quetzalroad.LogStream, string, []byte, quetzalroad.Offset) (quetzalroad.Position, error) {
	return quetzalroad.Position{Epoch: l.epoch}, l.err
}

func newTracker(log *stubLog) *keyedLogTracker {
	return &keyedLogTracker{observer: observer{logger: slog.New(slog.DiscardHandler)}, log: log, writer: log, conditionalWriter: log}
}

func TestPositionOfAnotherEpochIsRefusedWithAndWithoutTrimmedRecords(t *testing.T) {
	for name, readErr := range map[string]error{"read succeeds": nil, "records gone": quetzalroad.ErrTrimmed} {
		t.Run(name, func(t *testing.T) {
			log := &stubLog{epoch: 2, err: readErr}
			tracker := newTracker(log)
			_, _, err := tracker.ReadKeyed(t.Context(), quetzalroad.LogStreamOperators, quetzalroad.Position{Epoch: 1, Offset: 7}, 0)
			var epochChanged *quetzalroad.EpochChangedError
			if !errors.As(err, &epochChanged) {
				t.Fatalf("error %v, want an EpochChangedError", err)
			}
			if diff := cmp.Diff(&quetzalroad.EpochChangedError{From: 1, To: 2}, epochChanged); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func TestAppendOfTheEpochBeforeIsNotStored(t *testing.T) {
	log := &stubLog{epoch: 2}
	tracker := newTracker(log)
	if _, err := tracker.PutKeyed(t.Context(), quetzalroad.LogStreamNodes, "n", nil); err != nil {
		t.Fatal(err)
	}
	log.epoch = 1
	if _, err := tracker.PutKeyed(t.Context(), quetzalroad.LogStreamNodes, "n", nil); !errors.Is(err, quetzalroad.ErrOutdatedEpoch) {
		t.Errorf("error %v, want ErrOutdatedEpoch", err)
	}
}

// The holder of a lease would act on it until its next read, though the record of the lease is lost.
func TestConditionalWriteTellsTheEpochWhetherOrNotItWasMade(t *testing.T) {
	for name, writeErr := range map[string]error{"made": nil, "conflict": quetzalroad.ErrConflict} {
		t.Run(name, func(t *testing.T) {
			log := &stubLog{epoch: 2, err: writeErr}
			tracker := newTracker(log)
			if _, err := tracker.PutKeyedAt(t.Context(), quetzalroad.LogStreamLeases, "k", nil, 0); !errors.Is(err, writeErr) {
				t.Errorf("error %v, want %v", err, writeErr)
			}
			if got := tracker.Epoch(); got != 2 {
				t.Errorf("epoch %d, want 2", got)
			}
			log.epoch = 1
			if _, err := tracker.PutKeyedAt(t.Context(), quetzalroad.LogStreamLeases, "k", nil, 0); !errors.Is(err, quetzalroad.ErrOutdatedEpoch) {
				t.Errorf("error %v, want ErrOutdatedEpoch", err)
			}
		})
	}
}
