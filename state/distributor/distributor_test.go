package distributor_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
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

const (
	revokeWithin = 5 * time.Second
	leaveWithin  = 3 * time.Second
)

// access is a node's way to the log, which can be cut.
type access struct {
	*faker.KeyedLog
	cut   atomic.Bool
	reads atomic.Int64
}

// Declare implements kernel.Component.
func (*access) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (a *access) Build(n *kernel.Node) error {
	n.KeyedLog, n.KeyedWriter, n.StateCodec = a, a, a.KeyedLog
	return nil
}

func (a *access) ReadLatest(ctx context.Context, s quetzalroad.LogStream) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	if a.cut.Load() {
		return nil, quetzalroad.StreamBounds{}, faker.ErrAway
	}
	a.reads.Add(1)
	return a.KeyedLog.ReadLatest(ctx, s)
}

func (a *access) ReadKeyed(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Offset, wait time.Duration) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	if a.cut.Load() {
		return nil, quetzalroad.StreamBounds{}, faker.ErrAway
	}
	a.reads.Add(1)
	return a.KeyedLog.ReadKeyed(ctx, s, from, wait)
}

// place is the nodes of a data centre on one log.
type place struct {
	log     faker.KeyedLog
	network faker.ReadNetwork
	access  []*access
	nodes   []*kernel.Node
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7200)
}

func entry(sequence int64, draining bool) quetzalroad.UpstreamRegistration {
	return quetzalroad.UpstreamRegistration{Sequence: sequence, StartedAt: time.UnixMilli(1), Upstream: quetzalroad.Upstream{
		Service: "service", Address: netip.MustParseAddrPort("10.9.0.1:80"), DataCentre: "west-1", InstanceID: "a", MaxConcurrency: 8, Draining: draining,
	}}
}

func state(version int64) quetzalroad.PublishedState {
	return quetzalroad.PublishedState{Version: version, Teams: []quetzalroad.Team{{Name: "team", KeyHashes: []quetzalroad.KeyHash{quetzalroad.HashKey("key")}}}}
}

// inPlace runs a test on some nodes that have settled.
func inPlace(t *testing.T, count int, f func(t *testing.T, p *place)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := new(place)
		p.log.Put(quetzalroad.LogStreamOperators, "config", state(1))
		p.log.Put(quetzalroad.LogStreamUpstreams, "a", entry(1, false))
		for i := range count {
			a := &access{KeyedLog: &p.log}
			name := fmt.Sprintf("node-%d", i)
			n, err := faker.BuildForwardNode(slog.New(slog.DiscardHandler), map[string]string{
				"node":        `{"name": "` + name + `", "data-centre": "west-1", "region": "west"}`,
				"log-sharing": `{"plugin": "distributor"}`,
			}, kernel.Override{Slot: kernel.SlotKeyedLog, Component: a},
				kernel.Override{Slot: kernel.SlotReadTransport, Component: &faker.Reads{Network: &p.network, At: address(i)}})
			if err != nil {
				t.Fatal(err)
			}
			p.access, p.nodes = append(p.access, a), append(p.nodes, n)
			n.Start()
		}
		defer func() {
			for _, n := range p.nodes {
				n.Kill()
				if err := n.Wait(); err != nil {
					t.Error(err)
				}
			}
		}()
		time.Sleep(5 * time.Second)
		for i, n := range p.nodes {
			if err := n.Ready(); err != nil {
				t.Fatalf("node %d is not ready: %v", i, err)
			}
		}
		f(t, p)
	})
}

// reading gives the nodes that called the log in a span.
func (p *place) reading(span time.Duration) []int {
	before := make([]int64, len(p.access))
	for i, a := range p.access {
		before[i] = a.reads.Load()
	}
	time.Sleep(span)
	var some []int
	for i, a := range p.access {
		if a.reads.Load() > before[i] {
			some = append(some, i)
		}
	}
	return some
}

