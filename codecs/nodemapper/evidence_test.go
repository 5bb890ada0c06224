package nodemapper

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
)

func testEvidence() *quetzalroad.LossEvidence {
	at := time.UnixMilli(1_700_000_000_123)
	var long []quetzalroad.ExposedSegment
	for i := range 2 * maxListedSegments {
		long = append(long, quetzalroad.ExposedSegment{ID: fmt.Sprint(i), Wave: 1 + i%2})
	}
	return &quetzalroad.LossEvidence{
		Losses: []quetzalroad.UpstreamLoss{
			{Upstream: "u", At: at, Segments: []quetzalroad.ExposedSegment{{ID: "a", Wave: 1}, {ID: "b", Wave: 3}}},
			{Upstream: "w", At: at, Segments: long},
		},
		InFlight: []quetzalroad.UpstreamLoss{{Upstream: "v", At: at, Segments: []quetzalroad.ExposedSegment{{ID: "request:9f", Wave: 2}}}},
		Sound:    []quetzalroad.SoundSegment{{ID: "a", Wave: 0}},
		Refused:  []quetzalroad.RefusedSegment{{ID: "b", At: at}},
	}
}

func TestEvidenceRoundTrip(t *testing.T) {
	want := quetzalroad.SharedReadRequest{
		Stream: quetzalroad.LogStreamOperators, From: quetzalroad.Position{Epoch: 3, Offset: 7}, Node: "node-1", Observations: &quetzalroad.Observations{EvidenceDigest: 9, Evidence: testEvidence()},
	}
	if diff := cmp.Diff(want, DecodeReadRequest(EncodeReadRequest(want))); diff != "" {
		t.Errorf("read request (-want +got):\n%s", diff)
	}
	registration := quetzalroad.NodeRegistration{Name: "n", DataCentre: "d", Address: netip.MustParseAddrPort("10.1.0.1:1"), WrittenAt: time.Unix(5, 0).UTC(), Evidence: testEvidence()}
	value, err := EncodeRegistration(registration)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeRegistration(quetzalroad.KeyedRecord{Key: "n", Value: value})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(registration.Evidence, got.Evidence); diff != "" {
		t.Errorf("registration (-want +got):\n%s", diff)
	}
}

func TestImpossibleEvidenceIsLeftOut(t *testing.T) {
	message := &peerwire.LossEvidence{
		Losses: []*peerwire.UpstreamLoss{
			{Segments: []string{"a"}, Waves: []uint32{1}},
			{Upstream: "no-segments"},
			{Upstream: "no-waves", Segments: []string{"a"}},
			{Upstream: "wave-zero", Segments: []string{"a"}, Waves: []uint32{0}},
			{Upstream: "huge-wave", Segments: []string{"a"}, Waves: []uint32{1 << 31}},
			{Upstream: "long", Segments: make([]string, maxLossSegments+1), Waves: make([]uint32, maxLossSegments+1)},
		},
		Sound: []*peerwire.SoundSegment{{Segment: "a", Wave: 1 << 31}},
	}
	if diff := cmp.Diff(&quetzalroad.LossEvidence{}, decodeEvidence(message)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// maxEvidenceBytes is what the evidence may add to a message between nodes.
const maxEvidenceBytes = 64 << 10

func TestEvidenceStaysSmall(t *testing.T) {
	e := new(quetzalroad.LossEvidence)
	for range 64 {
		l := quetzalroad.UpstreamLoss{Upstream: "i-0123456789@abcdefgh", At: time.Now()}
		for range 16 {
			l.Segments = append(l.Segments, quetzalroad.ExposedSegment{ID: strings.Repeat("x", 24), Wave: 5})
		}
		e.Losses = append(e.Losses, l)
	}
	value, err := EncodeRegistration(quetzalroad.NodeRegistration{Name: "n", DataCentre: "d", Address: netip.MustParseAddrPort("10.1.0.1:1"), Evidence: e})
	if err != nil {
		t.Fatal(err)
	}
	if len(value) > maxEvidenceBytes {
		t.Errorf("%d bytes, want at most %d", len(value), maxEvidenceBytes)
	}
}

// Builds that bound the segments of a loss take over what is listed first, and ignore the rest.
func TestEarlierBuildsCanReadLongLosses(t *testing.T) {
	message := encodeEvidence(testEvidence())
	for _, l := range message.GetLosses() {
		if listed := len(l.GetSegments()); listed == 0 || listed > maxListedSegments || listed != len(l.GetWaves()) {
			t.Errorf("loss of %s lists %d segments and %d waves, want at most %d", l.GetUpstream(), listed, len(l.GetWaves()), maxListedSegments)
		}
	}
	// What such a build sends has no further lists.
	for _, l := range message.GetLosses() {
		l.MoreSegments, l.MoreWaves = nil, nil
	}
	message.InFlight = nil
	got := decodeEvidence(message)
	if len(got.Losses) != 2 || len(got.Losses[1].Segments) != maxListedSegments {
		t.Errorf("%d losses taken over from an earlier build", len(got.Losses))
	}
}
