package prover

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

var upstreamAddress = netip.MustParseAddrPort("10.0.0.9:80")

// runChats sends chats to the nodes round-robin, evenly spread over a duration, and checks
// that each caller gets its own complete response or an error.
func (x *fixture) runChats(count int, duration time.Duration, profile string) *outcomeStats {
	x.t.Helper()
	stats := &outcomeStats{}
	var group sync.WaitGroup
	for i := range count {
		n := x.Nodes[i%len(x.Nodes)]
		group.Go(func() {
			time.Sleep(duration * time.Duration(i) / time.Duration(count))
			c := newChat(n, fmt.Sprintf("%s-%d", profile, i), profile)
			sink := &textSink{}
			err := n.Dispatcher.Chat(context.Background(), c, sink)
			stats.record(err)
			if err != nil {
				return
			}
			if diff := cmp.Diff(x.ChatClient.ExpectedResponse(c), sink.text.String()); diff != "" {
				x.t.Errorf("%s did not get its own complete response (-want +got):\n%s", c.ID, diff)
			}
		})
	}
	group.Wait()
	return stats
}

func TestChatsCompleteWithoutFaults(t *testing.T) {
	runWithNodes(t, 3, func(t *testing.T, x *fixture) {
		r := x.runChats(60, 6*time.Second, "chat")
		want := map[quetzalroad.Outcome]int{quetzalroad.OutcomeCompleted: 60}
		if diff := cmp.Diff(want, r.outcomes); diff != "" {
			t.Errorf("outcomes (-want +got):\n%s\nreasons: %v", diff, r.reasons)
		}
	})
}

func TestEngineCrashMidStreamIsResumedElsewhere(t *testing.T) {
	runWithNodes(t, 3, func(t *testing.T, x *fixture) {
		go func() {
			time.Sleep(2 * time.Second)
			x.ChatClient.Engines["east-engine-0"].SetDown(true)
		}()
		r := x.runChats(60, 6*time.Second, "chat")
		want := map[quetzalroad.Outcome]int{quetzalroad.OutcomeCompleted: 60}
		if diff := cmp.Diff(want, r.outcomes); diff != "" {
			t.Errorf("outcomes (-want +got):\n%s\nreasons: %v", diff, r.reasons)
		}
		if x.ChatClient.Engines["east-engine-0"].Stats().WastedTokens == 0 {
			t.Error("the crash interrupted no response, so the test checks nothing")
		}
	})
}

func TestStalledStreamsAreRetriedElsewhere(t *testing.T) {
	runWithNodes(t, 3, func(t *testing.T, x *fixture) {
		go func() {
			time.Sleep(2 * time.Second)
			for _, engine := range x.ChatClient.Engines {
				engine.StallStreams()
			}
		}()
		r := x.runChats(60, 6*time.Second, "chat")
		want := map[quetzalroad.Outcome]int{quetzalroad.OutcomeCompleted: 60}
		if diff := cmp.Diff(want, r.outcomes); diff != "" {
			t.Errorf("outcomes (-want +got):\n%s\nreasons: %v", diff, r.reasons)
		}
	})
}

func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	runWithNodes(t, 1, func(t *testing.T, x *fixture) {
		n := x.Nodes[0]
		x.ChatClient.ResponseLength = func(*quetzalroad.ChatRequest) int { return 500 }
		ctx, disconnect := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer disconnect()
		err := n.Dispatcher.Chat(ctx, newChat(n, "leaver", "chat"), &textSink{})
		if got := outcomeOf(err); got != quetzalroad.OutcomeUnknown {
			t.Errorf("outcome = %q, want unknown", got)
		}
		time.Sleep(100 * time.Millisecond)
		for name, engine := range x.ChatClient.Engines {
			if stats := engine.Stats(); stats.ActiveRequests != 0 {
				t.Errorf("%s still has %d active requests", name, stats.ActiveRequests)
			}
		}
		if n.Vars.Get("tokens-wasted").String() == "0" {
			t.Error("tokens-wasted is 0, want the tokens of the cancelled request")
		}
	})
}

func TestDraftsArePreemptedForChatsAndResumed(t *testing.T) {
	runWithNodes(t, 1, func(t *testing.T, x *fixture) {
		x.ChatClient.ResponseLength = func(c *quetzalroad.ChatRequest) int {
			if c.Profile.Name == "draft" {
				return 400
			}
			return 30
		}
		drafts := make(chan *outcomeStats)
		go func() { drafts <- x.runChats(60, time.Second, "draft") }()
		time.Sleep(3 * time.Second)
		chats := x.runChats(100, 4*time.Second, "chat")
		want := map[quetzalroad.Outcome]int{quetzalroad.OutcomeCompleted: 100}
		if diff := cmp.Diff(want, chats.outcomes); diff != "" {
			t.Errorf("chats (-want +got):\n%s\nreasons: %v", diff, chats.reasons)
		}
		want = map[quetzalroad.Outcome]int{quetzalroad.OutcomeCompleted: 60}
		if diff := cmp.Diff(want, (<-drafts).outcomes); diff != "" {
			t.Errorf("drafts (-want +got):\n%s", diff)
		}
		if got := x.Nodes[0].Vars.Get("retries").String(); got == "{}" {
			t.Error("no draft was preempted, so the test checks nothing")
		}
	})
}

