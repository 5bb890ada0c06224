// Package repeater repeats failed attempts a fixed number of times at once. It
// is the plain baseline of the retry policies.
package repeater

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configurer"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotRetry, Name: "repeater",
		New: func() kernel.Part { return new(Repeater) },
	})
}

// Repeater is the part that decides on retries.
type Repeater struct {
	attempts int
}

// Declare implements kernel.Part.
func (r *Repeater) Declare(s *configurer.Section) {
	s.Int("attempts", &r.attempts, 3, 1, 100, "Attempts at most, the first included.")
}

// Build implements kernel.Part.
func (r *Repeater) Build(n *kernel.Node) error {
	n.Retry = r
	return nil
}

// First implements quetzalroad.RetryPolicy.
func (*Repeater) First(time.Time, quetzalroad.ServiceName) {}

// Retry implements quetzalroad.RetryPolicy.
func (r *Repeater) Retry(_ time.Time, _ quetzalroad.ServiceName, attempt int) (time.Duration, bool) {
	return 0, attempt < r.attempts
}

// HedgeAfter implements quetzalroad.RetryPolicy; there are no hedges.
func (*Repeater) HedgeAfter(*quetzalroad.Request) time.Duration { return 0 }

// Hedge implements quetzalroad.RetryPolicy.
func (*Repeater) Hedge(time.Time, quetzalroad.ServiceName) bool { return false }
