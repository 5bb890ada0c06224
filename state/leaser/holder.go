package leaser

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/leasemapper"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

// Why a lease ended, for the log.
const (
	reasonExpired   = "no renewal was confirmed in time"
	reasonTakenOver = "another node has written the record"
	reasonRestored  = "the log was restored from an older copy"
	reasonReleased  = "released"
	reasonStopped   = "stopped while a command may be in flight"
	reasonKilled    = "the node has ended"
)

// errTakenOver reports that another process has written the record.
var errTakenOver = errors.New("the record of the lease was written by another node")

// hold renews the lease and saves states until the lease ends, and returns once its duties have.
func (l *Leaser) hold(ctx context.Context, g *grant) {
	l.holding.Set(1)
	dutiesDone := l.performDuties(g)
	timer := time.NewTimer(l.policy.renewEvery)
	defer timer.Stop()
	stopBegun := l.node.StopBegun()
	for stopping := false; g.reason() == ""; {
		var idle <-chan struct{}
		if stopping {
			idle = dutiesDone
		}
		select {
		case <-timer.C:
			timer.Reset(l.renew(ctx, g))
		case request := <-g.saves:
			if l.save(g, request) {
				timer.Reset(l.policy.renewEvery)
			}
		case <-stopBegun:
			stopBegun, stopping = nil, true
			g.cancelDuties()
		case <-idle:
			l.release(ctx, g)
		case <-ctx.Done():
			g.end(reasonKilled)
		case <-g.over:
		}
	}
	l.holding.Set(0)
	l.logEnd(g)
	<-dutiesDone
}

func (l *Leaser) logEnd(g *grant) {
	reason := g.reason()
	if reason == reasonReleased {
		l.logger.Info("lease released", "token", uint64(g.token))
		return
	}
	l.losses.Add(1)
	l.logger.Warn("lease lost", "token", uint64(g.token), "reason", reason)
}

// renew renews the lease and returns the time until the next renewal.
func (l *Leaser) renew(ctx context.Context, g *grant) time.Duration {
	err := l.put(ctx, g, func(r leasemapper.Record) leasemapper.Record { return r })
	switch {
	case err == nil && l.failedRenewals > 0:
		l.logger.Info("lease renewed after a failure", "token", uint64(g.token), "failures", l.failedRenewals)
		l.failedRenewals = 0
	case err != nil:
		if l.failedRenewals++; l.failedRenewals == 1 {
			l.logger.Warn("failed to renew the lease", "token", uint64(g.token), "remaining", g.remaining(), "error", err)
		}
		l.renewalFailures.Add(1)
		return retryDelay
	}
	return l.policy.renewEvery
}

// save stores the state of a duty, which also renews the lease, and reports whether it did.
func (l *Leaser) save(g *grant, s saveRequest) bool {
	err := l.put(s.ctx, g, func(r leasemapper.Record) leasemapper.Record { return withState(r, s.duty, s.state) })
	if err != nil {
		l.logger.Warn("failed to save the state of a duty", "duty", string(s.duty), "token", uint64(g.token), "error", err)
	}
	s.result <- err
	return err == nil
}

// put writes a change of the record, which confirms the lease. After a conflict it reads the record, and writes once
// more if only this process has written it: the response to an earlier write was lost.
func (l *Leaser) put(ctx context.Context, g *grant, change func(leasemapper.Record) leasemapper.Record) error {
	for attempt := 0; ; attempt++ {
		if l.epochs.Epoch() != g.epoch {
			g.end(reasonRestored)
			return errEpochChanged
		}
		record := change(g.nextBase())
		if g.grantedAt.Age() >= l.policy.takeOverDelay() {
			// No command of an earlier holder is recent any more.
			record.RecentHolders = nil
		}
		sentAt, err := l.write(ctx, record)
		switch {
		case err == nil:
			g.extend(record, sentAt)
			return nil
		case !errors.Is(err, quetzalroad.ErrConflict) || attempt > 0:
			return err
		}
		if err := l.resync(ctx, g); err != nil {
			return err
		}
	}
}

// resync reads the record after a conflict. The lease ends if another process has written it.
func (l *Leaser) resync(ctx context.Context, g *grant) error {
	s, err := l.read(ctx)
	switch {
	case err != nil:
		return err
	case s.epoch != g.epoch:
		g.end(reasonRestored)
		return errEpochChanged
	case !l.isOwn(s.current) || s.current.Token != g.token:
		g.end(reasonTakenOver)
		return errTakenOver
	}
	g.adopt(*s.current)
	return nil
}

// release gives the lease up, so that another node can claim it at once. The lease is left to expire if a command may
// still arrive at the platform after those of the next holder.
func (l *Leaser) release(ctx context.Context, g *grant) {
	if g.mayBeInFlight() {
		g.end(reasonStopped)
		return
	}
	err := l.put(ctx, g, func(r leasemapper.Record) leasemapper.Record {
		r.Released = true
		return r
	})
	if err != nil {
		l.logger.Warn("failed to release the lease", "token", uint64(g.token), "error", err)
		g.end(reasonExpired)
		return
	}
	g.end(reasonReleased)
}

// performDuties starts the duties and returns a channel that is closed once all have ended.
func (l *Leaser) performDuties(g *grant) <-chan struct{} {
	if !l.active.CompareAndSwap(nil, g) {
		l.recordViolation("duties-of-two-leases", g.token)
	}
	var group sync.WaitGroup
	for _, d := range l.duties {
		group.Go(func() { l.performDuty(g, d) })
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		l.active.CompareAndSwap(g, nil)
		close(done)
	}()
	return done
}

// performDuty performs a duty until the lease ends. A duty that returns before is started again.
func (l *Leaser) performDuty(g *grant, d quetzalroad.Duty) {
	for g.duties.Err() == nil {
		d.Perform(g.duties, g)
		if g.duties.Err() == nil {
			l.logger.Error("duty ended while the lease is held", "duty", string(d.Name()), "token", uint64(g.token))
		}
		// The error only says that the lease has ended.
		_ = sleeper.Sleep(g.duties, l.policy.renewEvery)
	}
}
