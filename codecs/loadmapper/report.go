// Package loadmapper maps the load reports of upstreams to and from JSON:
//
//	{"taken":"2026-12-04T07:00:00Z","running":3,"waiting":0,"leaving":false}
package loadmapper

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

type reportJSON struct {
	MeasuredAt time.Time `json:"taken"`
	// Running and Waiting are nil if the field is missing or null.
	Running *int `json:"running"`
	Waiting *int `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// maxCount bounds the counts of a report. Larger ones are none of an upstream.
const maxCount = 1 << 20

func isCount(n *int) bool {
	return n != nil && *n >= 0 && *n <= maxCount
}

// Decode decodes a report from JSON.
func Decode(data []byte) (quetzalroad.LoadReport, error) {
	var j reportJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return quetzalroad.LoadReport{}, err
	}
	if j.MeasuredAt.IsZero() || !isCount(j.Running) || !isCount(j.Waiting) {
		return quetzalroad.LoadReport{}, errors.New("load report without a time or without valid counts")
	}
	return quetzalroad.LoadReport{MeasuredAt: j.MeasuredAt, Running: *j.Running, Waiting: *j.Waiting, Leaving: j.Leaving}, nil
}

// Encode encodes a report as JSON.
func Encode(r quetzalroad.LoadReport) ([]byte, error) {
	return json.Marshal(reportJSON{MeasuredAt: r.MeasuredAt, Running: &r.Running, Waiting: &r.Waiting, Leaving: r.Leaving})
}
