package follower

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/recordmapper"
)

// stateRecords returns the records of a state with that many teams and upstreams.
func stateRecords(tb testing.TB, teams, upstreams int) []quetzalroad.Record {
	tb.Helper()
	var all []quetzalroad.Record
	add := func(kind quetzalroad.ObjectKind, name string, o quetzalroad.Object) {
		data, err := recordmapper.EncodeChange(quetzalroad.Change{
			ID: quetzalroad.ChangeID(fmt.Sprintf("change-%d", len(all))), Author: "test", Kind: kind, Name: name, Object: o,
		})
		if err != nil {
			tb.Fatal(err)
		}
		all = append(all, quetzalroad.Record{Offset: quetzalroad.Offset(len(all)), Data: data})
	}
	add(quetzalroad.ObjectProfile, "chat", quetzalroad.Object{Profile: &quetzalroad.Profile{
		Name: "chat", Class: "chat", FirstTokenTarget: time.Second, Timeout: time.Minute,
	}})
	add(quetzalroad.ObjectService, "llm", quetzalroad.Object{Service: &quetzalroad.Service{
		Name: "llm", Kind: quetzalroad.ServiceKindEngine, Models: []quetzalroad.ModelName{"llm"},
	}})
	service := func(i int) quetzalroad.ServiceName {
		return quetzalroad.ServiceName(fmt.Sprintf("llm-%02d", i%targetServices))
	}
	for i := range upstreams {
		name := fmt.Sprintf("engine-%04d", i)
		add(quetzalroad.ObjectUpstream, name, quetzalroad.Object{Upstream: &quetzalroad.Upstream{
			Name: quetzalroad.UpstreamName(name), Service: service(i), Address: netip.MustParseAddrPort("10.0.0.1:80"),
			DataCentre: "here", Region: "here", MaxConcurrency: 8,
		}})
	}
	for i := range teams {
		name := fmt.Sprintf("team-%04d", i)
		add(quetzalroad.ObjectTeam, name, quetzalroad.Object{Team: &quetzalroad.Team{
			Name: quetzalroad.TeamName(name), DefaultProfile: "chat", KeyHashes: []quetzalroad.KeyHash{quetzalroad.HashKey(name)},
		}})
	}
	return all
}

func newStateMachine() *stateMachine {
	return &stateMachine{}
}

func applyAll(tb testing.TB, m *stateMachine, all []quetzalroad.Record) {
	tb.Helper()
	for _, r := range all {
		if _, _, err := m.apply(r); err != nil {
			tb.Fatal(err)
		}
	}
}

func TestSnapshotRestoresWholeState(t *testing.T) {
	m := newStateMachine()
	applyAll(t, m, stateRecords(t, 20, 10))
	data, err := m.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := newStateMachine()
	if err := restored.restore(data); err != nil {
		t.Fatal(err)
	}
	restoredData, err := restored.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(data), string(restoredData)); diff != "" {
		t.Errorf("(-before +after):\n%s", diff)
	}
	if team, ok := restored.store.TeamByKey(quetzalroad.HashKey("team-0007")); !ok || team.Name != "team-0007" {
		t.Errorf("the key of team-0007 resolves to %q", team.Name)
	}
	if name, ok := restored.store.UpstreamByRevision(quetzalroad.RevisionAt(4)); !ok || name != "engine-0002" {
		t.Errorf("revision 5 resolves to %q", name)
	}
}

func TestRestoreRejectsOlderSnapshot(t *testing.T) {
	m := newStateMachine()
	all := stateRecords(t, 5, 5)
	applyAll(t, m, all[:6])
	older, err := m.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	applyAll(t, m, all[6:])
	applied := m.store.AppliedOffset()
	if err := m.restore(older); err == nil {
		t.Error("an older snapshot was restored")
	}
	if got := m.store.AppliedOffset(); got != applied {
		t.Errorf("the applied offset changed from %d to %d", applied, got)
	}
}

func TestRepeatedChangeReturnsFirstResult(t *testing.T) {
	m := newStateMachine()
	all := stateRecords(t, 1, 1)
	applyAll(t, m, all)
	first := m.resultByID["change-2"]
	repeated := quetzalroad.Record{Offset: quetzalroad.Offset(len(all)), Data: all[2].Data}
	_, result, err := m.apply(repeated)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(first, result); diff != "" {
		t.Errorf("(-first +again):\n%s", diff)
	}
	if got := m.store.RevisionOf(quetzalroad.ObjectUpstream, "engine-0000"); got != first.Revision {
		t.Errorf("revision %d, want %d", got, first.Revision)
	}
}

func TestReplacedKeysAndModelsAreNotFound(t *testing.T) {
	m := newStateMachine()
	applyAll(t, m, stateRecords(t, 1, 1))
	team, _ := m.store.Team("team-0000")
	team.KeyHashes = []quetzalroad.KeyHash{quetzalroad.HashKey("new")}
	m.store.Put(quetzalroad.ObjectTeam, "team-0000", quetzalroad.Object{Team: &team})
	if _, ok := m.store.TeamByKey(quetzalroad.HashKey("team-0000")); ok {
		t.Error("the old key still resolves to the team")
	}
	if _, ok := m.store.TeamByKey(quetzalroad.HashKey("new")); !ok {
		t.Error("the new key does not resolve")
	}
	m.store.Put(quetzalroad.ObjectService, "llm", quetzalroad.Object{})
	if _, ok := m.store.ServiceForModel("llm"); ok {
		t.Error("the model of a deleted service still resolves to it")
	}
}

// The size of the target deployment.
const (
	targetTeams     = 2600
	targetUpstreams = 1500
	targetServices  = 37
)

func BenchmarkApply(b *testing.B) {
	all := stateRecords(b, targetTeams, targetUpstreams)
	b.ReportAllocs()
	for b.Loop() {
		applyAll(b, newStateMachine(), all)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(len(all)), "µs/record")
}

func BenchmarkRestore(b *testing.B) {
	m := newStateMachine()
	applyAll(b, m, stateRecords(b, targetTeams, targetUpstreams))
	data, err := m.snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := newStateMachine().restore(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data))/1e6, "MB-snapshot")
}

// The node would go on with an empty state: without teams, upstreams and services.
func TestSnapshotWithoutObjectsIsNotThatOfAnEmptyState(t *testing.T) {
	for _, data := range []string{"", "null", "{}", `{"covers":900}`, `{"covers":900,"objects":null}`, `{"covers":900,"objects":[{"kind":"team","object":null}]}`, `{"covers":900,"objects":[{"kind":"team"}]}`} {
		m := newStateMachine()
		applyAll(t, m, stateRecords(t, 2, 2))
		before := len(m.objects())
		if err := m.restore([]byte(data)); err == nil || len(m.objects()) != before {
			t.Errorf("%s: error %v, %d objects, want %d", data, err, len(m.objects()), before)
		}
	}
	m := newStateMachine()
	m.store.SetAppliedOffset(5)
	data, err := m.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := newStateMachine().restore(data); err != nil {
		t.Errorf("the snapshot of an empty state: %v", err)
	}
}
