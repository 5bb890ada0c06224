package separator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// fakeLoads is a load tracker whose estimates a test sets.
type fakeLoads struct {
	quetzalroad.LoadTracker
	running map[quetzalroad.UpstreamName]int
	suspect map[quetzalroad.UpstreamName]bool
	latency map[quetzalroad.UpstreamName]time.Duration
	// occupied holds what the last reports counted.
	occupied map[quetzalroad.UpstreamName]int
}

func (l *fakeLoads) Estimate(u quetzalroad.UpstreamName, _ time.Time) quetzalroad.LoadEstimate {
	return quetzalroad.LoadEstimate{Running: l.running[u], LocalRunning: l.running[u], Suspect: l.suspect[u], InterTokenLatency: l.latency[u], Occupancy: l.occupied[u]}
}

var dataCentres = []quetzalroad.DataCentre{"east", "west"}

func newEngines(count int) []quetzalroad.Upstream {
	var all []quetzalroad.Upstream
	for i := range count {
		dataCentre := dataCentres[i%len(dataCentres)]
		all = append(all, quetzalroad.Upstream{
			Name: quetzalroad.UpstreamName(fmt.Sprintf("engine-%02d", i)), Service: "llm", DataCentre: dataCentre, Region: quetzalroad.Region(dataCentre), MaxConcurrency: 64,
		})
	}
	return all
}

func newSeparator(t *testing.T, l *fakeLoads) *Separator {
	t.Helper()
	s := new(Separator)
	s.Declare(new(configloader.Section))
	n := &kernel.Node{Identity: kernel.Identity{Name: "node", DataCentre: "east", Region: "east"}, LoadTracker: l}
	if err := s.Build(n); err != nil {
		t.Fatal(err)
	}
	return s
}

func newFakeLoads() *fakeLoads {
	return &fakeLoads{running: make(map[quetzalroad.UpstreamName]int), suspect: make(map[quetzalroad.UpstreamName]bool)}
}

func newRequest(tokens int, prefix uint64) *quetzalroad.Request {
	return &quetzalroad.Request{Model: "m", Service: quetzalroad.Service{Name: "llm"}, PromptTokens: tokens, SharedPromptTokens: tokens / 2, PrefixHash: prefix}
}

func TestLongAndShortPromptsUseSeparateEngines(t *testing.T) {
	s := newSeparator(t, newFakeLoads())
	all := newEngines(10)
	now := time.Unix(1000, 0)
	longEngines := make(map[quetzalroad.UpstreamName]bool)
	for i := range 200 {
		longEngines[s.Choose(now, newRequest(9000, uint64(i+1)), all).Name] = true
	}
	for i := range 200 {
		if u := s.Choose(now, newRequest(800, uint64(i+1)), all); longEngines[u.Name] {
			t.Fatalf("%s serves both long and short prompts", u.Name)
		}
	}
	if len(longEngines) < 3 {
		t.Errorf("200 long prompts used only %d engines", len(longEngines))
	}
}

func TestNodesAgreeOnPrefixOwnersAndRemovalMovesOnlyItsPrefixes(t *testing.T) {
	local, remote := newSeparator(t, newFakeLoads()), newSeparator(t, newFakeLoads())
	remote.region = "west"
	local.crossRegionCost, remote.crossRegionCost = 0, 0
	all := newEngines(10)
	now := time.Unix(1000, 0)
	// The partition is stable once it follows the demand.
	for p := uint64(1); p <= 100; p++ {
		local.Choose(now, newRequest(9000, p), all)
		remote.Choose(now, newRequest(9000, p), all)
	}
	owners := make(map[uint64]quetzalroad.UpstreamName)
	for p := uint64(1); p <= 100; p++ {
		owners[p] = local.Choose(now, newRequest(9000, p), all).Name
		if u := remote.Choose(now, newRequest(9000, p), all); u.Name != owners[p] {
			t.Errorf("prefix %d is owned by %s on one node and by %s on another", p, owners[p], u.Name)
		}
	}
	order, shortCount := local.partitionEngines(now, "llm", all)
	removed := order[len(order)-1].Name
	remaining := order[:len(order)-1]
	for p, before := range owners {
		if after := prefixOwners(p, 0, remaining[shortCount:])[0].Name; before != removed && after != before {
			t.Errorf("the owner of prefix %d changed from %s to %s when %s was removed", p, before, after, removed)
		}
	}
}

