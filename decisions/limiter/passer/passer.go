// Package passer limits nothing. It is the plain baseline of the limiters.
package passer

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotLimiter, Name: "passer",
		New: func() kernel.Component { return new(Passer) },
	})
}

// Passer lets every request pass. The zero value is ready for use.
type Passer struct{}

// Declare implements kernel.Component.
func (*Passer) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (p *Passer) Build(n *kernel.Node) error {
	n.Limiter = p
	return nil
}

// Acquire implements quetzalroad.Limiter.
func (p *Passer) Acquire(time.Time, *quetzalroad.Request) (quetzalroad.Permit, error) {
	return grant{}, nil
}

// Demand implements quetzalroad.Limiter.
func (*Passer) Demand(time.Time) []quetzalroad.TeamDemand { return nil }

// UpdatePeer implements quetzalroad.Limiter.
func (*Passer) UpdatePeer(quetzalroad.NodeName, time.Time, []quetzalroad.TeamDemand) {}

// UpdateDataCentre implements quetzalroad.Limiter.
func (*Passer) UpdateDataCentre(quetzalroad.DataCentre, time.Time, []quetzalroad.TeamDemand) {}

// RemovePeer implements quetzalroad.Limiter.
func (*Passer) RemovePeer(quetzalroad.NodeName) {}

type grant struct{}

// Release implements quetzalroad.Permit.
func (grant) Release(time.Time, int) {}
