package distributor

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

func nodes(count int) []quetzalroad.NodeRegistration {
	var all []quetzalroad.NodeRegistration
	for i := range count {
		all = append(all, quetzalroad.NodeRegistration{Name: quetzalroad.NodeName(fmt.Sprintf("node-%d", i)), DataCentre: "here"})
	}
	return all
}

// others gives all but one.
func others(all []quetzalroad.NodeRegistration, self int) []quetzalroad.NodeRegistration {
	left := append([]quetzalroad.NodeRegistration(nil), all[:self]...)
	return append(left, all[self+1:]...)
}

// roles gives the role of each node of a data centre.
func roles(all []quetzalroad.NodeRegistration, least, fanOut int) []role {
	var out []role
	for i, self := range all {
		var m members
		m.set(others(all, i))
		out = append(out, m.role(self, least, fanOut))
	}
	return out
}

func TestAllNodesAgreeOnWhoReads(t *testing.T) {
	for _, count := range []int{4, 15, 16, 17, 50, 330} {
		all := nodes(count)
		reading := make(map[quetzalroad.NodeName]bool)
		given := roles(all, 4, 16)
		for i, r := range given {
			if r.reads {
				reading[all[i].Name] = true
			}
		}
		if want := (count - 1 + 16) / 16; len(reading) != want {
			t.Errorf("%d of %d nodes read, want %d", len(reading), count, want)
		}
		asked := make(map[quetzalroad.NodeName]int)
		for i, r := range given {
			if r.reads == r.follows() {
				t.Errorf("%s of %d reads %v and follows %q", all[i].Name, count, r.reads, r.reader.Name)
			}
			if r.follows() && !reading[r.reader.Name] {
				t.Errorf("%s of %d follows %s, which does not read", all[i].Name, count, r.reader.Name)
			}
			asked[r.reader.Name]++
		}
	}
}

func TestFewNodesEachReadForThemselves(t *testing.T) {
	for i, r := range roles(nodes(3), 4, 16) {
		if r != (role{}) {
			t.Errorf("node %d: %+v", i, r)
		}
	}
}

func TestThoseWithMostCapacityRead(t *testing.T) {
	all := nodes(10)
	all[7].ReadCapacity = 200
	for i, r := range roles(all, 4, 16) {
		if r.reads != (i == 7) {
			t.Errorf("node %d reads: %v", i, r.reads)
		}
	}
}

func TestAnAvoidedReaderIsReplacedForAWhile(t *testing.T) {
	all := nodes(10)
	var m members
	m.set(others(all, 0))
	self := all[0]
	self.ReadCapacity = -1
	first := m.role(self, 4, 16).reader
	m.avoid(first.Name, time.Now().Add(time.Hour))
	if second := m.role(self, 4, 16).reader; second.Name == first.Name || second.Name == "" {
		t.Errorf("%q follows %s, which is avoided", second.Name, first.Name)
	}
	for _, n := range all {
		m.avoid(n.Name, time.Now().Add(time.Hour))
	}
	if r := m.role(self, 4, 16); !r.reads {
		t.Errorf("%+v with all others avoided", r)
	}
	m.avoid(first.Name, time.Now().Add(-time.Second))
	if again := m.role(self, 4, 16).reader; again.Name != first.Name {
		t.Errorf("%q is followed after the time of %s", again.Name, first.Name)
	}
}
