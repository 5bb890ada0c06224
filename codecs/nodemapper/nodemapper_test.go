package nodemapper

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
)

func TestAnEntryComesBackAsItWent(t *testing.T) {
	want := quetzalroad.NodeRegistration{
		Name: "node-1", DataCentre: "west-1", Address: netip.MustParseAddrPort("10.1.0.1:7200"), ReadCapacity: 12.5, WrittenAt: time.Unix(1000, 5).UTC(),
	}
	value, err := EncodeEntry(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeEntry(quetzalroad.KeyedRecord{Key: "node-1", Value: value})
	if err != nil || got != want {
		t.Errorf("%+v, %v, want %+v", got, err, want)
	}
}

func TestAnEntryThatSaysTooLittleNamesNoNode(t *testing.T) {
	for _, value := range []string{
		``, `[]`, `{}`, `{"data-centre": "x", "address": "10.1.0.1"}`, `{"address": "10.1.0.1:1"}`, `{"data-centre": "x", "address": "10.1.0.1:1", "capacity": -1}`,
	} {
		if e, err := DecodeEntry(quetzalroad.KeyedRecord{Key: "n", Value: []byte(value)}); err == nil {
			t.Errorf("%s was read as %+v", value, e)
		}
	}
	if _, err := DecodeEntry(quetzalroad.KeyedRecord{Value: []byte(`{"data-centre": "x", "address": "10.1.0.1:1"}`)}); err == nil {
		t.Error("an entry without a name was taken")
	}
}

func TestRecordsComeBackAsTheyWentAndNoYounger(t *testing.T) {
	want := quetzalroad.SharedReadResponse{
		Status: quetzalroad.SharedReadOK, NextRead: 9, Age: 1500*time.Millisecond + 300,
		Records: []quetzalroad.KeyedRecord{{Key: "a", Offset: 3, Value: []byte("v")}, {Key: "b", Offset: 8}},
	}
	got, err := DecodeRecords(EncodeRecords(want))
	if err != nil {
		t.Fatal(err)
	}
	if got.Age < want.Age || got.Age > want.Age+time.Microsecond {
		t.Errorf("age %s became %s", want.Age, got.Age)
	}
	got.Age = want.Age
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	q := quetzalroad.SharedReadRequest{Stream: quetzalroad.LogStreamUpstreams, From: quetzalroad.NoOffset}
	if got := DecodeRead(EncodeRead(q)); got != q {
		t.Errorf("%+v became %+v", q, got)
	}
}

func TestAnAnswerThatCannotBeIsNotTaken(t *testing.T) {
	for _, w := range []*peerwire.ReadAnswer{{AgeUs: -1}, {Through: -1}, {State: 3}, {State: -1}} {
		if s, err := DecodeRecords(w); err == nil {
			t.Errorf("%v was read as %+v", w, s)
		}
	}
}

func FuzzDecodeEntry(f *testing.F) {
	f.Add("node", []byte(`{"data-centre": "x", "address": "10.1.0.1:1", "capacity": 1}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		e, err := DecodeEntry(quetzalroad.KeyedRecord{Key: key, Value: value})
		if err == nil && (e.Name == "" || e.DataCentre == "" || !e.Address.IsValid() || e.ReadCapacity < 0) {
			t.Errorf("%q gave %+v", value, e)
		}
	})
}
