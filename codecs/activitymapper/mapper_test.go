package activitymapper

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

func TestReportRoundTrip(t *testing.T) {
	want := quetzalroad.ActivityReport{
		Node: "n", DataCentre: "dc", WrittenAt: time.Unix(1_700_000_000, 5).UTC(),
		Usage: []quetzalroad.NodeUsage{
			{Node: "n", StartedAt: time.UnixMicro(1_700_000_000_123_456).UTC(), Window: 7, Teams: []quetzalroad.TeamUsage{{Team: "a", Requests: 3}, {Team: "b", Requests: 1}}},
		},
		Demand: []quetzalroad.ServiceActivity{{Service: "s", Requests: 2.5, InFlight: 7, Late: 0.5, Refused: 1}},
	}
	data, err := EncodeReport(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeReport(quetzalroad.KeyedRecord{Key: "n", Value: data})
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("error %v (-want +got):\n%s", err, diff)
	}
}

func TestUsageStateRoundTrip(t *testing.T) {
	want := quetzalroad.UsageState{DecidedThrough: 9, Pending: []quetzalroad.UsageReport{{Window: 8}, {Window: 9, Teams: []quetzalroad.TeamUsage{{Team: "a", Requests: 3}}}}}
	data, err := EncodeUsageState(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeUsageState(data)
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("error %v (-want +got):\n%s", err, diff)
	}
}

// Invalid figures in the log must not reach the platform.
func TestInvalidRecordsAreRefused(t *testing.T) {
	for _, text := range []string{
		`{`, `{}`, `{"written":"2026-01-01T00:00:00Z","usage":[{"window":1,"teams":{}}]}`, `{"written":"2026-01-01T00:00:00Z","usage":[{"node":"n","window":1,"teams":{"a":-1}}]}`,
		`{"written":"2026-01-01T00:00:00Z","demand":[{"service":"s","requests":-1}]}`,
	} {
		if report, err := DecodeReport(quetzalroad.KeyedRecord{Key: "n", Value: []byte(text)}); err == nil {
			t.Errorf("%s was decoded as %+v", text, report)
		}
	}
	for _, text := range []string{`[]`, `{"decided-through":1,"pending":[{"window":2}]}`, `{"decided-through":1,"pending":[{"window":1,"teams":{"a":-1}}]}`} {
		if state, err := DecodeUsageState([]byte(text)); err == nil {
			t.Errorf("%s was decoded as %+v", text, state)
		}
	}
}
