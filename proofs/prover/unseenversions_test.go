package prover

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	"github.com/quetzalroad/quetzalroad/support/configloader"

	_ "github.com/quetzalroad/quetzalroad/state/distributor"
)

// separableLog is one node's access to the log, which can be cut.
type separableLog struct {
	*faker.KeyedLog
	cut atomic.Bool
}

// Declare implements kernel.Component.
func (*separableLog) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (l *separableLog) Build(n *kernel.Node) error {
	n.KeyedLog, n.KeyedWriter, n.ConditionalWriter, n.StateCodec = l, l, l, l.KeyedLog
	return nil
}

func (l *separableLog) check() error {
	if l.cut.Load() {
		return faker.ErrUnavailable
	}
	return nil
}

func (l *separableLog) PutKeyed(ctx context.Context, s quetzalroad.LogStream, key string, value []byte) (quetzalroad.Epoch, error) {
	if err := l.check(); err != nil {
		return 0, err
	}
	return l.KeyedLog.PutKeyed(ctx, s, key, value)
}

func (l *separableLog) PutKeyedAt(ctx context.Context, s quetzalroad.LogStream, key string, value []byte, end quetzalroad.Offset) (quetzalroad.Position, error) {
	if err := l.check(); err != nil {
		return quetzalroad.Position{}, err
	}
	return l.KeyedLog.PutKeyedAt(ctx, s, key, value, end)
}

func (l *separableLog) ReadLatest(ctx context.Context, s quetzalroad.LogStream) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	if err := l.check(); err != nil {
		return nil, quetzalroad.StreamBounds{}, err
	}
	return l.KeyedLog.ReadLatest(ctx, s)
}

func (l *separableLog) ReadKeyed(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Position, wait time.Duration) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	if err := l.check(); err != nil {
		return nil, quetzalroad.StreamBounds{}, err
	}
	records, bounds, err := l.KeyedLog.ReadKeyed(ctx, s, from, wait)
	if cutErr := l.check(); cutErr != nil {
		return nil, quetzalroad.StreamBounds{}, cutErr
	}
	return records, bounds, err
}

// separableFleet is a fleet whose nodes know each other and can be cut off from the log and from each other.
type separableFleet struct {
	*versionedFleet
	network faker.ReadNetwork
	logs    []*separableLog
}

func peerAddress(node int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, 0, byte(node + 1)}), 7200)
}

// runSeparableFleet runs a check on nodes that have found each other, with some settings of the stream tracker. Callers send no key, so that nodes which are cut off
// from the log go on serving them.
func runSeparableFleet(t *testing.T, origins string, check func(t *testing.T, f *separableFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &separableFleet{versionedFleet: &versionedFleet{crashed: make(map[quetzalroad.UpstreamName]bool), keyless: true, origins: origins}}
		f.sharing = func(node int) []kernel.Override {
			l := &separableLog{KeyedLog: &f.log}
			f.logs = append(f.logs, l)
			return []kernel.Override{
				{Slot: kernel.SlotKeyedLog, Component: l},
				{Slot: kernel.SlotReadTransport, Component: &faker.ReadTransport{Network: &f.network, Address: peerAddress(node)}},
			}
		}
		f.run(t, func(t *testing.T, _ *versionedFleet) {
			time.Sleep(10 * time.Second)
			check(t, f)
		})
	})
}

// partition returns the nodes that know an engine of a version, and those that don't.
func (f *separableFleet) partition(version quetzalroad.SoftwareVersion) (informed, uninformed []int) {
	for i, n := range f.nodes {
		if slices.ContainsFunc(n.Directory.UpstreamsOf("service"), func(u quetzalroad.Upstream) bool { return u.Version == version }) {
			informed = append(informed, i)
		} else {
			uninformed = append(uninformed, i)
		}
	}
	return informed, uninformed
}

