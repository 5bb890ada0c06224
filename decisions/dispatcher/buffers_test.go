package dispatcher_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// emptyBudget is a budget of which nothing is left.
type emptyBudget struct{}

func (emptyBudget) Acquire(int) bool { return false }
func (emptyBudget) Release(int)      {}

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
				x.node.BufferBudget = emptyBudget{}
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
