// Package epochtracker recognises that the platform's log was restored from an older copy.
//
// Such a log has lost its latest records and gives their offsets out again, so that a read from an offset
// of before may succeed and still miss records. The log states its epoch in every response. The tracker
// stands between the log and its readers: it refuses responses of earlier epochs, and reports positions
// of another epoch to the reader, which has to read the latest record of every key again.
package epochtracker

import (
	"context"
	"expvar"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotLogEpochs, Name: "tracker", Default: true,
		New: func() kernel.Component { return new(Tracker) },
	})
}

// Tracker is a keyed log and its writer that track the log's epoch.
type Tracker struct {
	log    quetzalroad.KeyedLog
	writer quetzalroad.KeyedWriter
	logger *slog.Logger
	belief belief
	// signal is buffered.
	signal chan struct{}
	// changes counts the epochs that began, and outdated the responses of earlier ones.
	changes, outdated expvar.Int
}

// Declare implements kernel.Component.
func (*Tracker) Declare(*configloader.Section) {}

// Build implements kernel.Component. A node without a keyed log has nothing to track.
func (t *Tracker) Build(n *kernel.Node) error {
	if n.KeyedLog == nil {
		return nil
	}
	t.wrap(n.KeyedLog, n.KeyedWriter, n.Logger)
	n.KeyedLog, n.LogEpochs = t, t
	if t.writer != nil {
		n.KeyedWriter = t
	}
	n.Vars.Set("log-epoch", expvar.Func(func() any { return uint64(t.Epoch()) }))
	n.Vars.Set("log-epoch-changes", &t.changes)
	n.Vars.Set("log-outdated-responses", &t.outdated)
	return nil
}

func (t *Tracker) wrap(log quetzalroad.KeyedLog, writer quetzalroad.KeyedWriter, logger *slog.Logger) {
	t.log, t.writer, t.logger = log, writer, logger
	t.signal = make(chan struct{}, 1)
}

// Epoch implements quetzalroad.EpochTracker.
func (t *Tracker) Epoch() quetzalroad.Epoch {
	return t.belief.current()
}

// Age implements quetzalroad.EpochTracker.
func (t *Tracker) Age() time.Duration {
	return t.belief.age()
}

// Changed implements quetzalroad.EpochTracker.
func (t *Tracker) Changed() <-chan struct{} {
	return t.signal
}

// ObservePeer implements quetzalroad.EpochTracker.
func (t *Tracker) ObservePeer(e quetzalroad.Epoch) error {
	known := t.Epoch()
	return t.handle(t.belief.observePeer(e), known, e, "peer")
}

// observe notes the epoch of a response of the log.
func (t *Tracker) observe(e quetzalroad.Epoch, sentAt boottimer.Instant) error {
	known := t.Epoch()
	return t.handle(t.belief.observe(e, sentAt), known, e, "log")
}

// handle logs and counts what a stated epoch means, and returns ErrOutdatedEpoch for an earlier one.
func (t *Tracker) handle(v verdict, known, stated quetzalroad.Epoch, source string) error {
	switch v {
	case changed:
		t.changes.Add(1)
		t.logger.Warn("log restored from an older copy", "epoch", uint64(stated), "known", uint64(known), "told-by", source)
		select {
		case t.signal <- struct{}{}:
		default:
		}
	case outdated:
		t.outdated.Add(1)
		t.logger.Info("ignoring response of an earlier epoch of the log", "epoch", uint64(stated), "known", uint64(known), "told-by", source)
		return quetzalroad.ErrOutdatedEpoch
	}
	return nil
}

// ReadLatest implements quetzalroad.KeyedLog.
func (t *Tracker) ReadLatest(ctx context.Context, s quetzalroad.LogStream) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	sentAt := boottimer.Now()
	records, bounds, err := t.log.ReadLatest(ctx, s)
	if err != nil {
		return nil, bounds, err
	}
	if err := t.observe(bounds.Epoch, sentAt); err != nil {
		return nil, quetzalroad.StreamBounds{}, err
	}
	return records, bounds, nil
}

// ReadKeyed implements quetzalroad.KeyedLog.
func (t *Tracker) ReadKeyed(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Position, wait time.Duration) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	sentAt := boottimer.Now()
	records, bounds, err := t.log.ReadKeyed(ctx, s, from, wait)
	if err != nil && !errors.Is(err, quetzalroad.ErrTrimmed) {
		return nil, bounds, err
	}
	if outdatedErr := t.observe(bounds.Epoch, sentAt); outdatedErr != nil {
		return nil, quetzalroad.StreamBounds{}, outdatedErr
	}
	if bounds.Epoch != from.Epoch {
		return nil, bounds, &quetzalroad.EpochChangedError{From: from.Epoch, To: bounds.Epoch}
	}
	return records, bounds, err
}

// PutKeyed implements quetzalroad.KeyedWriter. After ErrOutdatedEpoch the record is lost.
func (t *Tracker) PutKeyed(ctx context.Context, s quetzalroad.LogStream, key string, value []byte) (quetzalroad.Epoch, error) {
	sentAt := boottimer.Now()
	epoch, err := t.writer.PutKeyed(ctx, s, key, value)
	if err != nil {
		return 0, err
	}
	return epoch, t.observe(epoch, sentAt)
}
