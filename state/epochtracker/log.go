package epochtracker

import (
	"context"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// logTracker is a log whose consumers compare the epoch of each read with that of their position.
type logTracker struct {
	observer
	log quetzalroad.Log
}

// Append implements quetzalroad.Log.
func (t *logTracker) Append(ctx context.Context, s quetzalroad.LogStream, data []byte) (quetzalroad.Offset, error) {
	return t.log.Append(ctx, s, data)
}

// Read implements quetzalroad.Log.
func (t *logTracker) Read(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Offset, wait time.Duration) ([]quetzalroad.Record, quetzalroad.StreamBounds, error) {
	sentAt := boottimer.Now()
	records, bounds, err := t.log.Read(ctx, s, from, wait)
	if err != nil {
		return nil, bounds, err
	}
	if err := t.observe(bounds.Epoch, sentAt); err != nil {
		return nil, quetzalroad.StreamBounds{}, err
	}
	return records, bounds, nil
}
