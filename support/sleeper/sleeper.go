// Package sleeper provides a sleep that a context can interrupt.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for a duration. If the context ends first, or has already ended, the
// error is the context's.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
