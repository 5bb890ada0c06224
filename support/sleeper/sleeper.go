// Package sleeper waits for a span that a context may cut short.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for a span. The error is the context's where that ended first,
// or had ended before.
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