// At the crest of short prompts a node sends each engine few of them, and can't tell from those that it is full.
func TestFullEngineIsAvoidedForAsLongAsItsReportTellsSo(t *testing.T) {
	l := newFakeLoads()
	s := newSeparator(t, l)
	all := newEngines(10)
	now := time.Unix(1000, 0)
	s.Choose(now, newRequest(500, 1), all)
	order, shortCount := s.partitionEngines(now, "llm", all)
	l.occupied = make(map[quetzalroad.UpstreamName]int)
	for _, u := range order[:shortCount] {
		l.occupied[u.Name] = 2 * u.MaxConcurrency
	}
	for p := range 50 {
		if u := s.Choose(now, newRequest(500, uint64(p)), all); slices.ContainsFunc(order[:shortCount], func(f quetzalroad.Upstream) bool { return f.Name == u.Name }) {
			t.Fatalf("a short prompt went to %s, which is full", u.Name)
		}
	}
}

func TestBusyPrefixOwnerIsBypassed(t *testing.T) {
	l := newFakeLoads()
	s := newSeparator(t, l)
	all := newEngines(10)
	now := time.Unix(1000, 0)
	r := newRequest(9000, 7)
	owner := s.Choose(now, r, all).Name
	l.running[owner] = 60
	if chosen := s.Choose(now, r, all).Name; chosen == owner {
		t.Errorf("the prompt went to %s, which runs 60 others", chosen)
	}
}

func TestShortPromptsStayInRegionUntilItIsLoaded(t *testing.T) {
	l := newFakeLoads()
	s := newSeparator(t, l)
	all := newEngines(10)
	now := time.Unix(1000, 0)
	if u := s.Choose(now, newRequest(800, 1), all); u.Region != "east" {
		t.Errorf("the request went to region %s although no engine was loaded", u.Region)
	}
	for _, u := range all {
		if u.Region == "east" {
			l.running[u.Name] = 30
		}
	}
	if u := s.Choose(now, newRequest(800, 1), all); u.Region != "west" {
		t.Error("loaded engines were preferred to idle ones of another region")
	}
}

func TestNodesWithEqualEstimatesChooseDifferentEngines(t *testing.T) {
	l := newFakeLoads()
	// With fewer engines the initial short pool has only one in the node's region.
	all := newEngines(40)
	chosen := make(map[quetzalroad.UpstreamName]int)
	const nodes = 200
	for range nodes {
		s := newSeparator(t, l)
		chosen[s.Choose(time.Unix(1000, 0), newRequest(800, 1), all).Name]++
	}
	for name, count := range chosen {
		if count > nodes*3/4 {
			t.Errorf("%d of %d nodes chose %s", count, nodes, name)
		}
	}
}

func TestSuspectEngineIsChosenLast(t *testing.T) {
	l := newFakeLoads()
	s := newSeparator(t, l)
	all := newEngines(4)
	for _, u := range all[1:] {
		l.suspect[u.Name] = true
	}
	for i := range 20 {
		if u := s.Choose(time.Unix(1000, 0), newRequest(800, uint64(i)), all); u.Name != all[0].Name {
			t.Fatalf("%s was chosen although another engine is not suspect", u.Name)
		}
	}
}

