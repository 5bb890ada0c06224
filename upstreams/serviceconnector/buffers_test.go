package serviceconnector

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// countingBudget is a budget with a number of bytes left. Only one response uses it.
type countingBudget struct{ left int }

func (b *countingBudget) Acquire(n int) bool {
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

func (b *countingBudget) Release(n int) { b.left += n }

// A response holds its share of the budget until it was sent, and one that fails holds nothing.
func TestResponseHoldsTheBufferBudgetUntilItIsReleased(t *testing.T) {
	const budgetBytes = 1 << 20
	for name, c := range map[string]struct {
		bodyBytes int
		reason    quetzalroad.RetryReason
	}{
		"small":             {1 << 10, ""},
		"large":             {500 << 10, ""},
		"beyond the budget": {2 << 20, quetzalroad.RetryBuffersFull},
		"beyond its bound":  {700 << 10, quetzalroad.RetryMalformedResponse},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				// The client may have closed the connection.
				_, _ = w.Write([]byte(strings.Repeat("x", c.bodyBytes)))
			}))
			defer server.Close()
			budget := &countingBudget{left: budgetBytes}
			connector := new(Connector)
			connector.Declare(new(configloader.Section))
			if c.reason == quetzalroad.RetryMalformedResponse {
				connector.maxResponseBytes = c.bodyBytes - 1
			}
			if err := connector.Build(&kernel.Node{Logger: slog.New(slog.DiscardHandler), BufferBudget: budget}); err != nil {
				t.Fatal(err)
			}
			defer connector.client.Close()
			u := quetzalroad.Upstream{Name: "u", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
			response, err := connector.Call(t.Context(), u, &quetzalroad.ServiceRequest{Request: quetzalroad.Request{Idempotent: true}, Method: http.MethodGet, Path: "/"})
			var failure *quetzalroad.AttemptError
			if errors.As(err, &failure) != (c.reason != "") || (failure != nil && failure.RetryReason != c.reason) {
				t.Fatalf("error %v, want reason %q", err, c.reason)
			}
			if response != nil {
				if held := budgetBytes - budget.left; (held > 0) != (c.bodyBytes > 8<<10) || len(response.Body) != c.bodyBytes {
					t.Errorf("%d bytes, which hold %d of the budget", len(response.Body), held)
				}
				response.Release()
			}
			if budget.left != budgetBytes {
				t.Errorf("%d bytes of the budget are left, want %d", budget.left, budgetBytes)
			}
		})
	}
}
