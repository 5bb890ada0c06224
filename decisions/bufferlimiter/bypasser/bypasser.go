// Package bypasser sets no bound on the memory of buffered responses. It is the baseline to compare bufferlimiter
// with.
package bypasser

import (
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotBufferBudget, Name: "passer",
		New: func() kernel.Component { return new(Bypasser) },
	})
}

// Bypasser is a budget that is never used up. The zero value is ready for use.
type Bypasser struct{}

// Declare implements kernel.Component.
func (*Bypasser) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (b *Bypasser) Build(n *kernel.Node) error {
	n.BufferBudget = b
	return nil
}

// Acquire implements quetzalroad.BufferBudget.
func (*Bypasser) Acquire(int) bool { return true }

// Release implements quetzalroad.BufferBudget.
func (*Bypasser) Release(int) {}
