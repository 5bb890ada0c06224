package scaler

import (
	"expvar"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/decisions/scaler/planner"
)

// demandTracker holds the latest activity reports and when each was received. The times in the reports are those of
// other clocks and are compared only with one another. The zero value is empty.
type demandTracker struct {
	reports map[quetzalroad.NodeName]receivedReport
}

type receivedReport struct {
	report quetzalroad.ActivityReport
	// receivedAt is when this holder first read the report; zero for one that was there at its first read, as its
	// publisher may be long gone.
	receivedAt time.Time
}

func (d *demandTracker) update(now time.Time, reports []quetzalroad.ActivityReport) {
	first := d.reports == nil
	latest := make(map[quetzalroad.NodeName]receivedReport, len(reports))
	for _, r := range reports {
		known, ok := d.reports[r.Node]
		switch {
		case ok && known.report.WrittenAt.Equal(r.WrittenAt):
			known.report = r
		case first:
			known = receivedReport{report: r}
		default:
			known = receivedReport{report: r, receivedAt: now}
		}
		latest[r.Node] = known
	}
	d.reports = latest
}

// of returns the recent demand for a service, or nil if no node reported recently.
func (d *demandTracker) of(now time.Time, lifetime time.Duration, s quetzalroad.ServiceName) *planner.Demand {
	var demand *planner.Demand
	for _, r := range d.reports {
		if r.receivedAt.IsZero() || now.Sub(r.receivedAt) >= lifetime {
			continue
		}
		if demand == nil {
			demand = new(planner.Demand)
		}
		addActivity(demand, s, r.report.Demand)
	}
	return demand
}

func addActivity(demand *planner.Demand, s quetzalroad.ServiceName, activities []quetzalroad.ServiceActivity) {
	for _, a := range activities {
		if a.Service != s {
			continue
		}
		demand.Running += float64(a.InFlight)
		demand.Requests += a.Requests
		demand.Late += a.Late
		demand.Refused += a.Refused
	}
}

// setOrdered publishes an accepted order in the counters.
func (s *Scaler) setOrdered(key orderKey, count int) {
	kind := "other"
	if key.Spot {
		kind = "spot"
	}
	v := new(expvar.Int)
	v.Set(int64(count))
	s.ordered.Set(string(key.service)+"/"+string(key.DataCentre)+"/"+kind, v)
}