// beginAt sends streams to one node, one each interval, and kills it after the duration. It returns the streams that had begun.
func (f *separableFleet) beginAt(t *testing.T, node int, duration, interval time.Duration) (begun []*versionedStream) {
	t.Helper()
	begun = f.leaveAt(node, duration, interval)
	f.nodes[node].Kill()
	if err := f.nodes[node].Wait(); err != nil {
		t.Error(err)
	}
	if len(begun) < 10 {
		t.Fatalf("%d streams had begun, which is too few for the test", len(begun))
	}
	return begun
}

// leaveAt sends streams to one node, one each interval. Their callers lose their connections after the duration. It
// returns the streams that had begun.
func (f *separableFleet) leaveAt(node int, duration, interval time.Duration) (begun []*versionedStream) {
	streams, wait := f.openAt(duration, interval, func(int) int { return node })
	f.kill()
	wait()
	f.ended, f.kill = context.WithCancel(context.Background())
	return slices.DeleteFunc(streams, func(s *versionedStream) bool { return len(s.versions) == 0 })
}

// resumeAt has callers resume streams at a node.
func (f *separableFleet) resumeAt(node int, streams []*versionedStream) {
	done := make(chan struct{})
	for _, s := range streams {
		go func() {
			f.request(node, s)
			done <- struct{}{}
		}()
	}
	for range streams {
		<-done
	}
}

// Guards against streams of a version that joined while a node was cut off from the log, and that go on there at another
// version: the node knew only that one, and took it for the origin of all streams.
func TestNodeThatMissedAVersionDoesNotJoinStreams(t *testing.T) {
	for name, c := range map[string]struct {
		// disrupt cuts node 1 off, and mend is called before the streams are resumed there.
		disrupt, mend func(f *separableFleet)
	}{
		"cut off from the log": {
			disrupt: func(f *separableFleet) { f.logs[1].cut.Store(true) },
		},
		"cut off from the log and from the other nodes": {
			disrupt: func(f *separableFleet) {
				f.logs[1].cut.Store(true)
				f.network.SetStalled(peerAddress(1), true)
			},
		},
		"back at the log, which it has not read yet": {
			disrupt: func(f *separableFleet) { f.logs[1].cut.Store(true) },
			mend:    func(f *separableFleet) { f.logs[1].cut.Store(false) },
		},
		"cut off from the other nodes": {
			disrupt: func(f *separableFleet) { f.network.SetStalled(peerAddress(1), true) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			runSeparableFleet(t, "", func(t *testing.T, f *separableFleet) {
				c.disrupt(f)
				f.setEngines("v2", 3)
				time.Sleep(3 * time.Second)
				streams := f.beginAt(t, 0, time.Second, streamInterval/10)
				if c.mend != nil {
					c.mend(f)
				}
				f.resumeAt(1, streams)
				if joined := countJoined(streams); joined > 0 {
					t.Errorf("%d of %d streams are joined", joined, len(streams))
				}
			})
		})
	}
}

// partitionByOpening returns the nodes that have streams begin at a version, and those that don't.
func (f *separableFleet) partitionByOpening(version quetzalroad.SoftwareVersion) (opened, others []int) {
	for i, n := range f.nodes {
		if n.StreamTracker.MayBegin(quetzalroad.StreamOrigin{Service: "service", Version: version}) {
			opened = append(opened, i)
		} else {
			others = append(others, i)
		}
	}
	return opened, others
}

