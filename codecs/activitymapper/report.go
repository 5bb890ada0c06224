// Package activitymapper maps the nodes' activity reports in the platform's log, and the state of usage reports that
// the holder of the lease saves there, to and from JSON.
package activitymapper

import (
	"encoding/json"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// reportJSON is an activity report. Its key is the name of the node.
type reportJSON struct {
	DataCentre string       `json:"data-centre"`
	WrittenAt  time.Time    `json:"written"`
	Usage      []usageJSON  `json:"usage,omitempty"`
	Demand     []demandJSON `json:"demand,omitempty"`
}

// usageJSON is what a node counted. Its incarnation is the time of its start in microseconds since 1970.
type usageJSON struct {
	Node        string     `json:"node"`
	Incarnation int64      `json:"incarnation"`
	Window      int64      `json:"window"`
	Teams       countsJSON `json:"teams"`
}

// demandJSON is the demand for a service. Rates are in requests a second.
type demandJSON struct {
	Service  string  `json:"service"`
	Requests float64 `json:"requests"`
	InFlight int     `json:"in-flight"`
	Late     float64 `json:"late,omitempty"`
	Refused  float64 `json:"refused,omitempty"`
}

// EncodeReport encodes a report as the value of the record whose key is the publisher's name.
func EncodeReport(r quetzalroad.ActivityReport) ([]byte, error) {
	j := reportJSON{DataCentre: string(r.DataCentre), WrittenAt: r.WrittenAt}
	for _, u := range r.Usage {
		j.Usage = append(j.Usage, usageJSON{Node: string(u.Node), Incarnation: u.StartedAt.UnixMicro(), Window: int64(u.Window), Teams: encodeCounts(u.Teams)})
	}
	for _, d := range r.Demand {
		j.Demand = append(j.Demand, demandJSON{Service: string(d.Service), Requests: d.Requests, InFlight: d.InFlight, Late: d.Late, Refused: d.Refused})
	}
	data, err := json.Marshal(j)
	return data, errors.Wrap(err, "encode activity report")
}

// DecodeReport decodes a report. A report with a figure that no node writes is an error as a whole, since counts
// that were left out would make the sum too low.
func DecodeReport(r quetzalroad.KeyedRecord) (quetzalroad.ActivityReport, error) {
	var j reportJSON
	if err := json.Unmarshal(r.Value, &j); err != nil {
		return quetzalroad.ActivityReport{}, errors.Wrap(err, "decode activity report")
	}
	if r.Key == "" || j.WrittenAt.IsZero() {
		return quetzalroad.ActivityReport{}, errors.New("activity report without a node or a time")
	}
	report := quetzalroad.ActivityReport{Node: quetzalroad.NodeName(r.Key), DataCentre: quetzalroad.DataCentre(j.DataCentre), WrittenAt: j.WrittenAt}
	for _, u := range j.Usage {
		teams, err := u.Teams.decode()
		if err != nil || u.Node == "" || u.Window < 0 {
			return quetzalroad.ActivityReport{}, errors.Newf("activity report of %s: invalid usage of node %q in window %d", r.Key, u.Node, u.Window)
		}
		report.Usage = append(report.Usage, quetzalroad.NodeUsage{
			Node: quetzalroad.NodeName(u.Node), StartedAt: time.UnixMicro(u.Incarnation).UTC(), Window: quetzalroad.UsageWindow(u.Window), Teams: teams,
		})
	}
	for _, d := range j.Demand {
		if !isAmount(d.Requests) || !isAmount(d.Late) || !isAmount(d.Refused) || d.InFlight < 0 {
			return quetzalroad.ActivityReport{}, errors.Newf("activity report of %s: invalid demand for service %q", r.Key, d.Service)
		}
		report.Demand = append(report.Demand, quetzalroad.ServiceActivity{Service: quetzalroad.ServiceName(d.Service), Requests: d.Requests, InFlight: d.InFlight, Late: d.Late, Refused: d.Refused})
	}
	return report, nil
}

func isAmount(x float64) bool {
	return x >= 0 && !math.IsInf(x, 1)
}
