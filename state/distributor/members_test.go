package distributor

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

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
				t.Errorf("%s of %d: reads the log %v, reader %q", all[i].Name, count, r.readsLog, r.readerName())
			}
			if r.hasReader() && !readers[r.readerName()] {
				t.Errorf("%s of %d has reader %s, which does not read the log", all[i].Name, count, r.readerName())
			}
			followers[r.readerName()]++
		}
	}
}

func TestNoRolesBelowMinimumNodes(t *testing.T) {
	for i, r := range rolesOf(nodes(3), 4, 16) {
		if r.readsLog || r.hasReader() {
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
	first := m.roleOf(self, 4, 16).readerName()
	m.avoid(first, time.Now().Add(time.Hour))
	if second := m.roleOf(self, 4, 16).readerName(); second == first || second == "" {
		t.Errorf("reader %q while %s is avoided, want another", second, first)
	}
	for _, n := range all {
		m.avoid(n.Name, time.Now().Add(time.Hour))
	}
	if r := m.roleOf(self, 4, 16); !r.readsLog {
		t.Errorf("role %+v with all others avoided", r)
	}
	m.avoid(first, time.Now().Add(-time.Second))
	if restored := m.roleOf(self, 4, 16).readerName(); restored != first {
		t.Errorf("reader %q after the avoidance of %s ended", restored, first)
	}
}

// If a reader can't be used, only the nodes that it serves find out. Those that they turn to must
// know that they are readers.
func TestNodesTurnToNodesThatRead(t *testing.T) {
	const fanOut = 8
	all := nodes(30)
	reader := rolesOf(all, 4, fanOut)
	var unusable quetzalroad.NodeName
	for _, r := range reader {
		if r.hasReader() {
			unusable = r.readerName()
			break
		}
	}
	for i, self := range all {
		var m members
		m.set(without(all, i))
		if m.roleOf(self, 4, fanOut).readerName() != unusable {
			continue
		}
		m.avoid(unusable, time.Now().Add(time.Hour))
		next := m.roleOf(self, 4, fanOut).readerName()
		for j, n := range all {
			if n.Name == next && !reader[j].readsLog {
				t.Errorf("%s turns to %s, which does not read the log", self.Name, next)
			}
		}
	}
}

// A node that another one turns to must read the log, though it may still be able to use the readers
// that the other one can't.
func TestPromotedNodeReadsTheLogForAWhile(t *testing.T) {
	all := nodes(10)
	var m members
	m.set(without(all, 0))
	self := all[0]
	self.ReadCapacity = -1
	if m.roleOf(self, 4, 16).readsLog {
		t.Fatal("the node with the least capacity reads the log")
	}
	m.promote(time.Now().Add(time.Hour))
	if !m.roleOf(self, 4, 16).readsLog {
		t.Error("a promoted node does not read the log")
	}
	m.promote(time.Now().Add(-time.Second))
	if m.roleOf(self, 4, 16).readsLog {
		t.Error("a node reads the log after its promotion has ended")
	}
}

// Nodes that rank the fleet in different orders would all keep away from a free lease, or all claim it at once.
func TestNodesOfAllDataCentresAgreeOnTheRanks(t *testing.T) {
	all := nodes(30)
	for i := range all {
		all[i].DataCentre = quetzalroad.DataCentre(fmt.Sprint(i % 3))
	}
	all[7].ReadCapacity, all[9].ReadCapacity = 200, 100
	var want []quetzalroad.NodeName
	for i, self := range all {
		var m members
		m.setNodes(append([]quetzalroad.NodeRegistration{self}, without(all, i)...))
		if want == nil {
			want = m.rankedNodes
		}
		if diff := cmp.Diff(want, m.rankedNodes); diff != "" {
			t.Fatalf("ranks of %s (-want +got):\n%s", self.Name, diff)
		}
		if !slices.Contains(m.nodes, self.Name) {
			t.Errorf("%s does not list itself", self.Name)
		}
	}
	if len(want) != len(all) || want[0] != all[7].Name || want[1] != all[9].Name {
		t.Errorf("%d nodes, the first are %v", len(want), want[:2])
	}
}

// A node that was killed stays listed until its registration expires. Asking it again every few seconds would delay
// the reads of all nodes behind it.
func TestReaderThatKeepsFailingIsAvoidedLonger(t *testing.T) {
	const initial, longest = 10 * time.Second, 3 * time.Minute
	var m members
	now := time.Now()
	for _, want := range []time.Duration{10 * time.Second, 20 * time.Second, 40 * time.Second, 80 * time.Second, 160 * time.Second, longest, longest} {
		m.recordFailure("dead", now, initial, longest)
		// Reads that were under way together fail together.
		m.recordFailure("dead", now, initial, longest)
		if got := m.avoidUntil["dead"].Sub(now); got != want {
			t.Fatalf("avoided for %s, want %s", got, want)
		}
		now = m.avoidUntil["dead"]
	}
	m.recordResponse("dead")
	m.recordFailure("dead", now, initial, longest)
	if got := m.avoidUntil["dead"].Sub(now); got != initial {
		t.Errorf("avoided for %s after a response, want %s", got, initial)
	}
}

// Guards against lists that lose nodes, or keep those that are gone, if only what changed is read.
func TestListUpdate(t *testing.T) {
	var m members
	update := func(from *quetzalroad.Position, complete bool, undecodable []quetzalroad.NodeName, deleted string, written ...quetzalroad.NodeName) (string, bool) {
		u := listUpdate{from: from, complete: complete, undecodable: undecodable, records: []quetzalroad.KeyedRecord{{Key: deleted}}}
		for _, n := range append(written, undecodable...) {
			u.records = append(u.records, quetzalroad.KeyedRecord{Key: string(n)})
		}
		for _, n := range written {
			u.registrations = append(u.registrations, quetzalroad.NodeRegistration{Name: n})
		}
		all, applied := m.update(u)
		var names []string
		for _, r := range all {
			names = append(names, string(r.Name))
		}
		slices.Sort(names)
		return strings.Join(names, " "), applied
	}
	for _, step := range []struct {
		what        string
		complete    bool
		undecodable []quetzalroad.NodeName
		deleted     string
		written     []quetzalroad.NodeName
		want        string
	}{
		{"all", true, nil, "", []quetzalroad.NodeName{"a", "b", "c"}, "a b c"},
		{"one rewritten, one new", false, nil, "", []quetzalroad.NodeName{"b", "d"}, "a b c d"},
		{"one deleted", false, nil, "a", nil, "b c d"},
		{"one undecodable", false, []quetzalroad.NodeName{"b", "x"}, "", nil, "b c d"},
		{"all, one undecodable", true, []quetzalroad.NodeName{"c"}, "", []quetzalroad.NodeName{"d"}, "c d"},
	} {
		got, applied := update(m.listPosition(), step.complete, step.undecodable, step.deleted, step.written...)
		if !applied || got != step.want {
			t.Errorf("%s: %q, applied %v, want %q", step.what, got, applied, step.want)
		}
	}
	if _, applied := update(nil, true, nil, "", "a"); applied {
		t.Error("a read was applied that began before another one was")
	}
}

// Guards against a list that was read while other nodes were still registering and is kept for a whole interval.
func TestRefreshSchedule(t *testing.T) {
	s := refreshSchedule{delay: 400 * time.Millisecond, retryDelay: 800 * time.Millisecond, lastResult: listUnchanged}
	for i, step := range []struct {
		result listResult
		early  bool
		want   time.Duration
	}{
		{listGrew, false, 800 * time.Millisecond},
		{listUnchanged, true, 800 * time.Millisecond},
		{listGrew, false, 1600 * time.Millisecond},
		{listFailed, false, 800 * time.Millisecond},
		{listFailed, false, 1600 * time.Millisecond},
		{listGrew, false, 3200 * time.Millisecond},
		{listGrew, false, 5 * time.Second},
		{listUnchanged, false, 20 * time.Second},
		{listFailed, false, 800 * time.Millisecond},
	} {
		elapsed := s.delay
		if step.early {
			elapsed /= 4
		}
		s.advance(elapsed, 20*time.Second, step.result)
		if s.delay != step.want {
			t.Fatalf("step %d: delay %s, want %s", i, s.delay, step.want)
		}
	}
}
