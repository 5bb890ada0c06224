package quarantiner

import (
	"expvar"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// fleet is a fixed list of nodes.
type fleet []quetzalroad.NodeName

func (f fleet) Nodes() []quetzalroad.NodeName { return f }

func (f fleet) RankedNodes() []quetzalroad.NodeName { return f }
func (fleet) PeerAddresses() []netip.AddrPort       { return nil }

func newQuarantiner(t *testing.T, name quetzalroad.NodeName, nodes ...quetzalroad.NodeName) *Quarantiner {
	t.Helper()
	q := new(Quarantiner)
	q.Declare(new(configloader.Section))
	n := &kernel.Node{Logger: slog.New(slog.DiscardHandler), Vars: new(expvar.Map), Fleet: fleet(nodes)}
	n.Name = name
	if err := q.Build(n); err != nil {
		t.Fatal(err)
	}
	return q
}

func prompt(ids ...string) []quetzalroad.PromptSegment {
	var segments []quetzalroad.PromptSegment
	for _, id := range ids {
		segments = append(segments, quetzalroad.PromptSegment{ID: id, Tokens: 10})
	}
	return segments
}

// lose records the exit of upstreams one after the other.
func (q *Quarantiner) lose(upstreams int, ids ...string) {
	for i := range upstreams {
		q.RecordLoss(time.Now(), quetzalroad.UpstreamName(fmt.Sprintf("%s-%d", ids[len(ids)-1], i)), q.Expose(prompt(ids...)))
	}
}

func (q *Quarantiner) refuses(id quetzalroad.RequestID, ids ...string) bool {
	_, refused := q.Check(time.Now(), id, prompt(ids...))
	return refused
}

func TestQuarantineRefusesOnlyRequestsWithTheSegment(t *testing.T) {
	q := newQuarantiner(t, "n", "n", "m")
	q.RecordComplete(time.Now(), prompt("common"))
	q.lose(3, "common", "deadly")
	if !q.refuses("1", "other", "deadly") {
		t.Error("a request with the segment is not refused")
	}
	if q.refuses("2", "common", "other") {
		t.Error("a request with a sound neighbour of the segment is refused")
	}
}

func TestCompleteResponseReleasesSegment(t *testing.T) {
	q := newQuarantiner(t, "n", "n")
	q.lose(3, "x")
	if !q.refuses("1", "x") {
		t.Fatal("the segment is not quarantined")
	}
	q.RecordComplete(time.Now(), prompt("x"))
	if q.refuses("2", "x") {
		t.Error("the segment is still quarantined after a complete response")
	}
	q.lose(2, "x")
	if q.refuses("3", "x") {
		t.Error("losses that the response disproved count again")
	}
}

func TestSoundNodeReleasesSegmentOnAllNodes(t *testing.T) {
	a, b := newQuarantiner(t, "a", "a", "b"), newQuarantiner(t, "b", "a", "b")
	a.lose(3, "x")
	b.Merge(time.Now(), a.Evidence())
	b.RecordComplete(time.Now(), prompt("x"))
	a.Merge(time.Now(), b.Evidence())
	if a.refuses("1", "x") || b.refuses("2", "x") {
		t.Error("the segment is still quarantined after a complete response at one node")
	}
	if a.Digest() != b.Digest() {
		t.Error("nodes with the same evidence have different digests")
	}
}

func TestMergeOrderDoesNotMatter(t *testing.T) {
	source := newQuarantiner(t, "s", "s")
	var parts []quetzalroad.LossEvidence
	for i := range 12 {
		source.lose(1, "common", fmt.Sprintf("x-%d", i%4), fmt.Sprintf("y-%d", i))
		if i%5 == 0 {
			source.RecordComplete(time.Now(), prompt("common"))
		}
		parts = append(parts, source.Evidence())
	}
	for seed := range uint64(20) {
		q := newQuarantiner(t, "q", "q")
		random := rand.New(rand.NewPCG(seed, 0))
		for _, i := range append(random.Perm(len(parts)), random.Perm(len(parts))...) {
			q.Merge(time.Now(), parts[i])
		}
		if diff := cmp.Diff(source.Evidence(), q.Evidence()); diff != "" {
			t.Fatalf("seed %d (-want +got):\n%s", seed, diff)
		}
	}
}

func TestQuarantineLastsWhileRequestsCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantiner(t, "n", "n", "m")
		if q.ownsProbes("x") {
			// The other node sends no probes.
			q = newQuarantiner(t, "m", "n", "m")
		}
		q.lose(3, "x")
		for range 20 {
			time.Sleep(q.memory / 2)
			if !q.refuses("1", "x") {
				t.Fatal("the quarantine ended although requests came")
			}
		}
		time.Sleep(q.memory + q.memory/refusedPrecision)
		q.refuses("2", "x")
		if q.refuses("3", "x") {
			t.Error("the quarantine goes on although no request came")
		}
	})
}

func TestOneNodeProbesAFewTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []quetzalroad.NodeName{"a", "b", "c", "d", "e"}
		var nodes []*Quarantiner
		for _, n := range names {
			q := newQuarantiner(t, n, names...)
			q.lose(3, "x")
			nodes = append(nodes, q)
		}
		sentBy := make(map[int]int)
		for count := range 8 * 3600 {
			for i, q := range nodes {
				id := quetzalroad.RequestID(fmt.Sprintf("%d-%d", i, count))
				if !q.refuses(id, "x") {
					sentBy[i]++
					if q.refuses(id, "x") {
						t.Fatal("a probe is refused at its second check")
					}
				}
			}
			time.Sleep(time.Second)
		}
		if len(sentBy) != 1 {
			t.Fatalf("nodes %v sent probes, want one", sentBy)
		}
		for i, count := range sentBy {
			if count != maxProbes {
				t.Errorf("node %d sent %d probes, want %d", i, count, maxProbes)
			}
		}
	})
}

func TestEvidenceIsBounded(t *testing.T) {
	q := newQuarantiner(t, "n", "n")
	long := make([]string, 1000)
	for i := range long {
		long[i] = strings.Repeat("é", 100) + fmt.Sprint(i)
	}
	for i := range 1000 {
		long[0] = fmt.Sprint(i)
		q.RecordLoss(time.Now().Add(time.Duration(i)*time.Millisecond), quetzalroad.UpstreamName(fmt.Sprint(i)), q.Expose(prompt(long...)))
	}
	evidence := q.Evidence()
	if len(evidence.Losses) > maxLosses {
		t.Errorf("%d losses kept, want at most %d", len(evidence.Losses), maxLosses)
	}
	size := 0
	for _, l := range evidence.Losses {
		for _, s := range l.Segments {
			if len(s.ID) > maxSegmentIDBytes {
				t.Fatalf("an id of %d bytes kept, want at most %d", len(s.ID), maxSegmentIDBytes)
			}
			size += len(s.ID) + segmentOverheadBytes
		}
	}
	if size > maxEvidenceBytes {
		t.Errorf("segments of %d bytes kept, want at most %d", size, maxEvidenceBytes)
	}
}

func TestAlertIsLongOnlyWithTwoUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantiner(t, "n", "n")
		for range 5 {
			q.RecordExit(time.Now(), "a")
		}
		if !q.IsAlert(time.Now()) {
			t.Error("the exit of an upstream is no alert")
		}
		time.Sleep(shortAlert)
		if q.IsAlert(time.Now()) {
			t.Error("the exit of one upstream is a long alert")
		}
		q.RecordExit(time.Now(), "b")
		time.Sleep(shortAlert)
		if !q.IsAlert(time.Now()) {
			t.Error("the exit of two upstreams is no long alert")
		}
		time.Sleep(q.alertTime)
		if q.IsAlert(time.Now()) {
			t.Error("the alert does not end")
		}
	})
}
