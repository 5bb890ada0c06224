// Package disabler disables spilling: all requests stay in their data centre. It is the baseline for
// comparing spillers.
package disabler

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotSpiller, Name: "stayer",
		New: func() kernel.Component { return new(Disabler) },
	})
}

// Disabler implements quetzalroad.Spiller. The zero value is ready for use.
type Disabler struct{}

// Declare implements kernel.Component.
func (*Disabler) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (d *Disabler) Build(n *kernel.Node) error {
	n.Spiller = d
	return nil
}

// UpdateDataCentre implements quetzalroad.Spiller.
func (*Disabler) UpdateDataCentre(quetzalroad.DataCentre, time.Time, time.Duration, []quetzalroad.ServiceHeadroom) {
}

// Spill implements quetzalroad.Spiller.
func (*Disabler) Spill(time.Time, *quetzalroad.Request) ([]quetzalroad.Upstream, quetzalroad.Admission) {
	return nil, nil
}
