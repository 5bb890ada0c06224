// Package stayer keeps all work in its data centre. It is the plain baseline
// of the spillers.
package stayer

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotSpiller, Name: "stayer",
		New: func() kernel.Component { return new(Stayer) },
	})
}

// Stayer spills nothing. The zero value is ready for use.
type Stayer struct{}

// Declare implements kernel.Component.
func (*Stayer) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (s *Stayer) Build(n *kernel.Node) error {
	n.Spiller = s
	return nil
}

// UpdateDataCentre implements quetzalroad.Spiller.
func (*Stayer) UpdateDataCentre(quetzalroad.DataCentre, time.Time, time.Duration, []quetzalroad.ServiceHeadroom) {
}

// Spill implements quetzalroad.Spiller.
func (*Stayer) Spill(time.Time, *quetzalroad.Request) ([]quetzalroad.Upstream, quetzalroad.Admission) {
	return nil, nil
}
