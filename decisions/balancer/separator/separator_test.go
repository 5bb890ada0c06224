package separator

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configurer"
)

// loads is a belief that a test sets.
type loads struct {
	quetzalroad.LoadTracker
	running map[quetzalroad.UpstreamName]int
	suspect map[quetzalroad.UpstreamName]bool
}

func (l *loads) Estimate(u quetzalroad.UpstreamName, _ time.Time) quetzalroad.LoadEstimate {
	return quetzalroad.LoadEstimate{Running: l.running[u], Own: l.running[u], Suspect: l.suspect[u]}
}

var places = []quetzalroad.DataCentre{"east", "west"}

func engines(count int) []quetzalroad.Upstream {
	var all []quetzalroad.Upstream
	for i := range count {
		place := places[i%len(places)]
		all = append(all, quetzalroad.Upstream{
			Name: quetzalroad.UpstreamName(fmt.Sprintf("engine-%02d", i)), Service: "llm", DataCentre: place, Region: quetzalroad.Region(place), Slots: 64,
		})
	}
	return all
}

func newSeparator(t *testing.T, l *loads) *Separator {
	t.Helper()
	s := new(Separator)
	s.Declare(new(configurer.Section))
	n := &kernel.Node{Identity: kernel.Identity{Name: "node", DataCentre: "east", Region: "east"}, Load: l}
	if err := s.Build(n); err != nil {
		t.Fatal(err)
	}
	return s
}

func newLoads() *loads {
	return &loads{running: make(map[quetzalroad.UpstreamName]int), suspect: make(map[quetzalroad.UpstreamName]bool)}
}

func prompt(tokens int, prefix uint64) *quetzalroad.Request {
	return &quetzalroad.Request{Model: "m", Service: quetzalroad.Service{Name: "llm"}, PromptTokens: tokens, SharedTokens: tokens / 2, PrefixHash: prefix}
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
	all := engines(10)
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

func TestTheDivisionFollowsDemandUnderPressureAndRestsOtherwise(t *testing.T) {
	l := newLoads()
	s := newSeparator(t, l)
	all := engines(10)
	now := time.Unix(1000, 0)
	order, writers := s.divide(now, "llm", all)
	for i := range 20 {
		if _, w := s.divide(now.Add(time.Duration(i)*time.Second), "llm", all); w != writers {
			t.Fatalf("%d writers became %d without pressure", writers, w)
		}
	}
	now = now.Add(time.Minute)
	for _, u := range order[:writers] {
		l.running[u.Name] = 64
	}
	_, more := s.divide(now, "llm", all)
	if more != writers+1 {
		t.Errorf("%d writers, want one more than %d under their pressure", more, writers)
	}
	if _, again := s.divide(now.Add(time.Millisecond), "llm", all); again != more {
		t.Error("the division moved twice at once")
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
