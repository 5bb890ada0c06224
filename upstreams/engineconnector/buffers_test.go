package engineconnector

import (
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/bufferer"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// A stream holds its share of the budget until it is closed, and a small one takes nothing.
func TestStreamReturnsTheBufferBudgetThatItTook(t *testing.T) {
	const budgetBytes = 1 << 20
	for name, c := range map[string]struct {
		textBytes int
		holds     bool
		reason    quetzalroad.RetryReason
	}{
		"small events":        {100, false, ""},
		"large events":        {50 << 10, true, ""},
		"largest events":      {250 << 10, true, ""},
		"beyond what is left": {250 << 10, true, quetzalroad.RetryBuffersFull},
	} {
		t.Run(name, func(t *testing.T) {
			budget := &bufferer.Budget{MaxBytes: budgetBytes}
			connector := new(Connector)
			connector.Declare(new(configloader.Section))
			if err := connector.Build(&kernel.Node{Logger: slog.New(slog.DiscardHandler), BufferBudget: budget}); err != nil {
				t.Fatal(err)
			}
			defer connector.client.Close()
			if c.reason != "" && !budget.Acquire(budgetBytes/2) {
				t.Fatal("the budget is too small")
			}
			chunk := `data: {"choices":[{"index":0,"delta":{"content":"` + strings.Repeat("x", c.textBytes) + "\"}}]}\n\n"
			u := startEngine(t, chunk+"data: [DONE]\n\n")
			stream, err := connector.Start(t.Context(), u, &quetzalroad.ChatRequest{Body: []byte(`{"messages":[]}`)}, nil)
			if err != nil {
				t.Fatal(err)
			}
			for err == nil {
				_, err = stream.Next()
			}
			var failure *quetzalroad.AttemptError
			if errors.As(err, &failure) != (c.reason != "") || (failure != nil && failure.RetryReason != c.reason) || (failure == nil && !errors.Is(err, io.EOF)) {
				t.Errorf("ended with %v, want reason %q", err, c.reason)
			}
			if c.reason != "" {
				budget.Release(budgetBytes / 2)
			}
			if held := !budget.Acquire(budgetBytes); held != c.holds {
				t.Errorf("the open stream holds a part of the budget: %v, want %v", held, c.holds)
			} else if !held {
				budget.Release(budgetBytes)
			}
			if err := stream.Close(); err != nil {
				t.Error(err)
			}
			if !budget.Acquire(budgetBytes) {
				t.Error("the closed stream holds a part of the budget")
			}
		})
	}
}
