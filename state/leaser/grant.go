package leaser

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/leasemapper"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// grant is a lease that this node holds or held. It implements quetzalroad.Lease.
type grant struct {
	leaser *Leaser
	token  quetzalroad.FencingToken
	epoch  quetzalroad.Epoch
	// grantedAt is when the claim was confirmed.
	grantedAt boottimer.Instant
	// duties is done when the duties have to end. over is closed once nothing can be saved any more.
	duties       context.Context
	cancelDuties context.CancelFunc
	over         chan struct{}
	// saves passes states to the goroutine that writes the record.
	saves chan saveRequest

	mu sync.Mutex
	// The fields below are guarded by mu. record is the last one that the log confirmed, and sentAt when it was sent.
	record leasemapper.Record
	sentAt boottimer.Instant
	// base is what the next write changes: record, or what the log was found to hold since. Duties don't see the
	// latter, as another write of this process may still replace it, until the next one is confirmed.
	base leasemapper.Record
	// unconfirmedAt is when a duty last reported a command that may still be on its way.
	unconfirmedAt boottimer.Instant
	// endReason is why the lease ended; empty while it lasts.
	endReason string
	expiry    *time.Timer
}

// saveRequest asks to store the state of a duty.
type saveRequest struct {
	ctx   context.Context
	duty  quetzalroad.DutyName
	state []byte
	// result receives the outcome. It is buffered.
	result chan error
}

// newGrant returns a lease that began with a record sent at an instant.
func newGrant(ctx context.Context, l *Leaser, r leasemapper.Record, sentAt boottimer.Instant) *grant {
	g := &grant{
		leaser: l, token: r.Token, epoch: r.Epoch, grantedAt: boottimer.Now(), over: make(chan struct{}), saves: make(chan saveRequest),
		record: r, base: r, sentAt: sentAt,
	}
	g.duties, g.cancelDuties = context.WithCancel(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expiry = time.AfterFunc(g.remainingLocked(), g.expire)
	return g
}

// Token implements quetzalroad.Lease.
func (g *grant) Token() quetzalroad.FencingToken {
	return g.token
}

// State implements quetzalroad.Lease.
func (g *grant) State(d quetzalroad.DutyName) []byte {
	return g.confirmed().States[d]
}

// LostBefore implements quetzalroad.Lease.
func (g *grant) LostBefore() time.Time {
	return g.confirmed().LostBefore
}

// Check implements quetzalroad.Lease.
func (g *grant) Check(d time.Duration) error {
	if g.leaser.node.Stopping() || g.leaser.epochs.Epoch() != g.epoch {
		return quetzalroad.ErrLeaseEnded
	}
	if g.reason() != "" || g.remaining() < d {
		return quetzalroad.ErrLeaseEnded
	}
	if g.leaser.active.Load() != g {
		g.leaser.recordViolation("duty-without-lease", g.token)
		return quetzalroad.ErrLeaseEnded
	}
	return nil
}

// Unconfirmed implements quetzalroad.Lease.
func (g *grant) Unconfirmed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unconfirmedAt = boottimer.Now()
}

// Save implements quetzalroad.Lease.
func (g *grant) Save(ctx context.Context, d quetzalroad.DutyName, state []byte) error {
	request := saveRequest{ctx: ctx, duty: d, state: state, result: make(chan error, 1)}
	select {
	case g.saves <- request:
	case <-g.over:
		return quetzalroad.ErrLeaseEnded
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "save the state of a duty")
	}
	select {
	case err := <-request.result:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "save the state of a duty")
	}
}

// remainingLocked returns how long the lease lasts from now; negative if it has ended.
func (g *grant) remainingLocked() time.Duration {
	return g.leaser.policy.duration - g.sentAt.Age()
}

func (g *grant) remaining() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.remainingLocked()
}

// mayBeInFlight reports whether a command that was never confirmed may still arrive.
func (g *grant) mayBeInFlight() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unconfirmedAt.Age() < g.leaser.policy.takeOverDelay()
}

func (g *grant) confirmed() leasemapper.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.record
}

func (g *grant) nextBase() leasemapper.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.base
}

// adopt bases the next write on a record that this process wrote without learning that it was stored.
func (g *grant) adopt(r leasemapper.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.base = r
}

// extend notes that the log confirmed a record, unless the lease ended before.
func (g *grant) extend(r leasemapper.Record, sentAt boottimer.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endReason == "" && g.remainingLocked() > 0 {
		g.record, g.base, g.sentAt = r, r, sentAt
		g.expiry.Reset(g.remainingLocked())
	}
}

// expire ends the lease unless it was extended meanwhile.
func (g *grant) expire() {
	g.mu.Lock()
	remaining := g.remainingLocked()
	if remaining > 0 && g.endReason == "" {
		g.expiry.Reset(remaining)
	}
	g.mu.Unlock()
	if remaining <= 0 {
		g.end(reasonExpired)
	}
}

// end ends the lease for a reason, unless it has ended.
func (g *grant) end(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endReason != "" {
		return
	}
	g.endReason = reason
	g.expiry.Stop()
	g.cancelDuties()
	close(g.over)
}

// reason returns why the lease ended; empty while it lasts.
func (g *grant) reason() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endReason
}
