package recordmapper

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

func TestChangeRoundTrip(t *testing.T) {
	want := quetzalroad.Change{
		ID: "c-1", Author: "me", Kind: quetzalroad.ObjectProfile, Name: "chat", BaseRevision: 4,
		Object: quetzalroad.Object{Profile: &quetzalroad.Profile{Name: "chat", Class: "chat", FirstTokenTarget: time.Second, Timeout: time.Minute}},
	}
	data, err := EncodeChange(want)
	if err != nil {
		t.Fatal(err)
	}
	entry, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&want, entry.Change); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestDecodeMarksInvalidRecords(t *testing.T) {
	for _, data := range []string{"", "[]", `{"format":2,"kind":"change"}`, `{"format":1,"kind":"wish"}`, `{"format":1,"kind":"snapshot","snapshot":{"parts":1,"part":1}}`, strings.Repeat(" ", MaxRecordBytes+1)} {
		if _, err := Decode([]byte(data)); !errors.Is(err, ErrInvalidRecord) {
			t.Errorf("%.40q: err = %v, want ErrInvalidRecord", data, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"format":1,"kind":"change","change":{"id":"c","kind":"team","name":"t","object":null}}`))
	f.Add([]byte(`{"format":1,"kind":"snapshot","snapshot":{"id":"s","covers":3,"part":0,"parts":1,"data":"e30="}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := Decode(data)
		if err != nil {
			if !errors.Is(err, ErrInvalidRecord) {
				t.Errorf("err = %v, want ErrInvalidRecord", err)
			}
			return
		}
		if (entry.Change == nil) == (entry.Snapshot == nil) {
			t.Errorf("entry %+v, want exactly one pointer set", entry)
		}
	})
}
