package usagereporter

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

const (
	// minBackoff and maxBackoff bound the time between two attempts to send a report, before jitter. With 2 s, reports
	// were late after a failure that ended in time.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
)

// attempt is the last failed attempt to send a report.
type attempt struct {
	endedAt boottimer.Instant
	backoff time.Duration
	// delay is the backoff with jitter.
	delay time.Duration
}

// canRetry reports whether a report may be sent again.
func (a attempt) canRetry() bool {
	return a.endedAt.IsZero() || a.endedAt.Age() >= a.delay
}

// next returns the attempt after this one, which has just failed.
func (a attempt) next() attempt {
	backoff := min(max(2*a.backoff, minBackoff), maxBackoff)
	return attempt{endedAt: boottimer.Now(), backoff: backoff, delay: backoff/2 + rand.N(backoff)}
}

// send sends the first saved report that may be sent now.
func (t *term) send(ctx context.Context) {
	for _, r := range t.ledger.expire(t.counter.Time(time.Now())) {
		t.logger.Warn("usage report given up", "window", int64(r.Window))
		delete(t.attempts, r.Window)
	}
	for _, r := range t.ledger.state.Pending {
		if r.Window <= t.savedThrough && t.attempts[r.Window].canRetry() {
			t.sendReport(ctx, r)
			return
		}
	}
}

func (t *term) sendReport(ctx context.Context, r quetzalroad.UsageReport) {
	callCtx, cancel := context.WithTimeout(ctx, t.callTimeout)
	defer cancel()
	fence := quetzalroad.Fence{Holder: t.node, Token: t.lease.Token()}
	err := t.client.ReportUsage(callCtx, fence, r, func() error { return t.lease.Check(t.callTimeout) })
	if err == nil {
		t.reported.Add(1)
		t.logger.Info("usage reported", "window", int64(r.Window), "total", totalRequests(r), "after", t.counter.Time(time.Now()).Sub(t.ledger.end(r.Window)))
		t.ledger.confirm(r.Window)
		// The platform responds again, so that the other reports need not wait.
		clear(t.attempts)
		return
	}
	t.attempts[r.Window] = t.attempts[r.Window].next()
	if errors.Is(err, quetzalroad.ErrLeaseEnded) {
		return
	}
	t.failures.Add(1)
	t.logger.Warn("usage report failed", "window", int64(r.Window), "token", uint64(fence.Token), "error", err)
	if !errors.Is(err, quetzalroad.ErrNotSent) && !errors.Is(err, quetzalroad.ErrRejected) {
		t.lease.Unconfirmed()
	}
}
