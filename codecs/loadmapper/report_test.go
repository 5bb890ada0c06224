package loadmapper

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// The upstream would count as idle and draw requests.
func TestReportWithoutCountsIsNotThatOfAnIdleUpstream(t *testing.T) {
	for _, counts := range []string{
		``, `,"running":3`, `,"waiting":0`, `,"running":null,"waiting":0`, `,"running":3,"waiting":null`, `,"running":-1,"waiting":0`,
		`,"running":9223372036854775807,"waiting":1`, `,"running":"3","waiting":0`, `,"running":3.5,"waiting":0`,
	} {
		if report, err := Decode([]byte(`{"taken":"2026-12-04T07:00:00Z"` + counts + `}`)); err == nil {
			t.Errorf("%s was decoded as %+v", counts, report)
		}
	}
}

func TestRoundTrip(t *testing.T) {
	want := quetzalroad.LoadReport{MeasuredAt: time.Unix(1_700_000_000, 0).UTC(), Running: 3, Leaving: true}
	data, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("error %v (-want +got):\n%s", err, diff)
	}
}
