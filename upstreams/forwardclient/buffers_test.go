package forwardclient

import (
	"bufio"
	"net"
	"strings"
	"testing"

	"github.com/quetzalroad/quetzalroad"
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

// An event that outgrows the budget ends its attempt. A stream holds nothing of it between large events, and
// nothing once it is closed.
func TestEventsStayWithinTheBufferBudget(t *testing.T) {
	const budgetBytes = 64 << 10
	event := func(bytes int) string { return "id:1\ndata: " + strings.Repeat("x", bytes) + "\n\n" }
	for name, c := range map[string]struct {
		body string
		full bool
	}{
		"small events":            {strings.Repeat(event(100), 1000), false},
		"large events":            {strings.Repeat(event(30<<10), 20), false},
		"event beyond the budget": {event(100 << 10), true},
	} {
		t.Run(name, func(t *testing.T) {
			_, u := startUpstream(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err == nil {
					writeString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n"+c.body)
				}
			})
			budget := &countingBudget{left: budgetBytes}
			client := newClient(t)
			client.bufferBudget = budget
			response, err := client.Send(t.Context(), newAttempt(u, "1"))
			if err != nil {
				t.Fatal(err)
			}
			body, err := readBody(response)
			if c.full && asAttemptError(t, err).RetryReason != quetzalroad.RetryBuffersFull {
				t.Errorf("error %v", err)
			}
			if !c.full && (err != nil || len(body) != len(c.body)) {
				t.Errorf("%d bytes of %d, error %v", len(body), len(c.body), err)
			}
			if budget.left != budgetBytes {
				t.Errorf("%d bytes of the budget are left, want %d", budget.left, budgetBytes)
			}
		})
	}
}