// reader gives the node that reads for the others.
func (p *place) reader(t *testing.T) int {
	t.Helper()
	// Looking for other nodes is rarer than this.
	some := p.reading(4 * time.Second)
	if len(some) != 1 {
		t.Fatalf("nodes %v read the log, want one", some)
	}
	return some[0]
}

// within waits until something holds on all nodes, and fails after a span.
func (p *place) within(t *testing.T, span time.Duration, what string, holds func(n *kernel.Node) bool) {
	t.Helper()
	const step = 10 * time.Millisecond
	began := time.Now()
	for i, n := range p.nodes {
		for !holds(n) {
			if time.Since(began) > span {
				t.Fatalf("node %d: not %s within %s", i, what, span)
			}
			time.Sleep(step)
		}
	}
}

func draining(n *kernel.Node) bool {
	for _, u := range n.Directory.Upstreams() {
		if !u.Draining {
			return false
		}
	}
	return true
}

func TestOneNodeReadsTheLogAndAllKnow(t *testing.T) {
	inPlace(t, 8, func(t *testing.T, p *place) {
		p.reader(t)
		p.log.Put(quetzalroad.LogStreamOperators, "config", state(2))
		p.within(t, time.Second, "at version 2", func(n *kernel.Node) bool { return n.Freshness.Version() == 2 })
		p.log.Put(quetzalroad.LogStreamUpstreams, "a", entry(2, true))
		p.within(t, leaveWithin, "told of the leaving", draining)
		p.log.Put(quetzalroad.LogStreamUpstreams, "a", nil)
		p.within(t, leaveWithin, "told of the end", func(n *kernel.Node) bool { return len(n.Directory.Upstreams()) == 0 })
		if some := p.reading(4 * time.Second); len(some) != 1 {
			t.Errorf("nodes %v read the log", some)
		}
	})
}

func TestOnlyTheNodeThatReadsAnswers(t *testing.T) {
	inPlace(t, 8, func(t *testing.T, p *place) {
		reader := p.reader(t)
		asker := faker.Reads{Network: &p.network}
		for i := range p.nodes {
			want := quetzalroad.SharedReadRefused
			if i == reader {
				want = quetzalroad.SharedReadOK
			}
			got, err := asker.RequestRead(t.Context(), address(i), quetzalroad.SharedReadRequest{Stream: quetzalroad.LogStreamUpstreams, From: quetzalroad.NoOffset})
			if err != nil || got.Status != want {
				t.Errorf("node %d answers %d, %v, want %d; node %d reads", i, got.Status, err, want, reader)
			}
			if got, err := asker.RequestRead(t.Context(), address(i), quetzalroad.SharedReadRequest{Stream: "unknown"}); err != nil || got.Status != quetzalroad.SharedReadRefused {
				t.Errorf("node %d answers %d, %v for a stream that nobody follows", i, got.Status, err)
			}
		}
	})
}

func TestAnEntryThatCannotBeReadHidesNoLaterOne(t *testing.T) {
	inPlace(t, 8, func(t *testing.T, p *place) {
		p.log.Put(quetzalroad.LogStreamUpstreams, "a", "bytes of another writer")
		time.Sleep(leaveWithin)
		p.log.Put(quetzalroad.LogStreamUpstreams, "a", entry(3, true))
		p.within(t, leaveWithin, "told of the leaving", draining)
	})
}

func TestAReaderThatFallsSilentIsReplacedInTime(t *testing.T) {
	inPlace(t, 8, func(t *testing.T, p *place) {
		reader := p.reader(t)
		p.network.SetSilent(address(reader), true)
		p.log.Put(quetzalroad.LogStreamOperators, "config", state(2))
		p.log.Put(quetzalroad.LogStreamUpstreams, "a", entry(2, true))
		p.within(t, leaveWithin, "at version 2 and told of the leaving", func(n *kernel.Node) bool { return n.Freshness.Version() == 2 && draining(n) })
		time.Sleep(3 * time.Second)
		// The silent node reads on for itself; another took its place.
		if some := p.reading(3 * time.Second); len(some) > 2 {
			t.Errorf("nodes %v read the log with a reader gone", some)
		}
	})
}

