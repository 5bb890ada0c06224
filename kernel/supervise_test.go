package kernel

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

func newTestNode() *Node {
	return &Node{Logger: slog.New(slog.DiscardHandler), failed: make(chan struct{})}
}

// A task that ended by itself left a node without it, which served outdated state for good.
func TestTaskThatReturnsIsStartedAgain(t *testing.T) {
	for name, taskErr := range map[string]error{"an error": errors.New("broken"), "no error": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, runs := newTestNode(), 0
				n.AddTask("task", func(ctx context.Context) error {
					runs++
					if runs%maxQuickReturns != 0 {
						return taskErr
					}
					select {
					case <-ctx.Done():
						return ctx.Err()
					case <-time.After(quickReturn):
						return taskErr
					}
				})
				n.Start()
				time.Sleep(time.Minute)
				n.Kill()
				if err := n.Wait(); err != nil {
					t.Error(err)
				}
				if runs <= maxQuickReturns {
					t.Errorf("the task ran %d times", runs)
				}
				if got := n.restarts.Get("task").String(); got == "0" {
					t.Errorf("%s restarts are counted", got)
				}
			})
		})
	}
}

// A node whose task kept failing stayed half alive.
func TestTaskThatKeepsReturningEndsTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode()
		n.AddTask("task", func(context.Context) error { return nil })
		n.AddTask("other", func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
		n.Start()
		<-n.Failed()
		if err := n.Wait(); !errors.Is(err, errTaskReturned) {
			t.Errorf("got %v", err)
		}
	})
}

// A task that ends with a planned stop, such as a server's, was taken for a failed one.
func TestTaskThatReturnsInAPlannedStopIsNotStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, runs := newTestNode(), 0
		stopped := make(chan struct{})
		n.AddTask("serve", func(context.Context) error {
			runs++
			<-stopped
			return nil
		})
		n.OnStop(func(context.Context) { close(stopped) })
		n.Start()
		n.Stop(t.Context())
		if err := n.Wait(); err != nil || runs != 1 {
			t.Errorf("error %v, %d runs", err, runs)
		}
	})
}
