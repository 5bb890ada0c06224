package streamtracker

import (
	"expvar"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	"github.com/quetzalroad/quetzalroad/state/storer"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// fleet is the list of nodes.
type fleet []quetzalroad.NodeName

func (f fleet) Nodes() []quetzalroad.NodeName       { return f }
func (f fleet) RankedNodes() []quetzalroad.NodeName { return f }
func (fleet) PeerAddresses() []netip.AddrPort       { return nil }

// newFleet returns a fleet of a number of nodes.
func newFleet(size int) fleet {
	var f fleet
	for i := range size {
		f = append(f, quetzalroad.NodeName(fmt.Sprintf("node-%d", i)))
	}
	return f
}

// testNode is a started node with nothing but a tracker.
type testNode struct {
	*Tracker
	store storer.Store
}

// epochs states the epoch of a log that was restored at a time.
type epochs struct {
	quetzalroad.EpochTracker
	restoredAt time.Time
}

func (e epochs) Epoch() quetzalroad.Epoch {
	if time.Now().Before(e.restoredAt) {
		return 1
	}
	return 2
}

// startNode starts a node before upstreams of the service "llm" with versions.
func startNode(t *testing.T, log *faker.KeyedLog, name quetzalroad.NodeName, nodes fleet, versions ...quetzalroad.SoftwareVersion) *testNode {
	t.Helper()
	return startNodeWithEpochs(t, log, name, nodes, nil, versions...)
}

func startNodeWithEpochs(t *testing.T, log *faker.KeyedLog, name quetzalroad.NodeName, nodes fleet, e quetzalroad.EpochTracker, versions ...quetzalroad.SoftwareVersion) *testNode {
	t.Helper()
	x := &testNode{Tracker: new(Tracker)}
	n := &kernel.Node{Identity: kernel.Identity{Name: name}, Logger: slog.New(slog.DiscardHandler), Vars: new(expvar.Map), Directory: &x.store, Fleet: nodes, LogEpochs: e}
	x.Declare(new(configloader.Section))
	n.KeyedLog, n.KeyedWriter, n.ConditionalWriter, n.StateCodec = log, log, log, log
	if err := x.Build(n); err != nil {
		t.Fatal(err)
	}
	x.setVersions(versions...)
	n.Start()
	t.Cleanup(func() {
		n.Kill()
		if err := n.Wait(); err != nil {
			t.Error(err)
		}
	})
	return x
}

// setVersions replaces the upstreams by one of each version.
func (x *testNode) setVersions(versions ...quetzalroad.SoftwareVersion) {
	x.store.Put(quetzalroad.ObjectService, "llm", quetzalroad.Object{Service: &quetzalroad.Service{Name: "llm"}})
	for _, u := range x.store.Upstreams() {
		x.store.Put(quetzalroad.ObjectUpstream, string(u.Name), quetzalroad.Object{})
	}
	for i, v := range versions {
		name := quetzalroad.UpstreamName(v)
		x.store.Put(quetzalroad.ObjectUpstream, string(name), quetzalroad.Object{Upstream: &quetzalroad.Upstream{Name: name, Service: "llm", Version: v, Revision: quetzalroad.Revision(i + 1)}})
	}
}

func originAt(v quetzalroad.SoftwareVersion) quetzalroad.StreamOrigin {
	return quetzalroad.StreamOrigin{Service: "llm", Version: v}
}

// checkOrigin checks where a node believes that a stream began; empty if it must not know.
func (x *testNode) checkOrigin(t *testing.T, id quetzalroad.RequestID, want quetzalroad.SoftwareVersion) {
	t.Helper()
	got, err := x.Origin(t.Context(), id, "llm")
	switch {
	case want == "" && !errors.Is(err, quetzalroad.ErrOriginUnknown):
		t.Errorf("origin of %s: %+v, error %v, want ErrOriginUnknown", id, got, err)
	case want != "" && (err != nil || got != originAt(want)):
		t.Errorf("origin of %s: %+v, error %v, want version %s", id, got, err, want)
	}
}

func TestStreamIsKnownAtAnotherNodeWhileVersionsAreMixed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a", "b"}, "v1", "v2")
		time.Sleep(time.Second)
		a.RecordBegun(time.Now(), "first", originAt("v1"))
		a.RecordBegun(time.Now(), "second", originAt("v2"))
		b := startNode(t, log, "b", fleet{"a", "b"}, "v1", "v2")
		b.checkOrigin(t, "first", "v1")
		b.checkOrigin(t, "second", "v2")
		b.checkOrigin(t, "third", "")
		b.checkOrigin(t, "", "")
	})
}

