package prover

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// callerOutcomes counts the outcomes reported to the callers of one key.
type callerOutcomes struct {
	completed int
	notRun    int
	unknown   int
}

// bookOnEveryNode sends a booking under each key to every node at once, with the keys
// spread over a duration, and returns the reported outcomes by key.
func (x *fixture) bookOnEveryNode(keys int, duration time.Duration) map[string]*callerOutcomes {
	var mu sync.Mutex
	outcomes := make(map[string]*callerOutcomes)
	var group sync.WaitGroup
	for k := range keys {
		key := fmt.Sprintf("key-%d", k)
		got := &callerOutcomes{}
		outcomes[key] = got
		for i, n := range x.Nodes {
			group.Go(func() {
				time.Sleep(duration * time.Duration(k) / time.Duration(keys))
				_, err := n.Dispatcher.Call(context.Background(), newBooking(n, fmt.Sprintf("%s-%d", key, i), key))
				mu.Lock()
				defer mu.Unlock()
				switch outcomeOf(err) {
				case quetzalroad.OutcomeCompleted:
					got.completed++
				case quetzalroad.OutcomeNotRun:
					got.notRun++
				case quetzalroad.OutcomeUnknown:
					got.unknown++
				}
			})
		}
	}
	group.Wait()
	return outcomes
}

// checkExecutions compares the reported outcomes with the executions counted by the service.
func (x *fixture) checkExecutions(outcomes map[string]*callerOutcomes) {
	x.t.Helper()
	for key, got := range outcomes {
		runs := x.ServiceClient.Executions(key)
		if runs > 1 {
			x.t.Errorf("%s ran %d times", key, runs)
		}
		if runs == 0 && got.completed > 0 {
			x.t.Errorf("%s did not run, but was reported as completed to %d callers", key, got.completed)
		}
		if runs == 1 && got.completed == 0 && got.unknown == 0 {
			x.t.Errorf("%s ran, but was reported as not run to all %d callers", key, got.notRun)
		}
	}
}

// claimTestKeys is the number of keys with which the required check of claims runs.
const claimTestKeys = 10000

func TestSameKeyOnEveryNodeRunsOnceDespiteLostResponses(t *testing.T) {
	keys := claimTestKeys
	if testing.Short() {
		keys = claimTestKeys / 10
	}
	runWithNodes(t, 4, func(t *testing.T, x *fixture) {
		x.Log.SetResponseLoss(0.3, 11)
		x.ServiceClient.SetFaults(0.05, 0.05, 0.05, 12)
		outcomes := x.bookOnEveryNode(keys, time.Duration(keys)*5*time.Millisecond)
		x.checkExecutions(outcomes)
		completed := 0
		for _, got := range outcomes {
			if got.completed > 0 {
				completed++
			}
		}
		if completed < keys*8/10 {
			t.Errorf("only %d of %d keys completed", completed, keys)
		}
	})
}