// Guards against streams of a version that has joined just now: the nodes that have not read its first registration yet
// know only the other version, and those that have not read that it is open take the other one for the origin of all
// streams that nobody recorded.
func TestStreamsOfAVersionThatHasJustJoinedAreNotJoined(t *testing.T) {
	// In a large fleet it takes a while until a node records a version.
	const slowRecords = `{"plugin": "log", "check-interval": "2s"}`
	runSeparableFleet(t, slowRecords, func(t *testing.T, f *separableFleet) {
		// The nodes started together. After failed reads, two of them no longer read at the same time as the first one.
		f.logs[1].cut.Store(true)
		f.logs[2].cut.Store(true)
		time.Sleep(2 * time.Second)
		f.logs[1].cut.Store(false)
		f.logs[2].cut.Store(false)
		time.Sleep(10 * time.Second)
		f.setEngines("v2", 3)
		var informed, uninformed []int
		for len(informed) == 0 {
			time.Sleep(time.Millisecond)
			informed, uninformed = f.partition("v2")
		}
		if len(uninformed) == 0 {
			t.Fatal("all nodes know the version, so that the test checks nothing")
		}
		// Have the streams begin at the new version.
		f.crash("v1-0")
		f.crash("v1-1")
		f.crash("v1-2")
		if early := f.leaveAt(informed[0], streamInterval+20*time.Millisecond, time.Millisecond); len(early) > 0 {
			t.Errorf("%d streams begin at a version that is not open", len(early))
		}
		var opened, others []int
		for len(opened) == 0 {
			time.Sleep(time.Millisecond)
			opened, others = f.partitionByOpening("v2")
		}
		if len(others) == 0 {
			t.Fatal("all nodes know that the version is open, so that the test checks nothing")
		}
		streams := f.beginAt(t, opened[0], streamInterval+20*time.Millisecond, time.Millisecond)
		f.recover()
		f.resumeAt(others[0], streams)
		if joined := countJoined(streams); joined > 0 {
			t.Errorf("%d of %d streams are joined", joined, len(streams))
		}
	})
}

// Guards against streams of the only version that are lost while the log responds to no node, or to all but the one that they
// are resumed at.
func TestStreamsOfTheOnlyVersionGoOnWhileTheLogIsAway(t *testing.T) {
	for name, disrupt := range map[string]func(f *separableFleet){
		"for all nodes": func(f *separableFleet) { f.log.SetUnavailable(true) },
		"for one node":  func(f *separableFleet) { f.logs[1].cut.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			runSeparableFleet(t, "", func(t *testing.T, f *separableFleet) {
				disrupt(f)
				time.Sleep(3 * time.Second)
				streams := f.beginAt(t, 0, time.Second, streamInterval/10)
				f.resumeAt(1, streams)
				if complete := countComplete(streams); complete < len(streams) {
					t.Errorf("%d of %d streams are complete", complete, len(streams))
				}
			})
		})
	}
}

// Guards against streams that are lost while several versions serve, as the node that they began at could not record them.
func TestStreamsOfANodeThatTheLogTurnsAwayGoOnAtOtherNodes(t *testing.T) {
	runSeparableFleet(t, "", func(t *testing.T, f *separableFleet) {
		f.setEngines("v2", 3)
		time.Sleep(3 * time.Second)
		f.logs[0].cut.Store(true)
		streams := f.leaveAt(0, time.Second, streamInterval/10)
		f.resumeAt(1, streams)
		if joined, complete := countJoined(streams), countComplete(streams); joined > 0 || complete < len(streams) {
			t.Errorf("%d of %d streams are joined, and %d complete", joined, len(streams), complete)
		}
	})
}

// Guards against streams that go on at an upstream which has started again under its id with another software version, at
// a node that has not read its new registration yet.
func TestStreamsDoNotGoOnAtAnUpstreamThatChangedItsVersion(t *testing.T) {
	for node, name := range []string{"at the node that they began at", "at another node"} {
		t.Run(name, func(t *testing.T) {
			runSeparableFleet(t, "", func(t *testing.T, f *separableFleet) {
				streams := f.leaveAt(0, time.Second, streamInterval/10)
				f.upgrade(f.nodes[1].Directory.UpstreamsOf("service")[0], "v2")
				time.Sleep(10 * time.Millisecond)
				if _, uninformed := f.partition("v2"); !slices.Contains(uninformed, node) {
					t.Fatal("the node knows the new version, so that the test checks nothing")
				}
				f.resumeAt(node, streams)
				if joined, complete := countJoined(streams), countComplete(streams); joined > 0 || complete < len(streams) {
					t.Errorf("%d of %d streams are joined, and %d complete", joined, len(streams), complete)
				}
			})
		})
	}
}