// shortCountAfterMix sends 200 requests over 20 s, of which longCount in every
// period are long, and returns the size of the short pool afterwards.
func shortCountAfterMix(s *Separator, all []quetzalroad.Upstream, start time.Time, longCount, period int) int {
	for i := range 200 {
		r := newRequest(800, uint64(i+1))
		r.MaxTokens = 300
		if i%period < longCount {
			r = newRequest(8000, uint64(i+1))
		}
		s.Choose(start.Add(time.Duration(i)*100*time.Millisecond), r, all)
	}
	_, shortCount := s.partitionEngines(start.Add(20*time.Second), "llm", all)
	return shortCount
}

func TestPartitionFollowsThePromptMix(t *testing.T) {
	all := newEngines(20)
	now := time.Unix(1000, 0)
	withFewLong := shortCountAfterMix(newSeparator(t, newFakeLoads()), all, now, 1, 20)
	withManyLong := shortCountAfterMix(newSeparator(t, newFakeLoads()), all, now, 1, 2)
	if withFewLong < 14 || withManyLong > 4 {
		t.Errorf("short pool has %d of 20 engines with one long prompt in 20, %d with one in 2", withFewLong, withManyLong)
	}
	s := newSeparator(t, newFakeLoads())
	before := shortCountAfterMix(s, all, now, 1, 20)
	if after := shortCountAfterMix(s, all, now.Add(20*time.Second), 1, 2); after >= before {
		t.Errorf("short pool had %d engines and has %d after the share of long prompts grew", before, after)
	}
}

func TestSimilarDemandLeadsToSimilarPartitions(t *testing.T) {
	all := newEngines(20)
	now := time.Unix(1000, 0)
	base := shortCountAfterMix(newSeparator(t, newFakeLoads()), all, now, 20, 100)
	for _, longCount := range []int{18, 19, 21, 22} {
		if count := shortCountAfterMix(newSeparator(t, newFakeLoads()), all, now, longCount, 100); max(count-base, base-count) > 2 {
			t.Errorf("short pool has %d engines with 20 long prompts in 100, %d with %d", base, count, longCount)
		}
	}
}

func TestPartitionIsStableAtLowTrafficAndKeepsBothPools(t *testing.T) {
	s := newSeparator(t, newFakeLoads())
	now := time.Unix(1000, 0)
	_, initial := s.partitionEngines(now, "llm", newEngines(10))
	for i := range minRequestCount - 2 {
		s.Choose(now, newRequest(9000, uint64(i+1)), newEngines(10))
	}
	if _, shortCount := s.partitionEngines(now, "llm", newEngines(10)); shortCount != initial {
		t.Errorf("short pool changed from %d to %d engines after %d requests", initial, shortCount, minRequestCount-2)
	}
	for i := range 100 {
		s.Choose(now, newRequest(9000, uint64(i+1)), newEngines(10))
	}
	for n := 2; n <= 10; n++ {
		if _, shortCount := s.partitionEngines(now, "llm", newEngines(n)); shortCount < 1 || shortCount >= n {
			t.Errorf("short pool has %d of %d engines", shortCount, n)
		}
	}
	if _, shortCount := s.partitionEngines(now.Add(10*time.Minute), "llm", newEngines(10)); shortCount < 1 || shortCount > 9 {
		t.Errorf("short pool has %d of 10 engines after 10 minutes without requests", shortCount)
	}
}

func TestCachedOrderFollowsEngineChanges(t *testing.T) {
	s := newSeparator(t, newFakeLoads())
	now := time.Unix(1000, 0)
	all := newEngines(12)
	for _, candidates := range [][]quetzalroad.Upstream{all, all[1:], all[:11], all} {
		order, _ := s.partitionEngines(now, "llm", candidates)
		if diff := cmp.Diff(interleaveDataCentres(candidates), order, cmp.Comparer(func(a, b quetzalroad.Upstream) bool { return a == b })); diff != "" {
			t.Errorf("%d engines (-want +got):\n%s", len(candidates), diff)
		}
	}
	changed := slices.Clone(all)
	changed[3].MaxConcurrency, changed[3].Revision = 7, 99
	order, _ := s.partitionEngines(now, "llm", changed)
	if !slices.Contains(order, changed[3]) {
		t.Error("the order holds an outdated copy of a changed engine")
	}
}

