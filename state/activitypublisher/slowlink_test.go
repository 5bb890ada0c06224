package activitypublisher

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// slowLog is a log whose responses take long to arrive.
type slowLog struct {
	faker.KeyedLog
	transfer time.Duration
}

func (l *slowLog) ReadLatest(ctx context.Context, s quetzalroad.LogStream) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	records, bounds, err := l.KeyedLog.ReadLatest(ctx, s)
	if err == nil {
		err = faker.Transfer(ctx, l.transfer)
	}
	return records, bounds, err
}

// Guards against a holder of the lease that never gets the reports of a large fleet through a narrow link.
func TestReportsOfALargeFleetAreReadOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callTimeout = 800 * time.Millisecond
		r := reader{loadTimeout: 3 * time.Second}
		r.open(&slowLog{transfer: 2 * time.Second}, callTimeout, slog.New(slog.DiscardHandler))
		if _, err := r.refresh(t.Context()); err != nil {
			t.Error(err)
		}
		r.open(&slowLog{transfer: time.Minute}, callTimeout, slog.New(slog.DiscardHandler))
		begin := time.Now()
		if _, err := r.refresh(t.Context()); err == nil || time.Since(begin) > r.loadTimeout {
			t.Errorf("error %v after %s, want the load timeout", err, time.Since(begin))
		}
	})
}