// Guards against a restarted process that replaces the record of the one before it.
func TestStreamsOfTheProcessBeforeStayKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		before := startNode(t, log, "a", fleet{"a"}, "v1", "v2")
		time.Sleep(time.Second)
		before.RecordBegun(time.Now(), "first", originAt("v1"))
		time.Sleep(time.Second)
		after := startNode(t, log, "a", fleet{"a"}, "v1", "v2")
		after.RecordBegun(time.Now(), "second", originAt("v2"))
		time.Sleep(time.Second)
		other := startNode(t, log, "b", fleet{"a", "b"}, "v1", "v2")
		other.checkOrigin(t, "first", "v1")
		other.checkOrigin(t, "second", "v2")
	})
}

// Guards against streams that began before a version came, and are unknown everywhere else once it has.
func TestOpenStreamsAreRecordedWhenASecondVersionComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a", "b"}, "v1")
		time.Sleep(time.Second)
		a.RecordBegun(time.Now(), "first", originAt("v1"))
		time.Sleep(time.Second)
		a.setVersions("v1", "v2")
		time.Sleep(time.Second)
		b := startNode(t, log, "b", fleet{"a", "b"}, "v2")
		b.checkOrigin(t, "first", "v1")
	})
}

// Guards against calls to the log for streams that any upstream may go on with.
func TestNothingIsWrittenForStreamsOfTheOnlyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a"}, "v1")
		time.Sleep(time.Second)
		calls := log.CompletedCalls()
		for i := range 1000 {
			id := quetzalroad.RequestID(fmt.Sprint(i))
			a.RecordBegun(time.Now(), id, originAt("v1"))
			time.Sleep(10 * time.Millisecond)
			a.RecordEnd(time.Now(), id, i%2 == 0)
		}
		if diff := cmp.Diff(calls, log.CompletedCalls()); diff != "" {
			t.Errorf("calls to the log (-want +got):\n%s", diff)
		}
	})
}

// Guards against records of a large fleet that exceed what the log appends.
func TestNodesOfALargeFleetWriteSeldom(t *testing.T) {
	const nodes = 300
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "node-0", newFleet(nodes), "v1", "v2")
		time.Sleep(10 * time.Second)
		before := log.CompletedCalls()
		const duration = 30 * time.Second
		for i := range int(duration / (20 * time.Millisecond)) {
			id := quetzalroad.RequestID(fmt.Sprint(i))
			a.RecordBegun(time.Now(), id, originAt("v1"))
			a.RecordEnd(time.Now(), id, true)
			time.Sleep(20 * time.Millisecond)
		}
		const allowedPerSecond = 200
		if perSecond := float64(nodes*(log.CompletedCalls()-before)) / duration.Seconds(); perSecond > allowedPerSecond {
			t.Errorf("%d nodes call the log %.0f times a second, want %d at most", nodes, perSecond, allowedPerSecond)
		}
	})
}

// Guards against the nodes of a fleet that starts, which would all write the same versions.
func TestNodeThatDoesNotKnowItsFleetWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		startNode(t, log, "a", fleet{}, "v1", "v2")
		time.Sleep(time.Minute)
		records, _, err := log.ReadLatest(t.Context(), quetzalroad.LogStreamStreams)
		if err != nil || len(records) > 0 {
			t.Errorf("records %v, error %v, want none", records, err)
		}
	})
}

