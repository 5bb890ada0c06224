package prover

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
)

// stopResult is how a request ended by the end of a planned stop.
type stopResult struct {
	// Answered is false if the request had no answer when the node was gone.
	Answered bool
	Outcome  quetzalroad.Outcome
	Reason   quetzalroad.RefusalReason
}

// At the end of a planned stop, chats and calls of plain services that still run are answered before the node
// is gone, and late ones that may outlive it are refused as not run.
func TestPlannedStopAnswersChatsAndCalls(t *testing.T) {
	const (
		stopTimeout = 5 * time.Second
		// lateAfter is when in the stop late requests come: after the fixture's balancer lag.
		lateAfter = 2 * time.Second
	)
	chat := func(ctx context.Context, n *kernel.Node) error {
		return n.Dispatcher.Chat(ctx, newChat(n, "1", "chat"), &textSink{})
	}
	callWithKey := func(key string) func(ctx context.Context, n *kernel.Node) error {
		return func(ctx context.Context, n *kernel.Node) error {
			_, err := n.Dispatcher.Call(ctx, newBooking(n, "1", key))
			return err
		}
	}
	running := stopResult{Answered: true, Outcome: quetzalroad.OutcomeUnknown, Reason: quetzalroad.ReasonNotReady}
	late := stopResult{Answered: true, Outcome: quetzalroad.OutcomeNotRun, Reason: quetzalroad.ReasonNotReady}
	for name, c := range map[string]struct {
		request func(ctx context.Context, n *kernel.Node) error
		// delay is how long after the beginning of the stop the request comes; zero means before it.
		delay time.Duration
		want  stopResult
	}{
		"chat":                 {request: chat, want: running},
		"call":                 {request: callWithKey(""), want: running},
		"call with a key":      {request: callWithKey("key"), want: running},
		"late chat":            {request: chat, delay: lateAfter, want: late},
		"late call":            {request: callWithKey(""), delay: lateAfter, want: late},
		"late call with a key": {request: callWithKey("key"), delay: lateAfter, want: late},
	} {
		t.Run(name, func(t *testing.T) {
			runWithNodes(t, 1, func(t *testing.T, x *fixture) {
				x.ServiceClient.ExecutionTime = time.Minute
				x.ChatClient.ResponseLength = func(*quetzalroad.ChatRequest) int { return 100_000 }
				n := x.Nodes[0]
				// Another request, which the stop waits for.
				go func() { _ = callWithKey("other")(t.Context(), n) }()
				answers := make(chan error, 1)
				time.AfterFunc(c.delay, func() { answers <- c.request(t.Context(), n) })
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
				defer cancel()
				n.Stop(ctx)
				var got stopResult
				select {
				case err := <-answers:
					refusal := quetzalroad.AsRefusal(err)
					got = stopResult{Answered: true, Outcome: refusal.Outcome, Reason: refusal.Reason}
				default:
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}
