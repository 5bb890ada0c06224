package claimmapper

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

func TestBatchRoundTrip(t *testing.T) {
	want := Batch{Node: "node-1", Entries: []Entry{
		{Kind: EntryClaim, Key: quetzalroad.HashKey("k"), RequestHash: quetzalroad.HashKey("c"), ID: "r/1", ClaimedAt: time.Unix(5, 7).UTC()},
		{Kind: EntryCompletion, Key: quetzalroad.HashKey("k"), ID: "r/1", Response: &quetzalroad.ServiceResponse{Status: 201, Header: http.Header{"Location": {"/x"}}, Body: []byte("ok")}},
		{Kind: EntryRestatement, Key: quetzalroad.HashKey("n"), RequestHash: quetzalroad.HashKey("c"), ID: "r/4", ClaimedAt: time.Unix(6, 7).UTC()},
		{Kind: EntryCompletion, Key: quetzalroad.HashKey("l"), ID: "r/2", OutcomeUnknown: true},
		{Kind: EntryRelease, Key: quetzalroad.HashKey("m"), ID: "r/3"},
	}}
	data, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(Batch{Node: "n", Entries: []Entry{{Kind: EntryClaim, ID: "r", ClaimedAt: time.Unix(1, 0)}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"format":1,"entries":[{"step":"release","key":"00"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := Encode(b)
		if err != nil {
			return
		}
		again, err := Decode(encoded)
		if err != nil {
			t.Fatalf("%s can't be decoded again: %v", encoded, err)
		}
		if diff := cmp.Diff(b, again); diff != "" {
			t.Errorf("(-first +again):\n%s", diff)
		}
	})
}

// newBatch returns a batch of claims, or of completions with a response.
func newBatch(count int, completed bool) Batch {
	b := Batch{Node: "at-east-graz-entry-1"}
	for range count {
		e := Entry{Kind: EntryClaim, Key: quetzalroad.HashKey("k"), RequestHash: quetzalroad.HashKey("c"), ID: "1d98a205-5fdd-4aa8-87d2-dae736115eef/1d98a205-5fdd-4aa8-87d2-dae736115eef", ClaimedAt: time.Unix(1e9, 5)}
		if completed {
			e = Entry{Kind: EntryCompletion, Key: e.Key, ID: e.ID, Response: &quetzalroad.ServiceResponse{Status: 200, Header: http.Header{"Content-Type": {"application/json"}}, Body: make([]byte, 100)}}
		}
		b.Entries = append(b.Entries, e)
	}
	return b
}

func BenchmarkClaimAndCompletion(b *testing.B) {
	const count = 10
	size := 0
	for b.Loop() {
		size = 0
		for _, completed := range []bool{false, true} {
			data, err := Encode(newBatch(count, completed))
			if err != nil {
				b.Fatal(err)
			}
			if _, err := Decode(data); err != nil {
				b.Fatal(err)
			}
			size += len(data)
		}
	}
	b.ReportMetric(float64(size)/count, "B/booking")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/count, "µs/booking")
}
