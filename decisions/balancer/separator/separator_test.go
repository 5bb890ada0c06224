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

// loads is a belief that a test sets.
type loads struct {
	quetzalroad.LoadTracker
	running map[quetzalroad.UpstreamName]int
	suspect map[quetzalroad.UpstreamName]bool
}

func (l *loads) Estimate(u quetzalroad.UpstreamName, _ time.Time) quetzalroad.LoadEstimate {
	return quetzalroad.LoadEstimate{Running: l.running[u], LocalRunning: l.running[u], Suspect: l.suspect[u]}
}

var places = []quetzalroad.DataCentre{"east", "west"}

func engines(count int) []quetzalroad.Upstream {
	var all []quetzalroad.Upstream
	for i := range count {
		place := places[i%len(places)]
		all = append(all, quetzalroad.Upstream{
			Name: quetzalroad.UpstreamName(fmt.Sprintf("engine-%02d", i)), Service: "llm", DataCentre: place, Region: quetzalroad.Region(place), MaxConcurrency: 64,
		})
	}
	return all
}

func newSeparator(t *testing.T, l *loads) *Separator {
	t.Helper()
	s := new(Separator)
	s.Declare(new(configloader.Section))
	n := &kernel.Node{Identity: kernel.Identity{Name: "node", DataCentre: "east", Region: "east"}, LoadTracker: l}
	if err := s.Build(n); err != nil {
		t.Fatal(err)
	}
	return s
}

func newLoads() *loads {
	return &loads{running: make(map[quetzalroad.UpstreamName]int), suspect: make(map[quetzalroad.UpstreamName]bool)}
}

func prompt(tokens int, prefix uint64) *quetzalroad.Request {
	return &quetzalroad.Request{Model: "m", Service: quetzalroad.Service{Name: "llm"}, PromptTokens: tokens, SharedPromptTokens: tokens / 2, PrefixHash: prefix}
}

func TestLongAndShortPromptsNeverMeetOnAnEngineWithRoom(t *testing.T) {
	s := newSeparator(t, newLoads())
	all := engines(10)
	now := time.Unix(1000, 0)
	long := make(map[quetzalroad.UpstreamName]bool)
	for i := range 200 {
		long[s.Choose(now, prompt(9000, uint64(i+1)), all).Name] = true
	}
	for i := range 200 {
		if u := s.Choose(now, prompt(800, uint64(i+1)), all); long[u.Name] {
			t.Fatalf("%s reads long prompts and serves short ones", u.Name)
		}
	}
	if len(long) < 3 {
		t.Errorf("200 long prompts went to %d engines only", len(long))
	}
}

func TestAllNodesFindTheSameHomeAndItMovesOnlyWithItsEngine(t *testing.T) {
	one, other := newSeparator(t, newLoads()), newSeparator(t, newLoads())
	other.region, other.place = "west", "west"
	one.farCost, other.farCost = 0, 0
	all := engines(10)
	now := time.Unix(1000, 0)
	// The division rests once it follows the demand.
	for p := uint64(1); p <= 100; p++ {
		one.Choose(now, prompt(9000, p), all)
		other.Choose(now, prompt(9000, p), all)
	}
	homes := make(map[uint64]quetzalroad.UpstreamName)
	for p := uint64(1); p <= 100; p++ {
		homes[p] = one.Choose(now, prompt(9000, p), all).Name
		if u := other.Choose(now, prompt(9000, p), all); u.Name != homes[p] {
			t.Errorf("prefix %d has its home at %s and %s", p, homes[p], u.Name)
		}
	}
	order, writers := one.divide(now, "llm", all)
	gone := order[len(order)-1].Name
	left := order[:len(order)-1]
	for p, was := range homes {
		if is := home(prompt(9000, p), left[writers:]); was != gone && is != was {
			t.Errorf("the home of prefix %d moved from %s to %s when %s went", p, was, is, gone)
		}
	}
}

func TestABusyHomeIsLeftForAReaderWithRoom(t *testing.T) {
	l := newLoads()
	s := newSeparator(t, l)
	all := engines(10)
	now := time.Unix(1000, 0)
	r := prompt(9000, 7)
	was := s.Choose(now, r, all).Name
	l.running[was] = 60
	if is := s.Choose(now, r, all).Name; is == was {
		t.Errorf("the prompt went to %s behind 60 others", is)
	}
}

func TestShortPromptsStayNearUntilItIsFuller(t *testing.T) {
	l := newLoads()
	s := newSeparator(t, l)
	all := engines(10)
	now := time.Unix(1000, 0)
	if u := s.Choose(now, prompt(800, 1), all); u.Region != "east" {
		t.Errorf("an idle service was reached in %s", u.Region)
	}
	for _, u := range all {
		if u.Region == "east" {
			l.running[u.Name] = 30
		}
	}
	if u := s.Choose(now, prompt(800, 1), all); u.Region != "west" {
		t.Error("full engines were preferred to idle ones of another region")
	}
}

func TestNodesThatSeeTheSameDoNotAllChooseTheSame(t *testing.T) {
	l := newLoads()
	// Of fewer, one alone is near and left to short prompts at the beginning.
	all := engines(40)
	chosen := make(map[quetzalroad.UpstreamName]int)
	const nodes = 200
	for range nodes {
		s := newSeparator(t, l)
		chosen[s.Choose(time.Unix(1000, 0), prompt(800, 1), all).Name]++
	}
	for name, n := range chosen {
		if n > nodes*3/4 {
			t.Errorf("%d of %d nodes chose %s", n, nodes, name)
		}
	}
}

