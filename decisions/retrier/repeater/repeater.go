// Package repeater retries failed attempts immediately, up to a fixed number. It is the baseline for
// comparing retry policies.
package repeater

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotRetryPolicy, Name: "repeater",
		New: func() kernel.Component { return new(Repeater) },
	})
}

// Repeater implements quetzalroad.RetryPolicy.
type Repeater struct {
	maxAttempts int
}

// Declare implements kernel.Component.
func (r *Repeater) Declare(s *configloader.Section) {
	s.Int("attempts", &r.maxAttempts, 3, 1, 100, "Maximum number of attempts per request, including the first.")
}

// Build implements kernel.Component.
func (r *Repeater) Build(n *kernel.Node) error {
	n.RetryPolicy = r
	return nil
}

// RecordFirstAttempt implements quetzalroad.RetryPolicy.
func (*Repeater) RecordFirstAttempt(time.Time, quetzalroad.ServiceName) {}

// AllowRetry implements quetzalroad.RetryPolicy.
func (r *Repeater) AllowRetry(_ time.Time, _ quetzalroad.ServiceName, attempt int) (time.Duration, bool) {
	return 0, attempt < r.maxAttempts
}

// HedgeDelay implements quetzalroad.RetryPolicy. Requests are never hedged.
func (*Repeater) HedgeDelay(*quetzalroad.Request) time.Duration { return 0 }

// AllowHedge implements quetzalroad.RetryPolicy.
func (*Repeater) AllowHedge(time.Time, quetzalroad.ServiceName) bool { return false }