// Guards against versions that count as in use for good, so that streams are recorded without need.
func TestVersionThatLeftIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a", "b"}, "v1", "v2")
		b := startNode(t, log, "b", fleet{"a", "b"}, "v1", "v2")
		time.Sleep(time.Second)
		a.RecordBegun(time.Now(), "first", originAt("v1"))
		a.RecordEnd(time.Now(), "first", false)
		time.Sleep(time.Second)
		a.setVersions("v2")
		b.setVersions("v2")
		time.Sleep(a.retention - 2*time.Second)
		b.checkOrigin(t, "first", "v1")
		b.checkOrigin(t, "second", "")
		time.Sleep(2 * a.retention)
		b.checkOrigin(t, "second", "v2")
		records, _, err := log.ReadLatest(t.Context(), quetzalroad.LogStreamStreams)
		if err != nil || len(records) != 1 || !strings.HasPrefix(records[0].Key, versionPrefix) {
			t.Errorf("records %v, error %v, want that of one version", records, err)
		}
	})
}

// Guards against a long stream whose record is deleted because no other stream began since.
func TestRecordOfAnOpenStreamIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a", "b"}, "v1", "v2")
		time.Sleep(time.Second)
		a.RecordBegun(time.Now(), "first", originAt("v1"))
		time.Sleep(time.Second)
		a.checkOrigin(t, "second", "")
		time.Sleep(3 * a.retention)
		b := startNode(t, log, "b", fleet{"a", "b"}, "v1", "v2")
		b.checkOrigin(t, "first", "v1")
	})
}

// Guards against a log restored from an older copy, which lacks what was recorded since.
func TestStreamsAreRecordedAgainInARestoredLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		copied := log.Copy()
		a := startNodeWithEpochs(t, log, "a", fleet{"a", "b"}, epochs{restoredAt: time.Now().Add(2 * time.Second)}, "v1", "v2")
		time.Sleep(time.Second)
		a.RecordBegun(time.Now(), "first", originAt("v1"))
		time.Sleep(time.Second)
		log.Restore(copied)
		time.Sleep(2 * time.Second)
		b := startNode(t, log, "b", fleet{"a", "b"}, "v2")
		b.checkOrigin(t, "first", "v1")
	})
}

// Guards against a restore that another read of the log finds before the check does, after which nothing is
// recorded again.
func TestStreamsAreRecordedAgainAfterAResumptionFoundTheRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNodeWithEpochs(t, log, "a", fleet{"a", "b"}, epochs{restoredAt: time.Now().Add(2 * time.Second)}, "v1", "v2")
		time.Sleep(time.Second)
		copied := log.Copy()
		a.RecordBegun(time.Now(), "first", originAt("v1"))
		time.Sleep(time.Second)
		log.Restore(copied)
		a.checkOrigin(t, "second", "")
		time.Sleep(2 * time.Second)
		b := startNode(t, log, "b", fleet{"a", "b"}, "v1", "v2")
		b.checkOrigin(t, "first", "v1")
	})
}

// Guards against streams that are interrupted for good because the log can't be read, or are joined because of it.
func TestOriginWhileTheLogCannotBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		single := startNode(t, log, "a", fleet{"a"}, "v1")
		time.Sleep(time.Second)
		mixed := startNode(t, log, "b", fleet{"a", "b"}, "v1", "v2")
		time.Sleep(time.Second)
		mixed.RecordBegun(time.Now(), "first", originAt("v2"))
		log.SetUnavailable(true)
		started := startNode(t, log, "c", fleet{"a", "b", "c"}, "v2")
		mixed.checkOrigin(t, "first", "v2")
		if o, err := mixed.Origin(t.Context(), "second", "llm"); err == nil || errors.Is(err, quetzalroad.ErrOriginUnknown) {
			t.Errorf("origin %+v, error %v, want one that tells to come back", o, err)
		}
		if o, err := started.Origin(t.Context(), "second", "llm"); err == nil || errors.Is(err, quetzalroad.ErrOriginUnknown) {
			t.Errorf("a node that never read the records: origin %+v, error %v", o, err)
		}
		log.SetUnavailable(false)
		single.setVersions("v1")
		time.Sleep(2 * time.Second)
		started.checkOrigin(t, "first", "v2")
	})
}

