// Package bypasser is the baseline that ignores the limits that upstreams state.
package bypasser

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotThrottler, Name: "passer",
		New: func() kernel.Component { return new(Bypasser) },
	})
}

// Bypasser implements quetzalroad.Throttler. The zero value is ready for use.
type Bypasser struct{}

// Declare implements kernel.Component.
func (*Bypasser) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (b *Bypasser) Build(n *kernel.Node) error {
	n.Throttler = b
	return nil
}

// UpdateLimit implements quetzalroad.Throttler.
func (*Bypasser) UpdateLimit(time.Time, quetzalroad.UpstreamName, quetzalroad.RateLimit) {}

// Pause implements quetzalroad.Throttler.
func (*Bypasser) Pause(time.Time, quetzalroad.UpstreamName, time.Duration) {}

// HasLimits implements quetzalroad.Throttler.
func (*Bypasser) HasLimits() bool { return false }

// State implements quetzalroad.Throttler.
func (*Bypasser) State(time.Time, quetzalroad.UpstreamName) quetzalroad.ThrottleState {
	return quetzalroad.ThrottleNone
}

// Acquire implements quetzalroad.Throttler.
func (*Bypasser) Acquire(time.Time, quetzalroad.ServiceName, quetzalroad.Tier, quetzalroad.UpstreamName) bool {
	return true
}

// RetryAfter implements quetzalroad.Throttler.
func (*Bypasser) RetryAfter(time.Time, quetzalroad.ServiceName, quetzalroad.Tier, []quetzalroad.Upstream) time.Duration {
	return 0
}

// LocalLimits implements quetzalroad.Throttler.
func (*Bypasser) LocalLimits(time.Time) []quetzalroad.UpstreamLimit { return nil }

// UpdatePeerLimits implements quetzalroad.Throttler.
func (*Bypasser) UpdatePeerLimits(time.Time, []quetzalroad.UpstreamLimit) {}
