// Package bypasser enforces no limits. It is the baseline to compare the other limiters with.
package bypasser

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotLimiter, Name: "passer",
		New: func() kernel.Component { return new(Bypasser) },
	})
}

// Bypasser is a limiter that refuses nothing. The zero value is ready for use.
type Bypasser struct{}

// Declare implements kernel.Component.
func (*Bypasser) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (b *Bypasser) Build(n *kernel.Node) error {
	n.Limiter = b
	return nil
}

// Acquire implements quetzalroad.Limiter.
func (b *Bypasser) Acquire(time.Time, *quetzalroad.Request) (quetzalroad.Permit, error) {
	return permit{}, nil
}

// Demand implements quetzalroad.Limiter; it reports nothing.
func (*Bypasser) Demand(time.Time) []quetzalroad.TeamDemand { return nil }

// UpdatePeer implements quetzalroad.Limiter.
func (*Bypasser) UpdatePeer(quetzalroad.NodeName, time.Time, []quetzalroad.TeamDemand) {}

// UpdateDataCentre implements quetzalroad.Limiter.
func (*Bypasser) UpdateDataCentre(quetzalroad.DataCentre, time.Time, []quetzalroad.TeamDemand) {}

// RemovePeer implements quetzalroad.Limiter.
func (*Bypasser) RemovePeer(quetzalroad.NodeName) {}

type permit struct{}

// Release implements quetzalroad.Permit.
func (permit) Release(time.Time, int) {}