// Guards against streams that are resumed without a name: one of them tells nothing about another, and a record that
// lists one can't be read.
func TestStreamWithoutANameIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a", "b"}, "v1")
		time.Sleep(time.Second)
		a.RecordBegun(time.Now(), "", originAt("v1"))
		a.RecordBegun(time.Now(), "first", originAt("v1"))
		a.setVersions("v1", "v2")
		// Node b never records its streams, so that the second version waits for it.
		time.Sleep(a.openTimeout + time.Second)
		a.checkOrigin(t, "", "")
		b := startNode(t, log, "b", fleet{"a", "b"}, "v1", "v2")
		b.checkOrigin(t, "first", "v1")
	})
}

// Guards against callers whose ids make the record of all streams of a node unreadable.
func TestIDThatIsNoTextSpoilsNoRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a", "b"}, "v1", "v2")
		time.Sleep(time.Second)
		for _, id := range []quetzalroad.RequestID{"first", "\xfe", "\xff"} {
			a.RecordBegun(time.Now(), id, originAt("v1"))
		}
		b := startNode(t, log, "b", fleet{"a", "b"}, "v1", "v2")
		b.checkOrigin(t, "first", "v1")
		b.checkOrigin(t, "\xff", "")
	})
}

// Guards against records that grow beyond what the log takes, and ids without a bound.
func TestRecordFitsIntoTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a"}, "v1", "v2")
		time.Sleep(time.Second)
		for i := range 3 * maxRecordedStreams {
			a.RecordBegun(time.Now(), quetzalroad.RequestID(fmt.Sprintf("%0*d", maxIDBytes, i)), originAt("v1"))
		}
		a.RecordBegun(time.Now(), quetzalroad.RequestID(strings.Repeat("x", maxIDBytes+1)), originAt("v1"))
		time.Sleep(time.Second)
		records, _, err := log.ReadLatest(t.Context(), quetzalroad.LogStreamStreams)
		if err != nil {
			t.Fatal(err)
		}
		const recordBytes = 256 << 10
		for _, r := range records {
			if len(r.Value) > recordBytes {
				t.Errorf("a record of %d bytes", len(r.Value))
			}
		}
	})
}

// staleness is the age of the view of the published state.
type staleness struct {
	quetzalroad.Freshness
	age time.Duration
}

func (s staleness) Age() time.Duration { return s.age }

// Guards against nodes that all ask a log that is away whenever a stream is resumed at one of them.
func TestNodeDoesNotAskALogThatIsAwayForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a", "b"}, "v1")
		time.Sleep(time.Second)
		for age, asks := range map[time.Duration]bool{a.confirmedWithin: true, a.confirmedWithin + 1: false} {
			a.node.Freshness = staleness{age: age}
			before := log.CompletedCalls()
			report := a.Report(t.Context(), quetzalroad.OriginQuestion{Stream: "first", Service: "llm"})
			want := quetzalroad.OriginReport{Versions: []quetzalroad.SoftwareVersion{"v1"}, IsCurrent: asks}
			if diff := cmp.Diff(want, report); diff != "" {
				t.Errorf("view of age %s (-want +got):\n%s", age, diff)
			}
			if got := log.CompletedCalls() > before; got != asks {
				t.Errorf("view of age %s: the log is asked: %v", age, got)
			}
		}
	})
}
