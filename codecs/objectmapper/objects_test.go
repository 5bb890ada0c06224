package objectmapper

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// compareAddresses lets cmp compare addresses, which have unexported fields.
var compareAddresses = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

func TestObjectRoundTrip(t *testing.T) {
	tests := []struct {
		kind   quetzalroad.ObjectKind
		object quetzalroad.Object
	}{
		{quetzalroad.ObjectProfile, quetzalroad.Object{Profile: &quetzalroad.Profile{
			Name: "chat", Class: "chat", Tier: 1, FirstTokenTarget: 250 * time.Millisecond, Timeout: time.Minute, Idempotent: true, Interactive: true, MaxTokens: 7, Revision: 3,
		}}},
		{quetzalroad.ObjectTeam, quetzalroad.Object{Team: &quetzalroad.Team{
			Name: "team", KeyHashes: []quetzalroad.KeyHash{quetzalroad.HashKey("key")}, DefaultProfile: "chat", Weight: 2, MaxTokensPerSecond: 5, MaxConcurrency: 6,
		}}},
		{quetzalroad.ObjectService, quetzalroad.Object{Service: &quetzalroad.Service{
			Name: "llm", Kind: quetzalroad.ServiceKindEngine, Models: []quetzalroad.ModelName{"Llm.2"}, MaxConcurrency: 9,
		}}},
		{quetzalroad.ObjectUpstream, quetzalroad.Object{Upstream: &quetzalroad.Upstream{
			Name: "llm-1", Service: "llm", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "here", Region: "there", MaxConcurrency: 4, ChecksFencing: true, Draining: true,
		}}},
		{quetzalroad.ObjectProfile, quetzalroad.Object{}},
	}
	for _, test := range tests {
		data, err := Encode(test.object)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(test.kind, data)
		if err != nil {
			t.Fatalf("%s: %v", data, err)
		}
		if diff := cmp.Diff(test.object, got, compareAddresses); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.kind, diff)
		}
	}
}

func TestDecodeReportsAllProblems(t *testing.T) {
	_, err := Decode(quetzalroad.ObjectProfile, []byte(`{"name":"No","class":"chat","tier":9,"first-token-target":"soon","timeout":"1s","interactive":true,"preemptible":true}`))
	var invalid *quetzalroad.InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("err = %v, want an InvalidError", err)
	}
	var paths []string
	for _, p := range invalid.Problems {
		paths = append(paths, p.Path)
	}
	if diff := cmp.Diff([]string{"name", "first-token-target", "tier", "preemptible", "preemptible"}, paths); diff != "" {
		t.Errorf("paths (-want +got):\n%s", diff)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("profile", []byte(`{"name":"chat","class":"chat","tier":1,"first-token-target":"1s","timeout":"1m"}`))
	f.Add("team", []byte(`{"name":"t","key-hashes":["00"],"default-profile":"chat"}`))
	f.Add("service", []byte(`{"name":"s","kind":"plain"}`))
	f.Add("upstream", []byte(`{"name":"u","service":"s","address":"[::1]:8","data-centre":"d","region":"r","slots":1}`))
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		o, err := Decode(quetzalroad.ObjectKind(kind), data)
		if err != nil {
			return
		}
		encoded, err := Encode(o)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(quetzalroad.ObjectKind(kind), encoded)
		if err != nil {
			t.Fatalf("%s can't be decoded again: %v", encoded, err)
		}
		if diff := cmp.Diff(o, again, compareAddresses); diff != "" {
			t.Errorf("(-first +again):\n%s", diff)
		}
	})
}
