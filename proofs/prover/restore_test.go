package prover

import (
	"context"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// A log that is restored from an older copy loses its latest records and gives their offsets out again.
func TestChangeUnderAnOffsetGivenOutAgainIsInForce(t *testing.T) {
	runWithNodes(t, 3, func(t *testing.T, x *fixture) {
		x.publishChanges(3)
		x.waitFor(logPropagationLimit, "the changes are in force", x.targetInForce(firstTokenTarget(x.Nodes[0])))
		end := x.Nodes[0].Directory.AppliedOffset() + 1
		x.Log.Truncate(quetzalroad.LogStreamState, end-2)
		if _, err := x.Nodes[0].Publisher.Publish(context.Background(), newChange(x.Nodes[0], 900*time.Millisecond)); err != nil {
			t.Errorf("the change was not confirmed: %v", err)
		}
		x.waitFor(logPropagationLimit, "the change is in force on every node", x.targetInForce(900*time.Millisecond))
	})
}

func TestKeyClaimedInLostRecordsRunsOnce(t *testing.T) {
	runWithNodes(t, 2, func(t *testing.T, x *fixture) {
		n := x.Nodes[0]
		if _, err := n.Dispatcher.Call(context.Background(), newBooking(n, "b1", "key")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		x.Log.Truncate(quetzalroad.LogStreamClaims, 0)
		for i, other := range []string{"other-1", "other-2", "other-3"} {
			// Their claims take the lost offsets; whether they run is not the matter here.
			_, _ = x.Nodes[1].Dispatcher.Call(context.Background(), newBooking(x.Nodes[1], other, other+string(rune('a'+i))))
		}
		late := x.addNode("late", "west")
		// By now all nodes have restated what the log lost.
		time.Sleep(15 * time.Second)
		response, err := late.Dispatcher.Call(context.Background(), newBooking(late, "b2", "key"))
		if err != nil || string(response.Body) != "key" {
			t.Errorf("response %v, error %v; want that of the first request", response, err)
		}
		if runs := x.ServiceClient.Executions("key"); runs != 1 {
			t.Errorf("the booking ran %d times", runs)
		}
		if _, err := late.Dispatcher.Call(context.Background(), newBooking(late, "b3", "new-key")); err != nil {
			t.Errorf("a new key: %v", err)
		}
	})
}

// All nodes are asked for each key, while records of the last claims are lost.
func TestBookingsRunOnceWhileTheLogIsRestoredAgainAndAgain(t *testing.T) {
	runWithNodes(t, 4, func(_ *testing.T, x *fixture) {
		go func() {
			for range 3 {
				time.Sleep(2 * time.Second)
				end := x.Log.EndOffset(quetzalroad.LogStreamClaims)
				x.Log.Truncate(quetzalroad.LogStreamClaims, end-min(end, 20))
			}
		}()
		x.checkExecutions(x.bookOnEveryNode(500, 20*time.Second))
		time.Sleep(10 * time.Second)
	})
}

// The end of the log is beyond the applied offset again before any node reads it.
func TestLostTailIsNoticedAfterTheLogHasGrownPastIt(t *testing.T) {
	runWithNodes(t, 2, func(t *testing.T, x *fixture) {
		x.publishChanges(5)
		end := x.Log.EndOffset(quetzalroad.LogStreamState)
		x.Log.Truncate(quetzalroad.LogStreamState, end-3)
		for range 6 {
			x.Log.AppendDirectly(quetzalroad.LogStreamState, nil)
		}
		time.Sleep(5 * time.Second)
		for _, n := range x.Nodes {
			if n.Vars.Get("log-tail-lost") == nil {
				t.Errorf("%s did not count log-tail-lost", n.Name)
			}
		}
	})
}
