// Package bypasser admits every request at once. It is for upstreams that order
// their waiting requests by rank themselves, across the requests of all nodes.
package bypasser

import (
	"context"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotAdmitter, Name: "passer",
		New: func() kernel.Component { return new(Bypasser) },
	})
}

// Bypasser is an admitter that never queues. The zero value is ready for use.
type Bypasser struct{}

// Declare implements kernel.Component.
func (*Bypasser) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (b *Bypasser) Build(n *kernel.Node) error {
	n.Admitter = b
	return nil
}

// Admit implements quetzalroad.Admitter.
func (*Bypasser) Admit(context.Context, *quetzalroad.Request) (quetzalroad.Admission, error) {
	return admission{}, nil
}

// QueueLengths implements quetzalroad.Admitter; no request ever waits.
func (*Bypasser) QueueLengths() [quetzalroad.MaxTiers]int { return [quetzalroad.MaxTiers]int{} }

// Demand implements quetzalroad.Admitter; it reports nothing.
func (*Bypasser) Demand() []quetzalroad.ServiceDemand { return nil }

// UpdatePeer implements quetzalroad.Admitter.
func (*Bypasser) UpdatePeer(quetzalroad.NodeName, time.Time, []quetzalroad.ServiceDemand) {}

// RemovePeer implements quetzalroad.Admitter.
func (*Bypasser) RemovePeer(quetzalroad.NodeName) {}

// Headroom implements quetzalroad.Admitter; it reports nothing.
func (*Bypasser) Headroom(time.Time) []quetzalroad.ServiceHeadroom { return nil }

// admission is a slot that is never revoked.
type admission struct{}

// Preempted implements quetzalroad.Admission; requests are never preempted.
func (admission) Preempted() <-chan struct{} { return nil }

// Resume implements quetzalroad.Admission.
func (admission) Resume(context.Context) error { return nil }

// Release implements quetzalroad.Admission.
func (admission) Release(int) {}
