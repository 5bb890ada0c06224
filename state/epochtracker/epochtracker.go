// Package epochtracker recognises that the platform's log was restored from an older copy.
//
// Such a log has lost its latest records and gives their offsets out again, so that a read from an offset
// of before may succeed and still miss records. The log states its epoch in every response. The tracker
// stands between the log and its readers: it refuses responses of earlier epochs, and reports positions
// of another epoch to the reader, which has to read the latest record of every key again.
package epochtracker

import (
	"context"
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
		New: func() kernel.Component { return Component{} },
	})
}

// Component puts a tracker before each of the node's logs.
type Component struct{}

// Declare implements kernel.Component.
func (Component) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (Component) Build(n *kernel.Node) error {
	if n.Log != nil {
		t := &logTracker{log: n.Log}
		t.publish(n)
		n.Log = t
	}
	if n.KeyedLog != nil {
		t := &keyedLogTracker{log: n.KeyedLog, writer: n.KeyedWriter, conditionalWriter: n.ConditionalWriter}
		t.publish(n)
		n.KeyedLog = t
		if t.writer != nil {
			n.KeyedWriter = t
		}
		if t.conditionalWriter != nil {
			n.ConditionalWriter = t
		}
	}
	return nil
}

// keyedLogTracker is a keyed log and its writers.
type keyedLogTracker struct {
	observer
	log               quetzalroad.KeyedLog
	writer            quetzalroad.KeyedWriter
	conditionalWriter quetzalroad.ConditionalWriter
}

// ReadLatest implements quetzalroad.KeyedLog.
func (t *keyedLogTracker) ReadLatest(ctx context.Context, s quetzalroad.LogStream) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
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
func (t *keyedLogTracker) ReadKeyed(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Position, wait time.Duration) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
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
func (t *keyedLogTracker) PutKeyed(ctx context.Context, s quetzalroad.LogStream, key string, value []byte) (quetzalroad.Epoch, error) {
	sentAt := boottimer.Now()
	epoch, err := t.writer.PutKeyed(ctx, s, key, value)
	if err != nil {
		return 0, err
	}
	return epoch, t.observe(epoch, sentAt)
}

// PutKeyedAt implements quetzalroad.ConditionalWriter. After ErrOutdatedEpoch the record is lost. The epoch is also
// noted if the condition didn't hold.
func (t *keyedLogTracker) PutKeyedAt(ctx context.Context, s quetzalroad.LogStream, key string, value []byte, end quetzalroad.Offset) (quetzalroad.Position, error) {
	sentAt := boottimer.Now()
	position, err := t.conditionalWriter.PutKeyedAt(ctx, s, key, value, end)
	if err != nil && !errors.Is(err, quetzalroad.ErrConflict) {
		return quetzalroad.Position{}, err
	}
	if outdatedErr := t.observe(position.Epoch, sentAt); outdatedErr != nil {
		return quetzalroad.Position{}, outdatedErr
	}
	return position, err
}