func TestPlainServicesAreChosenByRegionAndLoad(t *testing.T) {
	l := newFakeLoads()
	s := newSeparator(t, l)
	all := newEngines(2)
	r := &quetzalroad.Request{Service: quetzalroad.Service{Name: "api"}}
	if u := s.Choose(time.Unix(1000, 0), r, all); u.Region != "east" {
		t.Errorf("%s was chosen", u.Name)
	}
	l.running[all[0].Name] = 50
	if u := s.Choose(time.Unix(1000, 0), r, all); u.Region != "west" {
		t.Errorf("%s was chosen", u.Name)
	}
}

func BenchmarkChooseAmongThousands(b *testing.B) {
	s := new(Separator)
	s.Declare(new(configloader.Section))
	s.loadTracker = newFakeLoads()
	all := newEngines(3000)
	r := newRequest(800, 1)
	b.ReportAllocs()
	for b.Loop() {
		s.Choose(time.Unix(1000, 0), r, all)
	}
}

// A single node sees too few requests to notice a burst of short prompts.
func TestPartitionFollowsTheMixOfOtherNodes(t *testing.T) {
	s := newSeparator(t, newFakeLoads())
	all := newEngines(20)
	now := time.Unix(1000, 0)
	before := shortCountAfterMix(s, all, now, 1, 2)
	now = now.Add(20 * time.Second)
	s.UpdatePeerMix(now, []quetzalroad.ServiceMix{{Service: "llm", ShortWork: 1e9, LongWork: 1e8, Requests: 10000}})
	if _, after := s.partitionEngines(now, "llm", all); after <= before+5 {
		t.Errorf("short pool had %d engines and has %d after other nodes saw short prompts", before, after)
	}
	if _, later := s.partitionEngines(now.Add(peerMixLifetime), "llm", all); later > before+2 {
		t.Errorf("short pool has %d engines after the mix of other nodes is out of date, had %d", later, before)
	}
}

// One engine can't prefill what follows a prefix that many long prompts have.
func TestFrequentPrefixUsesSeveralEngines(t *testing.T) {
	s := newSeparator(t, newFakeLoads())
	all := newEngines(20)
	now := time.Unix(1000, 0)
	used := make(map[quetzalroad.UpstreamName]bool)
	for i := range 200 {
		r := newRequest(9000, 7)
		if i%2 == 0 {
			r = newRequest(9000, uint64(1000+i))
		}
		u := s.Choose(now.Add(time.Duration(i)*50*time.Millisecond), r, all)
		if r.PrefixHash == 7 && i > 100 {
			used[u.Name] = true
		}
	}
	if len(used) < 4 {
		t.Errorf("half of the long prompts have one prefix and used %d engines", len(used))
	}
}

// Queues form on an engine that slows down, whose reports come too late.
func TestSlowEngineIsUsedLess(t *testing.T) {
	l := newFakeLoads()
	l.latency = make(map[quetzalroad.UpstreamName]time.Duration)
	s := newSeparator(t, l)
	all := newEngines(40)
	now := time.Unix(1000, 0)
	for _, u := range all {
		l.running[u.Name] = 20
		l.latency[u.Name] = 20 * time.Millisecond
	}
	for i := range 200 {
		s.Choose(now, newRequest(800, uint64(i+1)), all)
	}
	slow := s.Choose(now, newRequest(800, 1), all).Name
	l.latency[slow] = time.Second
	for i := range 100 {
		if u := s.Choose(now, newRequest(800, uint64(i+1)), all); u.Name == slow {
			t.Fatalf("%s was chosen, which is fifty times slower than the others", u.Name)
		}
	}
}
