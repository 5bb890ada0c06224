package kernel

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Stop shuts the node down: it becomes unready, accepts requests until load
// balancers have noticed, waits for the work in flight, and cancels its tasks.
// The context bounds the waiting.
func (n *Node) Stop(ctx context.Context) {
	n.stopOnce.Do(func() { n.stop(ctx) })
}

func (n *Node) stop(ctx context.Context) {
	n.stopping.Store(true)
	if n.stopBegun != nil {
		close(n.stopBegun)
	}
	if n.stopTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, n.stopTimeout)
		defer cancel()
	}
	defer n.endWork(ctx)()
	n.Logger.Info("stopping", "balancer-lag", n.balancerLag, "open", n.InFlight())
	timer := time.NewTimer(n.balancerLag)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	n.expectNoRequests(ctx)
	for i := len(n.stopHooks) - 1; i >= 0; i-- {
		n.stopHooks[i](ctx)
	}
	n.tomb.Kill(nil)
}

// answerMargin is the part of a planned stop reserved for the answers to work that it ends.
const answerMargin = 400 * time.Millisecond

// errEnding is why work in flight ends before it is complete.
var errEnding = errors.New("the node's planned stop is over")

// endWork ends the work in flight when a planned stop is nearly over. It returns a function that gives up.
func (n *Node) endWork(ctx context.Context) func() {
	deadline, bounded := ctx.Deadline()
	if !bounded || n.endingNow == nil {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(deadline.Add(-answerMargin)), func() { n.endingNow(errEnding) })
	return func() { timer.Stop() }
}

// expectNoRequests records by when a request that comes now has to end.
func (n *Node) expectNoRequests(ctx context.Context) {
	if deadline, bounded := ctx.Deadline(); bounded {
		latest := deadline.Add(-answerMargin)
		n.closingTo.Store(&latest)
	}
}

// WorkDeadline returns when the work in flight has to end, if the node is stopping and no longer expects
// requests.
func (n *Node) WorkDeadline() (time.Time, bool) {
	if at := n.closingTo.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

// Ending returns a context that is done when a planned stop is nearly over, so that the work in flight has to
// end with an answer.
func (n *Node) Ending() context.Context {
	if n.ending == nil {
		return context.Background()
	}
	return n.ending
}
