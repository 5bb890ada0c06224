// Package passer admits every request at once. It is for upstreams that order
// what waits for them by rank themselves, with all nodes' requests in view.
package passer

import (
	"context"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configurer"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotAdmitter, Name: "passer",
		New: func() kernel.Part { return new(Passer) },
	})
}

// Passer is the part that admits. The zero value is ready for use.
type Passer struct{}

// Declare implements kernel.Part.
func (*Passer) Declare(*configurer.Section) {}

// Build implements kernel.Part.
func (p *Passer) Build(n *kernel.Node) error {
	n.Admitter = p
	return nil
}

// Admit implements quetzalroad.Admitter.
func (*Passer) Admit(context.Context, *quetzalroad.Request) (quetzalroad.Admission, error) {
	return admission{}, nil
}

// Queued implements quetzalroad.Admitter; nothing waits here.
func (*Passer) Queued() [quetzalroad.MaxTiers]int { return [quetzalroad.MaxTiers]int{} }

// Demand implements quetzalroad.Admitter.
func (*Passer) Demand() []quetzalroad.ServiceDemand { return nil }

// Peer implements quetzalroad.Admitter.
func (*Passer) Peer(quetzalroad.NodeName, time.Time, []quetzalroad.ServiceDemand) {}

// Forget implements quetzalroad.Admitter.
func (*Passer) Forget(quetzalroad.NodeName) {}

// Rooms implements quetzalroad.Admitter.
func (*Passer) Rooms(time.Time) []quetzalroad.ServiceRoom { return nil }

// admission is a place that nobody takes back.
type admission struct{}

// Paused implements quetzalroad.Admission; it never happens.
func (admission) Paused() <-chan struct{} { return nil }

// Resume implements quetzalroad.Admission.
func (admission) Resume(context.Context) error { return nil }

// Done implements quetzalroad.Admission.
func (admission) Done(int) {}
