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

// without returns all nodes but one.
func without(all []quetzalroad.NodeRegistration, self int) []quetzalroad.NodeRegistration {
	remaining := append([]quetzalroad.NodeRegistration(nil), all[:self]...)
	return append(remaining, all[self+1:]...)
}

// rolesOf returns the role of each node as the node itself computes it.
func rolesOf(all []quetzalroad.NodeRegistration, minNodes, fanOut int) []role {
	var assigned []role
	for i, self := range all {
		var m members
		m.set(without(all, i))
		assigned = append(assigned, m.roleOf(self, minNodes, fanOut))
	}
	return assigned
}

func TestNodesAgreeOnReaders(t *testing.T) {
	for _, count := range []int{4, 15, 16, 17, 50, 330} {
		all := nodes(count)
		readers := make(map[quetzalroad.NodeName]bool)
		assigned := rolesOf(all, 4, 16)
		for i, r := range assigned {
			if r.readsLog {
				readers[all[i].Name] = true
			}
		}
		if want := (count - 1 + 16) / 16; len(readers) != want {
			t.Errorf("%d readers of %d nodes, want %d", len(readers), count, want)
		}
		followers := make(map[quetzalroad.NodeName]int)
		for i, r := range assigned {
			if r.readsLog == r.hasReader() {
				t.Errorf("%s of %d: reads the log %v, reader %q", all[i].Name, count, r.readsLog, r.reader.Name)
			}
			if r.hasReader() && !readers[r.reader.Name] {
				t.Errorf("%s of %d has reader %s, which does not read the log", all[i].Name, count, r.reader.Name)
			}
			followers[r.reader.Name]++
		}
	}
}

func TestNoRolesBelowMinimumNodes(t *testing.T) {
	for i, r := range rolesOf(nodes(3), 4, 16) {
		if r != (role{}) {
			t.Errorf("node %d: %+v", i, r)
		}
	}
}

func TestNodeWithMostCapacityReads(t *testing.T) {
	all := nodes(10)
	all[7].ReadCapacity = 200
	for i, r := range rolesOf(all, 4, 16) {
		if r.readsLog != (i == 7) {
			t.Errorf("node %d: reads the log %v", i, r.readsLog)
		}
	}
}

func TestAvoidedReaderIsReplacedUntilAvoidanceEnds(t *testing.T) {
	all := nodes(10)
	var m members
	m.set(without(all, 0))
	self := all[0]
	self.ReadCapacity = -1
	first := m.roleOf(self, 4, 16).reader
	m.avoid(first.Name, time.Now().Add(time.Hour))
	if second := m.roleOf(self, 4, 16).reader; second.Name == first.Name || second.Name == "" {
		t.Errorf("reader %q while %s is avoided, want another", second.Name, first.Name)
	}
	for _, n := range all {
		m.avoid(n.Name, time.Now().Add(time.Hour))
	}
	if r := m.roleOf(self, 4, 16); !r.readsLog {
		t.Errorf("role %+v with all others avoided", r)
	}
	m.avoid(first.Name, time.Now().Add(-time.Second))
	if restored := m.roleOf(self, 4, 16).reader; restored.Name != first.Name {
		t.Errorf("reader %q after the avoidance of %s ended", restored.Name, first.Name)
	}
}
