// Package bypasser is the baseline without a quarantine: every request is sent.
package bypasser

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotQuarantine, Name: "passer",
		New: func() kernel.Component { return new(Bypasser) },
	})
}

// Bypasser implements quetzalroad.Quarantine. The zero value is ready for use.
type Bypasser struct{}

// Declare implements kernel.Component.
func (*Bypasser) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (b *Bypasser) Build(n *kernel.Node) error {
	n.Quarantine = b
	return nil
}

// Check implements quetzalroad.Quarantine.
func (*Bypasser) Check(time.Time, quetzalroad.RequestID, []quetzalroad.PromptSegment) (quetzalroad.QuarantinedSegment, bool) {
	return quetzalroad.QuarantinedSegment{}, false
}

// Expose implements quetzalroad.Quarantine.
func (*Bypasser) Expose([]quetzalroad.PromptSegment) []quetzalroad.ExposedSegment { return nil }

// RecordLoss implements quetzalroad.Quarantine.
func (*Bypasser) RecordLoss(time.Time, quetzalroad.UpstreamName, []quetzalroad.ExposedSegment) {}

// RecordInFlight implements quetzalroad.Quarantine.
func (*Bypasser) RecordInFlight(time.Time, quetzalroad.UpstreamName, []quetzalroad.ExposedSegment) {}

// RecordComplete implements quetzalroad.Quarantine.
func (*Bypasser) RecordComplete(time.Time, []quetzalroad.PromptSegment) {}

// RecordExit implements quetzalroad.Quarantine.
func (*Bypasser) RecordExit(time.Time, quetzalroad.UpstreamName) {}

// Evidence implements quetzalroad.Quarantine.
func (*Bypasser) Evidence() quetzalroad.LossEvidence { return quetzalroad.LossEvidence{} }

// Digest implements quetzalroad.Quarantine.
func (*Bypasser) Digest() uint64 { return 0 }

// DirectDigest implements quetzalroad.Quarantine.
func (*Bypasser) DirectDigest() uint64 { return 0 }

// Merge implements quetzalroad.Quarantine.
func (*Bypasser) Merge(time.Time, quetzalroad.LossEvidence) {}

// IsAlert implements quetzalroad.Quarantine.
func (*Bypasser) IsAlert(time.Time) bool { return false }

// Changed implements quetzalroad.Quarantine. It never receives a value.
func (*Bypasser) Changed() <-chan struct{} { return nil }

// Quarantined implements quetzalroad.Quarantine.
func (*Bypasser) Quarantined(time.Time) []quetzalroad.QuarantinedSegment { return nil }
