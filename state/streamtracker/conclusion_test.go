package streamtracker

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// Guards against a node that takes the only version that it knows for the origin of a stream, although others may know
// more versions, and against one that refuses all streams while the log responds to no node.
func TestConclude(t *testing.T) {
	report := func(versions ...quetzalroad.SoftwareVersion) quetzalroad.OriginReport {
		return quetzalroad.OriginReport{Versions: versions}
	}
	current := func(versions ...quetzalroad.SoftwareVersion) quetzalroad.OriginReport {
		return quetzalroad.OriginReport{Versions: versions, IsCurrent: true}
	}
	found := quetzalroad.OriginReport{Origin: originAt("v2"), Found: true}
	for name, c := range map[string]struct {
		own     quetzalroad.OriginReport
		others  []quetzalroad.OriginReport
		asked   int
		want    quetzalroad.SoftwareVersion
		wantErr error
	}{
		"known here":                              {own: found, want: "v2"},
		"one version, and the log responds":       {own: current("v1"), want: "v1"},
		"several versions, and the log responds":  {own: current("v1", "v2"), wantErr: quetzalroad.ErrOriginUnknown},
		"no version left":                         {own: current(), wantErr: quetzalroad.ErrOriginUnknown},
		"the only node, cut off":                  {own: report("v1"), want: "v1"},
		"another node knows the stream":           {own: report("v1"), others: []quetzalroad.OriginReport{found}, asked: 2, want: "v2"},
		"another node knows of no other version":  {own: report("v1"), others: []quetzalroad.OriginReport{current("v1")}, asked: 5, want: "v1"},
		"another node knows another version":      {own: report("v1"), others: []quetzalroad.OriginReport{current("v1", "v2")}, asked: 5, wantErr: quetzalroad.ErrOriginUnknown},
		"another node knows only another version": {own: report("v1"), others: []quetzalroad.OriginReport{current("v2")}, asked: 5, wantErr: quetzalroad.ErrOriginUnknown},
		"another node reads that one is not open": {own: report("v1", "v2"), others: []quetzalroad.OriginReport{current("v1")}, asked: 5, want: "v1"},
		"cut off from all":                        {own: report("v1"), asked: 2, wantErr: errNoCurrentView},
		"cut off with a minority":                 {own: report("v1"), others: []quetzalroad.OriginReport{report("v1")}, asked: 4, wantErr: errNoCurrentView},
		"cut off with half of the nodes":          {own: report("v1"), others: []quetzalroad.OriginReport{report("v1")}, asked: 3, wantErr: errNoCurrentView},
		"the log responds to no node":             {own: report("v1"), others: []quetzalroad.OriginReport{report("v1")}, asked: 2, want: "v1"},
		"a node learned more before the log went": {own: report("v1"), others: []quetzalroad.OriginReport{report("v1", "v2")}, asked: 1, wantErr: errNoCurrentView},
		"nodes that have just started":            {own: report(), others: []quetzalroad.OriginReport{report()}, asked: 1, wantErr: errNoCurrentView},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := conclude("llm", c.own, c.others, c.asked)
			if !errors.Is(err, c.wantErr) || (c.wantErr == nil && got != originAt(c.want)) {
				t.Errorf("origin %+v, error %v, want version %q, error %v", got, err, c.want, c.wantErr)
			}
		})
	}
}
