// Package stayer keeps all work in its data centre. It is the plain baseline
// of the spillers.
package stayer

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configurer"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotSpill, Name: "stayer",
		New: func() kernel.Part { return new(Stayer) },
	})
}

// Stayer spills nothing. The zero value is ready for use.
type Stayer struct{}

// Declare implements kernel.Part.
func (*Stayer) Declare(*configurer.Section) {}

// Build implements kernel.Part.
func (s *Stayer) Build(n *kernel.Node) error {
	n.Spiller = s
	return nil
}

// Place implements quetzalroad.Spiller.
func (*Stayer) Place(quetzalroad.DataCentre, time.Time, time.Duration, []quetzalroad.ServiceRoom) {}

// Spill implements quetzalroad.Spiller.
func (*Stayer) Spill(time.Time, *quetzalroad.Request) ([]quetzalroad.Upstream, quetzalroad.Admission) {
	return nil, nil
}