func TestAReaderCutOffTheLogKeepsNobodyFromIt(t *testing.T) {
	inPlace(t, 8, func(t *testing.T, p *place) {
		reader := p.reader(t)
		p.access[reader].cut.Store(true)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for i, n := range p.nodes {
				if i != reader && !n.Freshness.IsFresh() {
					t.Fatalf("node %d took the old view of the reader for all there is", i)
				}
			}
		}
		if p.nodes[reader].Freshness.IsFresh() {
			t.Error("the node that was cut off counts its view as fresh")
		}
	})
}

func TestNoViewLooksFresherThanTheLogsLastWord(t *testing.T) {
	inPlace(t, 8, func(t *testing.T, p *place) {
		p.log.SetSilent(true)
		silent := time.Now()
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			for i, n := range p.nodes {
				if age := n.Freshness.Age(); age < time.Since(silent) {
					t.Fatalf("node %d: age %s, the log fell silent %s ago", i, age, time.Since(silent))
				}
			}
		}
		for i, n := range p.nodes {
			if n.Freshness.IsFresh() {
				t.Errorf("node %d counts a view of %s as fresh", i, n.Freshness.Age())
			}
		}
		p.log.SetSilent(false)
		p.within(t, 2*time.Second, "fresh again", func(n *kernel.Node) bool { return n.Freshness.IsFresh() })
	})
}

func TestAReadersOwnTroubleDelaysNoLeaving(t *testing.T) {
	inPlace(t, 8, func(t *testing.T, p *place) {
		reader := p.reader(t)
		p.log.Put(quetzalroad.LogStreamUpstreams, "a", nil)
		p.access[reader].cut.Store(true)
		time.Sleep(leaveWithin)
		for i, n := range p.nodes {
			if i != reader && len(n.Directory.Upstreams()) != 0 {
				t.Errorf("node %d still knows an upstream that left %s ago", i, leaveWithin)
			}
		}
	})
}

func TestAnEntryThatLapsesWhileTheLogIsAwayIsHeldOnAllNodes(t *testing.T) {
	inPlace(t, 8, func(t *testing.T, p *place) {
		p.reader(t)
		p.log.SetAway(true)
		time.Sleep(4 * time.Second)
		p.log.Put(quetzalroad.LogStreamUpstreams, "a", nil)
		p.log.SetAway(false)
		time.Sleep(1500 * time.Millisecond)
		for i, n := range p.nodes {
			if len(n.Directory.Upstreams()) != 1 {
				t.Errorf("node %d gave an upstream up that could still write its entry again", i)
			}
		}
		p.log.Put(quetzalroad.LogStreamUpstreams, "a", entry(7, false))
		time.Sleep(4 * time.Second)
		for i, n := range p.nodes {
			if len(n.Directory.Upstreams()) != 1 {
				t.Errorf("node %d lost an upstream that wrote its entry again", i)
			}
		}
	})
}

func TestForgottenHistoryIsReadAnewByAll(t *testing.T) {
	inPlace(t, 8, func(t *testing.T, p *place) {
		p.log.SetAway(true)
		p.log.Put(quetzalroad.LogStreamOperators, "config", state(5))
		p.log.Put(quetzalroad.LogStreamUpstreams, "a", entry(2, true))
		p.log.Forget(quetzalroad.LogStreamOperators)
		p.log.Forget(quetzalroad.LogStreamUpstreams)
		p.log.SetAway(false)
		p.within(t, 4*time.Second, "at version 5 and told of the leaving", func(n *kernel.Node) bool { return n.Freshness.Version() == 5 && draining(n) })
	})
}

func TestAFewNodesAskTheLogThemselves(t *testing.T) {
	inPlace(t, 3, func(t *testing.T, p *place) {
		if some := p.reading(4 * time.Second); len(some) != 3 {
			t.Errorf("nodes %v of 3 read the log", some)
		}
		for i := range p.nodes {
			if asked := p.network.Asked(address(i)); asked != 0 {
				t.Errorf("node %d was asked %d times", i, asked)
			}
		}
	})
}
