package dispatcher_test

import (
	"bytes"
	"context"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// countingBudget is a budget with a number of bytes left. Only one request uses it at a time.
type countingBudget struct{ left, taken int }

func (b *countingBudget) Acquire(n int) bool {
	if n > b.left {
		return false
	}
	b.left -= n
	b.taken += n
	return true
}

func (b *countingBudget) Release(n int) { b.left += n }

// When many endless responses have used up the budget, small responses are still held until they are complete, and
// large ones reach their callers whole.
func TestUsedUpBufferBudgetCostsNoResponse(t *testing.T) {
	const chunkBytes = 2 << 10
	chunk := bytes.Repeat([]byte("x"), chunkBytes)
	for name, c := range map[string]struct {
		chunks int
		// interrupted makes the first response break off.
		interrupted        bool
		wantSent, wantBody int
	}{
		"small":           {chunks: 3, wantSent: 1, wantBody: 3 * chunkBytes},
		"small, cut once": {chunks: 3, interrupted: true, wantSent: 2, wantBody: 3 * chunkBytes},
		"large":           {chunks: 50, wantSent: 1, wantBody: 50 * chunkBytes},
	} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				x.node.BufferBudget = new(countingBudget)
				x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
					response := &faker.ScriptedResponse{Interrupted: c.interrupted && len(x.Sent()) == 1}
					for range c.chunks {
						response.Chunks = append(response.Chunks, quetzalroad.BodyChunk{Data: chunk})
					}
					return response, nil
				}
				sink, refusal := x.forward(t.Context(), newForwardRequest("safe"))
				if refusal != nil {
					t.Fatal(refusal)
				}
				got := []int{len(x.Sent()), len(sink.Body)}
				if diff := cmp.Diff([]int{c.wantSent, c.wantBody}, got); diff != "" {
					t.Errorf("requests sent and bytes received (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A budget of which requests keep a part is used up some day.
func TestRequestsReturnTheBufferBudgetThatTheyTook(t *testing.T) {
	const budgetBytes = 1 << 20
	chunk := quetzalroad.BodyChunk{Data: bytes.Repeat([]byte("x"), 16<<10)}
	for name, c := range map[string]struct {
		chunks      int
		interrupted bool
	}{"whole": {4, false}, "broken off": {4, true}, "relayed unbuffered": {40, false}, "broken off then": {40, true}} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(t *testing.T, x *forwardFixture) {
				budget := &countingBudget{left: budgetBytes}
				x.node.BufferBudget = budget
				x.Script = func(context.Context, *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
					return &faker.ScriptedResponse{Interrupted: c.interrupted, Chunks: slices.Repeat([]quetzalroad.BodyChunk{chunk}, c.chunks)}, nil
				}
				if _, refusal := x.forward(t.Context(), newForwardRequest("safe")); (refusal != nil) != c.interrupted {
					t.Errorf("refusal %v", refusal)
				}
				if budget.left != budgetBytes || budget.taken == 0 {
					t.Errorf("%d bytes left of %d, %d taken", budget.left, budgetBytes, budget.taken)
				}
			})
		})
	}
	t.Run("completion", func(t *testing.T) {
		budget := &countingBudget{left: budgetBytes}
		engine := &scriptedEngine{event: quetzalroad.ChatEvent{Text: string(chunk.Data), Tokens: 1}, events: 8, budget: budget}
		if err := runChat(t, engine, new(slowSink), time.Hour); err != nil || budget.left != budgetBytes || budget.taken == 0 {
			t.Errorf("%d bytes left of %d, %d taken; error %v", budget.left, budgetBytes, budget.taken, err)
		}
	})
}
