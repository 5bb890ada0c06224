package watcher_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// stuckLog is a log whose reads don't return while it is stuck, whatever their timeout.
type stuckLog struct {
	faker.KeyedLog
	mu sync.Mutex
	// released is guarded by mu, and nil unless the log is stuck.
	released chan struct{}
}

func (l *stuckLog) Build(n *kernel.Node) error {
	if err := l.KeyedLog.Build(n); err != nil {
		return err
	}
	n.KeyedLog = l
	return nil
}

func (l *stuckLog) setStuck(stuck bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stuck {
		l.released = make(chan struct{})
		return
	}
	close(l.released)
	l.released = nil
}

func (l *stuckLog) ReadKeyed(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Position, wait time.Duration) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	l.mu.Lock()
	released := l.released
	l.mu.Unlock()
	if released != nil {
		<-released
	}
	return l.KeyedLog.ReadKeyed(ctx, s, from, wait)
}

// A node that no longer followed the log reported itself ready for good, as its deployment doesn't enforce the
// revocation of keys.
func TestNodeThatStoppedFollowingIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := new(stuckLog)
		node, err := faker.BuildForwardNode(slog.New(slog.DiscardHandler), map[string]string{"state": `{"plugin": "watcher", "places": "west-1=west"}`},
			kernel.Override{Slot: kernel.SlotKeyedLog, Component: x})
		if err != nil {
			t.Fatal(err)
		}
		x.Put(quetzalroad.LogStreamOperators, "config", publishedState(1))
		node.Start()
		defer func() {
			node.Kill()
			if err := node.Wait(); err != nil {
				t.Error(err)
			}
		}()
		ready := func(want bool, what string) {
			t.Helper()
			time.Sleep(time.Minute)
			if err := node.Ready(); (err == nil) != want {
				t.Errorf("%s: got %v", what, err)
			}
		}
		ready(true, "the node follows the log")
		x.SetUnavailable(true)
		ready(true, "the log is unavailable, and the node goes on trying")
		x.SetUnavailable(false)
		x.setStuck(true)
		ready(false, "a read doesn't return")
		x.setStuck(false)
		ready(true, "the read has returned")
	})
}
