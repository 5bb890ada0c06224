package nodemapper

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

func TestRegistrationRoundTrip(t *testing.T) {
	want := quetzalroad.NodeRegistration{
		Name: "node-1", DataCentre: "west-1", Address: netip.MustParseAddrPort("10.1.0.1:7200"), ReadCapacity: 12.5, WrittenAt: time.Unix(1000, 5).UTC(),
	}
	value, err := EncodeRegistration(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeRegistration(quetzalroad.KeyedRecord{Key: "node-1", Value: value})
	if err != nil || got != want {
		t.Errorf("%+v, %v, want %+v", got, err, want)
	}
}

func TestIncompleteRegistrationIsRejected(t *testing.T) {
	for _, value := range []string{
		``, `[]`, `{}`, `{"data-centre": "x", "address": "10.1.0.1"}`, `{"address": "10.1.0.1:1"}`, `{"data-centre": "x", "address": "10.1.0.1:1", "capacity": -1}`,
		`{"data-centre": "x", "address": "10.1.0.1:0"}`, `{"data-centre": "x", "address": "10.1.0.1:65536"}`, `{"data-centre": "x", "address": "10.1.0.1:1", "capacity": 1e400}`,
		`{"data-centre": "x", "address": "10.1.0.1:1", "extra": ` + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000) + `}`,
	} {
		if registration, err := DecodeRegistration(quetzalroad.KeyedRecord{Key: "n", Value: []byte(value)}); err == nil {
			t.Errorf("%s was decoded as %+v", value, registration)
		}
	}
	if _, err := DecodeRegistration(quetzalroad.KeyedRecord{Value: []byte(`{"data-centre": "x", "address": "10.1.0.1:1"}`)}); err == nil {
		t.Error("a registration without a name was accepted")
	}
}

func TestReadResponseRoundTripNeverLowersAge(t *testing.T) {
	want := quetzalroad.SharedReadResponse{
		Status: quetzalroad.SharedReadOK, Epoch: 4, NextRead: 9, InheritedEnd: 2, Age: 1500*time.Millisecond + 300,
		Records:      []quetzalroad.KeyedRecord{{Key: "a", Offset: 3, Value: []byte("v")}, {Key: "b", Offset: 8}},
		Observations: &quetzalroad.Observations{Mixes: []quetzalroad.ServiceMix{{Service: "llm", Requests: 1}}},
	}
	got, err := DecodeReadResponse(EncodeReadResponse(want))
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
}

func TestReadRequestRoundTrip(t *testing.T) {
	for _, want := range []quetzalroad.SharedReadRequest{
		{Stream: quetzalroad.LogStreamUpstreams, From: quetzalroad.Position{Offset: quetzalroad.NoOffset}},
		{Stream: quetzalroad.LogStreamOperators, From: quetzalroad.Position{Epoch: 3, Offset: 7}, Node: "node-1", Observations: &quetzalroad.Observations{}},
		{Stream: quetzalroad.LogStreamOperators, From: quetzalroad.Position{Epoch: 3, Offset: 7}, Node: "node-1", Observations: &quetzalroad.Observations{
			Mixes:     []quetzalroad.ServiceMix{{Service: "llm", ShortWork: 1.5, LongWork: 2.5, Requests: 3}},
			Upstreams: []quetzalroad.UpstreamObservation{{Upstream: "u", InterTokenLatency: 20 * time.Millisecond, Occupancy: 3, ReportAge: time.Millisecond}},
		}},
	} {
		if diff := cmp.Diff(want, DecodeReadRequest(EncodeReadRequest(want))); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	}
}

func TestImpossibleObservationsAreLeftOut(t *testing.T) {
	message := &peerwire.ReadRequest{Observations: &peerwire.Observations{
		Mixes:     []*peerwire.ServiceMix{{Service: "a", ShortWork: math.NaN()}, {Service: "b", LongWork: math.Inf(1)}, {Service: "c", Requests: -1}, {Service: "d"}},
		Upstreams: []*peerwire.UpstreamObservation{{Upstream: "u", Occupancy: -1}, {Upstream: "v", InterTokenUs: -1}, {Upstream: "w", ReportAgeUs: math.MaxInt64}, {Upstream: "x", Occupancy: math.MaxInt64}},
	}}
	want := &quetzalroad.Observations{Mixes: []quetzalroad.ServiceMix{{Service: "d"}}}
	if diff := cmp.Diff(want, DecodeReadRequest(message).Observations); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestInvalidReadResponseIsRejected(t *testing.T) {
	for _, message := range []*peerwire.ReadAnswer{{AgeUs: -1}, {Through: -1}, {State: 3}, {State: -1}} {
		if response, err := DecodeReadResponse(message); err == nil {
			t.Errorf("%v was decoded as %+v", message, response)
		}
	}
}

// A node would go by a view of any age, and by the list of an empty response.
func TestSharedReadWhoseAgeIsUnknownIsNotFresh(t *testing.T) {
	for _, message := range []*peerwire.ReadAnswer{{State: peerwire.ReadAnswer_GIVEN}, {State: peerwire.ReadAnswer_GIVEN, Through: 9, Epoch: 4}} {
		if response, err := DecodeReadResponse(message); err == nil {
			t.Errorf("%v was decoded as %+v", message, response)
		}
	}
	for _, age := range []time.Duration{boottimer.Never, boottimer.Never / 2} {
		got, err := DecodeReadResponse(EncodeReadResponse(quetzalroad.SharedReadResponse{Status: quetzalroad.SharedReadOK, Age: age}))
		if err != nil || got.Age < age {
			t.Errorf("age %s became %s, error %v", age, got.Age, err)
		}
	}
}

func FuzzDecodeRegistration(f *testing.F) {
	f.Add("node", []byte(`{"data-centre": "x", "address": "10.1.0.1:1", "capacity": 1}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		registration, err := DecodeRegistration(quetzalroad.KeyedRecord{Key: key, Value: value})
		if err == nil && (registration.Name == "" || registration.DataCentre == "" || !registration.Address.IsValid() || registration.ReadCapacity < 0) {
			t.Errorf("%q was decoded as %+v", value, registration)
		}
	})
}
