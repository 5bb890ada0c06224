package streamtracker

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// Guards against versions that are opened before the streams of the others are recorded, and against versions
// that wait although that tells nothing, or that nothing else serves.
func TestNextStep(t *testing.T) {
	const openTimeout = 5 * time.Second
	announced := versionView{isRecorded: true, isAnnounced: true, otherOpen: 1, othersTakeWork: true}
	with := func(change func(*versionView)) versionView {
		v := announced
		change(&v)
		return v
	}
	for name, c := range map[string]struct {
		view versionView
		want openingStep
	}{
		"open":                                     {versionView{isRecorded: true, otherOpen: 1, othersTakeWork: true}, stepNone},
		"beside the only open version":             {versionView{otherOpen: 1, othersTakeWork: true}, stepAnnounce},
		"announced":                                {announced, stepWait},
		"announced and acknowledged":               {with(func(v *versionView) { v.isAcknowledged = true }), stepOpen},
		"announced shortly before the timeout":     {with(func(v *versionView) { v.announcedFor = openTimeout - 1 }), stepWait},
		"announced for long":                       {with(func(v *versionView) { v.announcedFor = openTimeout }), stepOpen},
		"announced, and the others leave":          {with(func(v *versionView) { v.othersTakeWork = false }), stepOpen},
		"announced, and others have been opened":   {with(func(v *versionView) { v.otherOpen = 2 }), stepOpen},
		"the first one of a service":               {versionView{isFirst: true}, stepOpen},
		"joined together with the first one":       {versionView{isFirst: true, otherOpen: 1, othersTakeWork: true}, stepOpen},
		"all others have been closed":              {versionView{}, stepOpen},
		"beside two open versions":                 {versionView{otherOpen: 2, othersTakeWork: true}, stepOpen},
		"not in a log that was restored":           {versionView{isRestored: true, otherOpen: 1, othersTakeWork: true}, stepOpen},
		"announced in a log that was restored":     {with(func(v *versionView) { v.isRestored = true }), stepOpen},
		"open as of before a restore, or unmarked": {versionView{isRecorded: true, isRestored: true, otherOpen: 1, othersTakeWork: true}, stepOpen},
	} {
		t.Run(name, func(t *testing.T) {
			if got := nextStep(c.view, openTimeout); got != c.want {
				t.Errorf("step %d, want %d", got, c.want)
			}
		})
	}
}

// checkMayBegin checks at which versions of "v1", "v2" and "v3" a node has streams begin.
func (x *testNode) checkMayBegin(t *testing.T, want ...quetzalroad.SoftwareVersion) {
	t.Helper()
	var got []quetzalroad.SoftwareVersion
	for _, v := range []quetzalroad.SoftwareVersion{"v1", "v2", "v3"} {
		if x.MayBegin(originAt(v)) {
			got = append(got, v)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("versions at which streams begin (-want +got):\n%s", diff)
	}
}

// Guards against streams of a node that died unrecorded, and that are lost although only one version had been open.
func TestVersionWaitsForTheRecordsOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a", "b"}, "v1")
		time.Sleep(a.openTimeout)
		a.setVersions("v1", "v2")
		time.Sleep(time.Second)
		a.checkMayBegin(t, "v1")
		a.checkOrigin(t, "stream of b", "v1")
		b := startNode(t, log, "b", fleet{"a", "b"}, "v1", "v2")
		time.Sleep(time.Second)
		// A process that has just started may follow one whose streams nobody recorded.
		b.checkMayBegin(t, "v1")
		time.Sleep(a.openTimeout)
		a.checkMayBegin(t, "v1", "v2")
		b.checkMayBegin(t, "v1", "v2")
		a.checkOrigin(t, "stream of b", "")
	})
}

// Guards against a version that no stream begins at for longer than the nodes take to record theirs.
func TestVersionIsOpenOnceAllNodesHaveRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a", "b"}, "v1")
		b := startNode(t, log, "b", fleet{"a", "b"}, "v1")
		time.Sleep(a.openTimeout)
		b.RecordBegun(time.Now(), "first", originAt("v1"))
		a.setVersions("v1", "v2")
		time.Sleep(time.Second)
		a.checkMayBegin(t, "v1")
		b.setVersions("v1", "v2")
		time.Sleep(1500 * time.Millisecond)
		a.checkMayBegin(t, "v1", "v2")
		b.checkMayBegin(t, "v1", "v2")
		a.checkOrigin(t, "first", "v1")
		a.checkOrigin(t, "second", "")
	})
}

