// Package passer limits nothing. It is the plain baseline of the limiters.
package passer

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configurer"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotLimiter, Name: "passer",
		New: func() kernel.Part { return new(Passer) },
	})
}

// Passer lets every request pass. The zero value is ready for use.
type Passer struct{}

// Declare implements kernel.Part.
func (*Passer) Declare(*configurer.Section) {}

// Build implements kernel.Part.
func (p *Passer) Build(n *kernel.Node) error {
	n.Limiter = p
	return nil
}

// Acquire implements quetzalroad.Limiter.
func (p *Passer) Acquire(time.Time, *quetzalroad.Request) (quetzalroad.Grant, error) {
	return grant{}, nil
}

// Demand implements quetzalroad.Limiter.
func (*Passer) Demand(time.Time) []quetzalroad.TeamDemand { return nil }

// Peer implements quetzalroad.Limiter.
func (*Passer) Peer(quetzalroad.NodeName, time.Time, []quetzalroad.TeamDemand) {}

// Place implements quetzalroad.Limiter.
func (*Passer) Place(quetzalroad.DataCentre, time.Time, []quetzalroad.TeamDemand) {}

// Forget implements quetzalroad.Limiter.
func (*Passer) Forget(quetzalroad.NodeName) {}

type grant struct{}

// Release implements quetzalroad.Grant.
func (grant) Release(time.Time, int) {}
