package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// countRun counts a request once that an upstream has begun to run, also if it then failed. A caller that has a part
// of the response already asks for the rest of a request that was counted before.
func (r *forwardRun) countRun() {
	meter := r.dispatcher.node.UsageMeter
	if meter == nil || r.usageCounted || r.request.Team.Name == "" {
		return
	}
	r.usageCounted = true
	if r.request.LastEventID == 0 {
		meter.CountRun(time.Now(), r.request.Team.Name)
	}
}

// beginDemand records that a caller waits for a service.
func (d *Dispatcher) beginDemand(f *quetzalroad.ForwardRequest) {
	if d.node.DemandMeter != nil {
		d.node.DemandMeter.BeginRequest(time.Now(), f.Service.Name)
	}
}

// endDemand records that a caller no longer waits for a service, and with which result.
func (d *Dispatcher) endDemand(f *quetzalroad.ForwardRequest, err error) {
	meter := d.node.DemandMeter
	if meter == nil {
		return
	}
	now := time.Now()
	meter.EndRequest(now, f.Service.Name)
	var refusal *quetzalroad.Refusal
	if !errors.As(err, &refusal) {
		return
	}
	switch refusal.Reason {
	case quetzalroad.ReasonTimeout:
		meter.CountLate(now, f.Service.Name)
	case quetzalroad.ReasonTargetUnreachable, quetzalroad.ReasonQueueFull, quetzalroad.ReasonNoUpstream,
		quetzalroad.ReasonServiceConcurrencyLimit, quetzalroad.ReasonUpstreamRateLimit:
		meter.CountRefused(now, f.Service.Name)
	}
}

// recordLate counts a response whose first data came after the target.
func (r *forwardRun) recordLate(now time.Time, withinTarget bool) {
	if meter := r.dispatcher.node.DemandMeter; meter != nil && !withinTarget {
		meter.CountLate(now, r.request.Service.Name)
	}
}
