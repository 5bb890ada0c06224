package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
)

// longPrompt returns a prompt of random segments with the deadly one at a place.
func longPrompt(random *rand.Rand, segments, place int) []quetzalroad.PromptSegment {
	ids := make([]string, segments)
	for i := range ids {
		ids[i] = fmt.Sprintf("%08x", random.Uint32())
	}
	ids[place] = "deadly"
	return append(prompt(ids...), quetzalroad.WholeRequestSegment(random.Uint64()))
}

// A bound on the evidence must not be a place to hide: the deadly segment is found at any place of prompts
// of any length, while no other segment is blamed.
func TestDeadlySegmentIsFoundAtAnyPlace(t *testing.T) {
	for _, segments := range []int{1, 16, 17, 200, 1300} {
		for _, place := range []int{0, segments / 2, segments - 1} {
			random := rand.New(rand.NewPCG(uint64(segments), uint64(place)))
			q := newQuarantiner(t, "n", "n")
			for i := range 3 {
				q.RecordLoss(time.Now(), quetzalroad.UpstreamName(fmt.Sprint(i)), q.Expose(longPrompt(random, segments, place)))
			}
			var quarantined []string
			for _, s := range q.Quarantined(time.Now()) {
				quarantined = append(quarantined, s.ID)
			}
			if diff := cmp.Diff([]string{"deadly"}, quarantined); diff != "" {
				t.Errorf("segment %d of %d (-want +got):\n%s", place, segments, diff)
			}
		}
	}
}

// Two nodes that dropped different segments come to the same evidence by exchanging it.
func TestNarrowedEvidenceConverges(t *testing.T) {
	a, b := newQuarantiner(t, "a", "a", "b"), newQuarantiner(t, "b", "a", "b")
	for i, q := range []*Quarantiner{a, b, a, b, a, b} {
		random := rand.New(rand.NewPCG(uint64(i), 0))
		q.RecordLoss(time.Now(), quetzalroad.UpstreamName(fmt.Sprint(i)), q.Expose(longPrompt(random, 1000, i)))
	}
	for range 4 {
		a.Merge(time.Now(), b.Evidence())
		b.Merge(time.Now(), a.Evidence())
	}
	if a.Digest() != b.Digest() {
		t.Error("the digests differ after the exchange")
	}
	if !a.refuses("1", "deadly") || !b.refuses("2", "deadly") {
		t.Error("the deadly segment is not quarantined")
	}
}

// A segment that a prompt repeats speaks against itself once.
func TestExposeListsRepeatedSegmentOnce(t *testing.T) {
	q := newQuarantiner(t, "n", "n")
	want := []quetzalroad.ExposedSegment{{ID: "x", Wave: 1}, {ID: "y", Wave: 1}}
	if diff := cmp.Diff(want, q.Expose(prompt("x", "y", "x", "x"))); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