// Guards against a release that is undone, and against further versions while two are open.
func TestVersionsThatComeBackAndFurtherVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a"}, "v1")
		time.Sleep(a.openTimeout)
		a.setVersions("v1", "v2")
		time.Sleep(2 * time.Second)
		a.checkMayBegin(t, "v1", "v2")
		a.setVersions("v1", "v2", "v3")
		time.Sleep(time.Second)
		a.checkMayBegin(t, "v1", "v2", "v3")
		a.setVersions("v2")
		time.Sleep(2 * a.retention)
		a.checkOrigin(t, "first", "v2")
		// The record of the version that comes back was deleted.
		a.setVersions("v1", "v2")
		if a.MayBegin(originAt("v1")) {
			t.Error("streams begin at a version that came back before the log states that it is open")
		}
		a.checkOrigin(t, "first", "v2")
		time.Sleep(2 * time.Second)
		a.checkMayBegin(t, "v1", "v2")
		a.checkOrigin(t, "second", "")
	})
}

// Guards against a node that stands still while a version's record is deleted and written again, and begins
// streams there before the others count it as open.
func TestNodeThatStoodStillReadsVersionsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a"}, "v1")
		time.Sleep(a.openTimeout)
		a.checkMayBegin(t, "v1")
		open := *a.open.Load()
		a.open.Store(&openVersions{versions: open.versions, checkedAt: open.checkedAt.Sub(a.maxAbsence() + time.Second)})
		a.checkMayBegin(t)
		time.Sleep(time.Second)
		a.checkMayBegin(t, "v1")
	})
}

// Guards against a log that was restored from a copy of before a version was opened: its streams are not
// recorded there, and must not be taken for those of the version that the copy states.
func TestVersionsThatARestoredLogLacksStayOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		const restoredAfter = 20 * time.Second
		e := epochs{restoredAt: time.Now().Add(restoredAfter)}
		a := startNodeWithEpochs(t, log, "a", fleet{"a", "b"}, e, "v1")
		b := startNodeWithEpochs(t, log, "b", fleet{"a", "b"}, e, "v1")
		time.Sleep(10 * time.Second)
		copied := log.Copy()
		a.setVersions("v1", "v2")
		b.setVersions("v1", "v2")
		time.Sleep(9 * time.Second)
		a.checkMayBegin(t, "v1", "v2")
		time.Sleep(time.Second)
		log.Restore(copied)
		for range 40 {
			a.checkMayBegin(t, "v1", "v2")
			b.checkOrigin(t, "stream of a node that died", "")
		}
		started := startNodeWithEpochs(t, log, "c", fleet{"a", "b", "c"}, e, "v1", "v2")
		started.checkOrigin(t, "stream of a node that died", "")
	})
}

// Guards against a delayed or concurrent deletion of the record of a version that is open again.
func TestRecordThatAnotherNodeHasWrittenIsNotDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a"}, "v1")
		time.Sleep(time.Second)
		c := versionChecker{tracker: a.Tracker}
		_, position, _ := a.records.position()
		if _, err := log.PutKeyed(t.Context(), quetzalroad.LogStreamStreams, "node/b/1", []byte("[]")); err != nil {
			t.Fatal(err)
		}
		if err := c.deleteAt(t.Context(), versionKey(originAt("v1")), position.Offset); err != nil {
			t.Fatal(err)
		}
		b := startNode(t, log, "b", fleet{"a", "b"}, "v1")
		if _, ok := b.records.version(originAt("v1")); ok {
			t.Fatal("the node has read the log already")
		}
		time.Sleep(time.Second)
		if version, ok := b.records.version(originAt("v1")); !ok || version.Announced {
			t.Errorf("record %+v, found %v, want an open version", version, ok)
		}
	})
}

// Guards against calls to the log for a version that waits, in a large fleet.
func TestNodesOfALargeFleetAskSeldomWhileAVersionWaits(t *testing.T) {
	const nodes = 300
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "node-0", newFleet(nodes), "v1")
		time.Sleep(10 * time.Second)
		before := log.CompletedCalls()
		a.setVersions("v1", "v2")
		time.Sleep(a.openTimeout)
		const allowedPerSecond = 300
		if perSecond := float64(nodes*(log.CompletedCalls()-before)) / a.openTimeout.Seconds(); perSecond > allowedPerSecond {
			t.Errorf("%d nodes call the log %.0f times a second, want %d at most", nodes, perSecond, allowedPerSecond)
		}
	})
}

// Guards against a record that lacks streams, and is taken for one that has them all.
func TestRecordWithoutAllStreamsAcknowledgesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(faker.KeyedLog)
		a := startNode(t, log, "a", fleet{"a"}, "v1")
		time.Sleep(a.openTimeout)
		for i := range maxRecordedStreams + 1 {
			a.RecordBegun(time.Now(), quetzalroad.RequestID(fmt.Sprint(i)), originAt("v1"))
		}
		a.setVersions("v1", "v2")
		time.Sleep(a.openTimeout)
		a.checkMayBegin(t, "v1")
		time.Sleep(time.Second)
		a.checkMayBegin(t, "v1", "v2")
	})
}
