package streammapper_test

import (
	"testing"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/streammapper"
)

func FuzzStreams(f *testing.F) {
	f.Add([]byte(`[{"service":"llm","version":"v1","streams":["a","b"]},{"service":"llm","version":"","streams":["c"]}]`))
	f.Add([]byte(`[{"service":"llm","version":"v2","streams":[],"acknowledged":7}]`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		origins, err := streammapper.DecodeStreams(data)
		if err != nil {
			return
		}
		encoded, err := streammapper.EncodeStreams(origins)
		if err != nil {
			t.Fatal(err)
		}
		got, err := streammapper.DecodeStreams(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(origins, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

func FuzzVersion(f *testing.F) {
	f.Add("llm", "v1", false, uint64(1))
	f.Add("llm", "", true, uint64(0))
	f.Fuzz(func(t *testing.T, service, version string, announced bool, epoch uint64) {
		if service == "" || !utf8.ValidString(service) || !utf8.ValidString(version) {
			return
		}
		want := quetzalroad.VersionRecord{
			Origin:    quetzalroad.StreamOrigin{Service: quetzalroad.ServiceName(service), Version: quetzalroad.SoftwareVersion(version)},
			Announced: announced, Epoch: quetzalroad.Epoch(epoch),
		}
		data, err := streammapper.EncodeVersion(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := streammapper.DecodeVersion(data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

// Read as origins, such records would join streams of two versions.
func TestUnreadableRecordNamesNoOrigin(t *testing.T) {
	for _, text := range []string{
		"", "{}", `{"service":"llm"}`, `[{"version":"v1","streams":["a"]}]`, `[{"service":"llm","streams":[""]}]`, `[{"service":"llm","version":2,"streams":["a"]}]`,
		`[{"service":"llm","version":"v1","streams":["a"]},{"service":"llm","version":"v2","streams":["a"]}]`,
		`[{"service":"llm","version":"v1","acknowledged":1},{"service":"llm","version":"v1","acknowledged":2}]`,
	} {
		if got, err := streammapper.DecodeStreams([]byte(text)); err == nil {
			t.Errorf("%s was decoded as %v", text, got)
		}
	}
	for _, text := range []string{"", "[]", "{}", `{"version":"v1"}`, `{"service":"llm","version":1}`} {
		if got, err := streammapper.DecodeVersion([]byte(text)); err == nil {
			t.Errorf("%s was decoded as %v", text, got)
		}
	}
}
