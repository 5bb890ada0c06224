package nodemapper

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
)

// Guards against a question or a report that means something else at the other node.
func TestOriginRoundTrip(t *testing.T) {
	for _, q := range []quetzalroad.OriginQuestion{{}, {Stream: "first", Service: "llm"}} {
		data, err := proto.Marshal(EncodeOriginQuestion(q))
		if err != nil {
			t.Fatal(err)
		}
		message := new(peerwire.OriginRequest)
		if err := proto.Unmarshal(data, message); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(q, DecodeOriginQuestion(message)); diff != "" {
			t.Errorf("question (-want +got):\n%s", diff)
		}
	}
	for _, r := range []quetzalroad.OriginReport{
		{},
		{Found: true, Origin: quetzalroad.StreamOrigin{Service: "llm", Version: "v1"}},
		{IsCurrent: true, Versions: []quetzalroad.SoftwareVersion{"", "v2"}},
	} {
		if diff := cmp.Diff(r, roundTripReport(t, r)); diff != "" {
			t.Errorf("report (-want +got):\n%s", diff)
		}
	}
}

func roundTripReport(t *testing.T, r quetzalroad.OriginReport) quetzalroad.OriginReport {
	t.Helper()
	data, err := proto.Marshal(EncodeOriginReport(r))
	if err != nil {
		t.Fatal(err)
	}
	message := new(peerwire.OriginAnswer)
	if err := proto.Unmarshal(data, message); err != nil {
		t.Fatal(err)
	}
	return DecodeOriginReport(message)
}

// FuzzOriginReport checks that a report from another node decodes to one that stays the same when it is passed on.
func FuzzOriginReport(f *testing.F) {
	for _, r := range []quetzalroad.OriginReport{{Found: true, Origin: quetzalroad.StreamOrigin{Service: "llm", Version: "v1"}}, {IsCurrent: true, Versions: []quetzalroad.SoftwareVersion{"v2"}}} {
		data, err := proto.Marshal(EncodeOriginReport(r))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message := new(peerwire.OriginAnswer)
		if proto.Unmarshal(data, message) != nil {
			return
		}
		r := DecodeOriginReport(message)
		if diff := cmp.Diff(r, roundTripReport(t, r)); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}