func TestKeyedBookingIsNotRunWhileLogIsUnavailable(t *testing.T) {
	runWithNodes(t, 2, func(t *testing.T, x *fixture) {
		x.Log.SetDown(true)
		n := x.Nodes[0]
		_, err := n.Dispatcher.Call(context.Background(), newBooking(n, "b1", "key"))
		if diff := cmp.Diff(quetzalroad.ReasonClaimUnavailable, reasonOf(err)); diff != "" {
			t.Errorf("reason (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(quetzalroad.OutcomeNotRun, outcomeOf(err)); diff != "" {
			t.Errorf("outcome (-want +got):\n%s", diff)
		}
		x.Log.SetDown(false)
		time.Sleep(3 * time.Second)
		if runs := x.ServiceClient.Executions("key"); runs != 0 {
			t.Errorf("the booking ran %d times after it was reported as not run", runs)
		}
		response, err := n.Dispatcher.Call(context.Background(), newBooking(n, "b2", "key"))
		if err != nil {
			t.Fatalf("retry after the log became available: %v", err)
		}
		if diff := cmp.Diff("key", string(response.Body)); diff != "" {
			t.Errorf("response (-want +got):\n%s", diff)
		}
	})
}

func TestBookingsDuringRepeatedLogOutages(t *testing.T) {
	runWithNodes(t, 4, func(_ *testing.T, x *fixture) {
		go func() {
			for range 5 {
				time.Sleep(700 * time.Millisecond)
				x.Log.SetDown(true)
				time.Sleep(1500 * time.Millisecond)
				x.Log.SetDown(false)
			}
		}()
		x.checkExecutions(x.bookOnEveryNode(1000, 12*time.Second))
		time.Sleep(5 * time.Second)
	})
}

func TestRepeatedKeyReturnsFirstResponse(t *testing.T) {
	runWithNodes(t, 2, func(t *testing.T, x *fixture) {
		for i, n := range x.Nodes {
			response, err := n.Dispatcher.Call(context.Background(), newBooking(n, fmt.Sprintf("b%d", i), "key"))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff("key", string(response.Body)); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			time.Sleep(time.Second)
		}
		if runs := x.ServiceClient.Executions("key"); runs != 1 {
			t.Errorf("the booking ran %d times", runs)
		}
	})
}

func TestKeyReusedForDifferentCallIsRefused(t *testing.T) {
	runWithNodes(t, 1, func(t *testing.T, x *fixture) {
		n := x.Nodes[0]
		if _, err := n.Dispatcher.Call(context.Background(), newBooking(n, "b1", "key")); err != nil {
			t.Fatal(err)
		}
		other := newBooking(n, "b2", "key")
		other.Body = []byte("something else")
		_, err := n.Dispatcher.Call(context.Background(), other)
		if diff := cmp.Diff(quetzalroad.ReasonIdempotencyKeyReused, reasonOf(err)); diff != "" {
			t.Errorf("reason (-want +got):\n%s", diff)
		}
	})
}

func TestExpiredKeyIsRefused(t *testing.T) {
	runWithNodes(t, 1, func(t *testing.T, x *fixture) {
		n := x.Nodes[0]
		if _, err := n.Dispatcher.Call(context.Background(), newBooking(n, "b1", "key")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(61 * time.Minute)
		_, err := n.Dispatcher.Call(context.Background(), newBooking(n, "b2", "key"))
		if diff := cmp.Diff(quetzalroad.ReasonIdempotencyKeyExpired, reasonOf(err)); diff != "" {
			t.Errorf("reason (-want +got):\n%s", diff)
		}
		if runs := x.ServiceClient.Executions("key"); runs != 1 {
			t.Errorf("the booking ran %d times", runs)
		}
	})
}

func TestNodeCrashAfterClaimYieldsUnknownOutcome(t *testing.T) {
	runWithNodes(t, 2, func(t *testing.T, x *fixture) {
		x.ServiceClient.ExecutionTime = 5 * time.Second
		first, second := x.Nodes[0], x.Nodes[1]
		go func() {
			// The node crashes before it can report an outcome.
			_, _ = first.Dispatcher.Call(context.Background(), newBooking(first, "b1", "key"))
		}()
		time.Sleep(time.Second)
		first.Kill()
		_, err := second.Dispatcher.Call(context.Background(), newBooking(second, "b2", "key"))
		if diff := cmp.Diff(quetzalroad.OutcomeUnknown, outcomeOf(err)); diff != "" {
			t.Errorf("outcome (-want +got):\n%s", diff)
		}
		if runs := x.ServiceClient.Executions("key"); runs != 1 {
			t.Errorf("the booking ran %d times", runs)
		}
		time.Sleep(x.ServiceClient.ExecutionTime)
	})
}

func TestUnkeyedBookingIsNotRetriedAfterLostResponse(t *testing.T) {
	runWithNodes(t, 1, func(t *testing.T, x *fixture) {
		x.ServiceClient.SetFaults(1, 0, 0, 1)
		n := x.Nodes[0]
		_, err := n.Dispatcher.Call(context.Background(), newBooking(n, "b1", ""))
		if diff := cmp.Diff(quetzalroad.ReasonUpstreamResponseLost, reasonOf(err)); diff != "" {
			t.Errorf("reason (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(quetzalroad.OutcomeUnknown, outcomeOf(err)); diff != "" {
			t.Errorf("outcome (-want +got):\n%s", diff)
		}
		if runs := x.ServiceClient.TotalExecutions(); runs != 1 {
			t.Errorf("the booking ran %d times", runs)
		}
	})
}

func TestBookingThatDidNotRunIsRetried(t *testing.T) {
	runWithNodes(t, 1, func(t *testing.T, x *fixture) {
		x.ServiceClient.SetFaults(0, 0.3, 0.3, 3)
		stats := &outcomeStats{}
		n := x.Nodes[0]
		for i := range 50 {
			_, err := n.Dispatcher.Call(context.Background(), newBooking(n, fmt.Sprintf("b%d", i), ""))
			stats.record(err)
		}
		if got := stats.outcomes[quetzalroad.OutcomeCompleted]; got != x.ServiceClient.TotalExecutions() {
			t.Errorf("%d completed, but %d ran", got, x.ServiceClient.TotalExecutions())
		}
		if stats.outcomes[quetzalroad.OutcomeCompleted] < 40 || stats.outcomes[quetzalroad.OutcomeUnknown] != 0 {
			t.Errorf("outcomes %v, reasons %v; want at least 40 completed and none unknown", stats.outcomes, stats.reasons)
		}
	})
}

func TestIdempotentCallThatMayHaveRunHasUnknownOutcome(t *testing.T) {
	runWithNodes(t, 1, func(t *testing.T, x *fixture) {
		x.ServiceClient.SetFaults(1, 0, 0, 1)
		n := x.Nodes[0]
		c := newBooking(n, "b1", "")
		c.Idempotent = true
		_, err := n.Dispatcher.Call(context.Background(), c)
		if diff := cmp.Diff(quetzalroad.OutcomeUnknown, outcomeOf(err)); diff != "" {
			t.Errorf("outcome (-want +got):\n%s", diff)
		}
		if runs := x.ServiceClient.TotalExecutions(); runs < 2 {
			t.Errorf("the idempotent call ran %d times, want at least 2", runs)
		}
	})
}
