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
func (d *demandTracker) of(now time.Time, lifetime time.Duration, s quetzalroad.ServiceName, upstreams []quetzalroad.Upstream) *planner.Demand {
	var demand *planner.Demand
	occupancies := make(map[quetzalroad.UpstreamName]observedOccupancy)
	for _, r := range d.reports {
		age := now.Sub(r.receivedAt)
		if r.receivedAt.IsZero() || age >= lifetime {
			continue
		}
		if demand == nil {
			demand = new(planner.Demand)
		}
		addActivity(demand, s, r.report.Demand)
		for _, o := range r.report.Upstreams {
			observed := observedOccupancy{requests: o.Occupancy, age: o.ReportAge + age}
			if known, ok := occupancies[o.Upstream]; o.ReportAge > 0 && observed.age < lifetime && (!ok || observed.age < known.age) {
				occupancies[o.Upstream] = observed
			}
		}
	}
	if demand == nil {
		return nil
	}
	observed := 0
	for _, u := range upstreams {
		observed += occupancies[u.Name].requests
	}
	// Callers' requests include those that wait at nodes, upstreams' those of callers that have given up.
	demand.Running = max(demand.Running, float64(observed))
	return demand
}

// observedOccupancy is the number of requests that an upstream reported, and the age of the report.
type observedOccupancy struct {
	requests int
	age      time.Duration
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