func TestASuspectIsTheLastResort(t *testing.T) {
	l := newLoads()
	s := newSeparator(t, l)
	all := engines(4)
	for _, u := range all[1:] {
		l.suspect[u.Name] = true
	}
	for i := range 20 {
		if u := s.Choose(time.Unix(1000, 0), prompt(800, uint64(i)), all); u.Name != all[0].Name {
			t.Fatalf("%s was chosen beside one that is sound", u.Name)
		}
	}
}

// mixed lets requests of which every so many is long come over a time, and gives
// the number of engines left to short prompts at its end.
func mixed(s *Separator, all []quetzalroad.Upstream, from time.Time, longs, of int) int {
	for i := range 200 {
		r := prompt(800, uint64(i+1))
		r.MaxTokens = 300
		if i%of < longs {
			r = prompt(8000, uint64(i+1))
		}
		s.Choose(from.Add(time.Duration(i)*100*time.Millisecond), r, all)
	}
	_, writers := s.divide(from.Add(20*time.Second), "llm", all)
	return writers
}

func TestTheDivisionFollowsTheMixOfWhatComes(t *testing.T) {
	all := engines(20)
	now := time.Unix(1000, 0)
	few := mixed(newSeparator(t, newLoads()), all, now, 1, 20)
	many := mixed(newSeparator(t, newLoads()), all, now, 1, 2)
	if few < 14 || many > 4 {
		t.Errorf("%d of 20 engines for short prompts where one in 20 is long, %d where every other is", few, many)
	}
	s := newSeparator(t, newLoads())
	before := mixed(s, all, now, 1, 20)
	if after := mixed(s, all, now.Add(20*time.Second), 1, 2); after >= before {
		t.Errorf("%d engines for short prompts stay %d after a swing to long ones", before, after)
	}
}

func TestNodesThatSeeDemandALittleDifferentlyDivideAlike(t *testing.T) {
	all := engines(20)
	now := time.Unix(1000, 0)
	one := mixed(newSeparator(t, newLoads()), all, now, 20, 100)
	for _, longs := range []int{18, 19, 21, 22} {
		if other := mixed(newSeparator(t, newLoads()), all, now, longs, 100); max(other-one, one-other) > 2 {
			t.Errorf("%d engines for short prompts with 20 in 100 long, %d with %d", one, other, longs)
		}
	}
}

func TestTheDivisionRestsWhileLittleComesAndAlwaysLeavesBothKinds(t *testing.T) {
	s := newSeparator(t, newLoads())
	now := time.Unix(1000, 0)
	_, first := s.divide(now, "llm", engines(10))
	for i := range leastSeen - 2 {
		s.Choose(now, prompt(9000, uint64(i+1)), engines(10))
	}
	if _, writers := s.divide(now, "llm", engines(10)); writers != first {
		t.Errorf("%d engines for short prompts became %d after %d requests", first, writers, leastSeen-2)
	}
	for i := range 100 {
		s.Choose(now, prompt(9000, uint64(i+1)), engines(10))
	}
	for n := 2; n <= 10; n++ {
		if _, writers := s.divide(now, "llm", engines(n)); writers < 1 || writers >= n {
			t.Errorf("%d of %d engines for short prompts", writers, n)
		}
	}
	if _, writers := s.divide(now.Add(10*time.Minute), "llm", engines(10)); writers < 1 || writers > 9 {
		t.Errorf("%d of 10 engines for short prompts after a long rest", writers)
	}
}

func TestAnOrderThatIsKeptFollowsWhatComesAndGoesAndChanges(t *testing.T) {
	s := newSeparator(t, newLoads())
	now := time.Unix(1000, 0)
	all := engines(12)
	for _, candidates := range [][]quetzalroad.Upstream{all, all[1:], all[:11], all} {
		order, _ := s.divide(now, "llm", candidates)
		if diff := cmp.Diff(ranked(candidates), order, cmp.Comparer(func(a, b quetzalroad.Upstream) bool { return a == b })); diff != "" {
			t.Errorf("%d engines (-want +got):\n%s", len(candidates), diff)
		}
	}
	changed := slices.Clone(all)
	changed[3].MaxConcurrency, changed[3].Revision = 7, 99
	order, _ := s.divide(now, "llm", changed)
	if !slices.Contains(order, changed[3]) {
		t.Error("an engine that changed stands in the order as it was")
	}
}

func TestPlainServicesAreChosenByWayAndLoad(t *testing.T) {
	l := newLoads()
	s := newSeparator(t, l)
	all := engines(2)
	r := &quetzalroad.Request{Service: quetzalroad.Service{Name: "api"}}
	if u := s.Choose(time.Unix(1000, 0), r, all); u.Region != "east" {
		t.Errorf("%s was chosen", u.Name)
	}
	l.running[all[0].Name] = 50
	if u := s.Choose(time.Unix(1000, 0), r, all); u.Region != "west" {
		t.Errorf("%s was chosen", u.Name)
	}
}

func BenchmarkChoiceAmongThousands(b *testing.B) {
	s := new(Separator)
	s.Declare(new(configloader.Section))
	s.load = newLoads()
	all := engines(3000)
	r := prompt(800, 1)
	b.ReportAllocs()
	for b.Loop() {
		s.Choose(time.Unix(1000, 0), r, all)
	}
}