func TestEveryClassProgressesUnderSustainedChats(t *testing.T) {
	runWithNodes(t, 1, func(t *testing.T, x *fixture) {
		x.ChatClient.ResponseLength = func(*quetzalroad.ChatRequest) int { return 50 }
		deadline := time.Now().Add(40 * time.Second)
		var group sync.WaitGroup
		for i := range 30 {
			group.Go(func() {
				for k := 0; time.Now().Before(deadline); k++ {
					n := x.Nodes[0]
					// Refusals are ignored: the next chat keeps up the load.
					_ = n.Dispatcher.Chat(context.Background(), newChat(n, fmt.Sprintf("endless-%d-%d", i, k), "chat"), &textSink{})
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		time.Sleep(time.Second)
		start := time.Now()
		r := x.runChats(5, 0, "draft")
		elapsed := time.Since(start)
		want := map[quetzalroad.Outcome]int{quetzalroad.OutcomeCompleted: 5}
		if diff := cmp.Diff(want, r.outcomes); diff != "" {
			t.Errorf("drafts (-want +got):\n%s", diff)
		}
		// Each tier is served at least once per floor-after, which is 2 s, and a
		// draft of 50 tokens runs for less than 1.5 s.
		if limit := 5 * (2*time.Second + 1500*time.Millisecond); elapsed > limit {
			t.Errorf("five drafts took %s under sustained chats, want at most %s", elapsed, limit)
		}
		group.Wait()
	})
}

func TestGracefulStopInterruptsNoRequest(t *testing.T) {
	runWithNodes(t, 3, func(t *testing.T, x *fixture) {
		x.ChatClient.ResponseLength = func(*quetzalroad.ChatRequest) int { return 300 }
		stopped := x.Nodes[0]
		inFlightAtEnd := make(chan int)
		go func() {
			time.Sleep(time.Second)
			go stopped.Stop(context.Background())
			if err := stopped.Wait(); err != nil {
				t.Errorf("stopped node returned error: %v", err)
			}
			inFlightAtEnd <- stopped.InFlight()
		}()
		r := x.runChats(30, 1500*time.Millisecond, "chat")
		want := map[quetzalroad.Outcome]int{quetzalroad.OutcomeCompleted: 30}
		if diff := cmp.Diff(want, r.outcomes); diff != "" {
			t.Errorf("outcomes (-want +got):\n%s\nreasons: %v", diff, r.reasons)
		}
		if inFlight := <-inFlightAtEnd; inFlight != 0 {
			t.Errorf("node ended with %d requests in flight", inFlight)
		}
	})
}

func TestGracefulStopEndsWhileLogIsUnavailable(t *testing.T) {
	runWithNodes(t, 2, func(t *testing.T, x *fixture) {
		n := x.Nodes[0]
		go func() {
			time.Sleep(50 * time.Millisecond)
			x.Log.SetDown(true)
		}()
		x.ServiceClient.ExecutionTime = time.Second
		if _, err := n.Dispatcher.Call(context.Background(), newBooking(n, "b1", "key")); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		n.Stop(context.Background())
		if err := n.Wait(); err != nil {
			t.Error(err)
		}
		// The fixture's balancer-lag and the default flush timeout.
		if elapsed, limit := time.Since(start), time.Second+15*time.Second; elapsed > limit {
			t.Errorf("graceful stop took %s, want at most %s", elapsed, limit)
		}
	})
}

func TestChatsAreNeverPreemptedByHigherTiers(t *testing.T) {
	runWithNodes(t, 1, func(t *testing.T, x *fixture) {
		urgent := chatProfile()
		urgent.Name, urgent.Class, urgent.Tier = "urgent", "urgent", 0
		x.publish(quetzalroad.Object{Profile: urgent})
		x.ChatClient.ResponseLength = func(*quetzalroad.ChatRequest) int { return 200 }
		chats := make(chan *outcomeStats)
		go func() { chats <- x.runChats(24, 500*time.Millisecond, "chat") }()
		time.Sleep(time.Second)
		r := x.runChats(20, time.Second, "urgent")
		if r.reasons[quetzalroad.ReasonTargetUnreachable] == 0 {
			t.Errorf("no urgent request was refused for lack of capacity, so the test checks nothing: %v", r.outcomes)
		}
		if got := (<-chats).outcomes[quetzalroad.OutcomeCompleted]; got < 16 {
			t.Errorf("%d chats completed, want at least 16", got)
		}
		if got := x.Nodes[0].Vars.Get("retries").String(); got != "{}" {
			t.Errorf("retries = %s, want none: no chat may be preempted", got)
		}
	})
}
