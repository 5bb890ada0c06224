package faker

import (
	"context"
	"time"

	"github.com/quetzalroad/quetzalroad/support/sleeper"
	"github.com/quetzalroad/quetzalroad/support/stalltimer"
)

// transferStep is the time between two parts of a transfer.
const transferStep = 50 * time.Millisecond

// Transfer takes as long as a transfer over a slow link, of which a part arrives in each step.
func Transfer(ctx context.Context, duration time.Duration) error {
	for ; duration > 0; duration -= transferStep {
		if err := sleeper.Sleep(ctx, min(duration, transferStep)); err != nil {
			return err
		}
		stalltimer.Advance(ctx)
	}
	return ctx.Err()
}
