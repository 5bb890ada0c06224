package kernel

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

const (
	// maxQuickReturns is the number of times in a row that a task may return soon after it was started, before the
	// node ends.
	maxQuickReturns = 5
	// quickReturn is the time after its start before which the return of a task is a quick one.
	quickReturn = 10 * time.Second
	// initialRestartDelay is the delay before a task is started again; it doubles with each quick return.
	initialRestartDelay = 100 * time.Millisecond
)

// errTaskReturned is the error of a task that returned none before the stop.
var errTaskReturned = errors.New("the task returned before the stop")

// supervise runs a task until the node ends. A task that returns before is started again. If it keeps returning, the
// error ends the node, so that the platform replaces the process: without its tasks it would serve outdated state.
func (n *Node) supervise(ctx context.Context, t task) error {
	delay := initialRestartDelay
	for quickReturns := 0; ; {
		started := time.Now()
		err := t.run(ctx)
		if ctx.Err() != nil || (err == nil && n.Stopping()) {
			return nil
		}
		if err == nil {
			err = errTaskReturned
		}
		if time.Since(started) >= quickReturn {
			quickReturns, delay = 0, initialRestartDelay
		}
		quickReturns++
		if quickReturns > maxQuickReturns {
			n.Logger.Error("task failed; ending the node", "task", t.name, "error", err)
			n.failOnce.Do(n.reportFailure)
			return errors.Wrapf(err, "task %s", t.name)
		}
		n.Logger.Error("task failed; starting it again", "task", t.name, "delay", delay, "error", err)
		n.restarts.Add(t.name, 1)
		if sleeper.Sleep(ctx, delay) != nil {
			return nil
		}
		delay *= 2
	}
}

func (n *Node) reportFailure() {
	if n.failed != nil {
		close(n.failed)
	}
}

// Failed returns a channel that is closed when the node ends because of a task that keeps returning. Other tasks may
// still run then.
func (n *Node) Failed() <-chan struct{} {
	return n.failed
}
