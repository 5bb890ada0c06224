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
	revocationDeadline = 5 * time.Second
	drainDeadline      = 3 * time.Second
)

// nodeLog is one node's access to the log, which can be made unavailable.
type nodeLog struct {
	*faker.KeyedLog
	unavailable atomic.Bool
	// losesNext makes the next read get no response.
	losesNext atomic.Bool
	// stateTransfer is how long the transfer of a published state takes.
	stateTransfer atomic.Int64
	// reads counts the reads that were answered, writes the writes that were tried, and calls all calls.
	reads, writes, calls atomic.Int64
}

// Declare implements kernel.Component.
func (*nodeLog) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (l *nodeLog) Build(n *kernel.Node) error {
	n.KeyedLog, n.KeyedWriter, n.StateCodec = l, l, l.KeyedLog
	return nil
}

func (l *nodeLog) PutKeyed(ctx context.Context, s quetzalroad.LogStream, key string, value []byte) (quetzalroad.Epoch, error) {
	l.calls.Add(1)
	l.writes.Add(1)
	if l.unavailable.Load() {
		return 0, faker.ErrUnavailable
	}
	return l.KeyedLog.PutKeyed(ctx, s, key, value)
}

func (l *nodeLog) ReadLatest(ctx context.Context, s quetzalroad.LogStream) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	l.calls.Add(1)
	if l.unavailable.Load() {
		return nil, quetzalroad.StreamBounds{}, faker.ErrUnavailable
	}
	l.reads.Add(1)
	records, bounds, err := l.KeyedLog.ReadLatest(ctx, s)
	return records, bounds, l.transfer(ctx, s, records, err)
}

func (l *nodeLog) ReadKeyed(ctx context.Context, s quetzalroad.LogStream, from quetzalroad.Position, wait time.Duration) ([]quetzalroad.KeyedRecord, quetzalroad.StreamBounds, error) {
	l.calls.Add(1)
	if l.unavailable.Load() {
		return nil, quetzalroad.StreamBounds{}, faker.ErrUnavailable
	}
	if l.losesNext.CompareAndSwap(true, false) {
		<-ctx.Done()
		return nil, quetzalroad.StreamBounds{}, ctx.Err()
	}
	l.reads.Add(1)
	records, bounds, err := l.KeyedLog.ReadKeyed(ctx, s, from, wait)
	return records, bounds, l.transfer(ctx, s, records, err)
}

// transfer takes the time of the transfer of a response, unless the read failed.
func (l *nodeLog) transfer(ctx context.Context, s quetzalroad.LogStream, records []quetzalroad.KeyedRecord, err error) error {
	if err != nil || s != quetzalroad.LogStreamOperators || len(records) == 0 {
		return err
	}
	return faker.Transfer(ctx, time.Duration(l.stateTransfer.Load()))
}

// cluster holds the nodes of a data centre on one log.
type cluster struct {
	log     faker.KeyedLog
	network faker.ReadNetwork
	logs    []*nodeLog
	nodes   []*kernel.Node
	// earlierBuilds are the nodes whose responses leave the epoch out.
	earlierBuilds map[int]bool
}

func nodeAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i%250 + 1)}), 7200)
}

func registration(sequence int64, draining bool) quetzalroad.UpstreamRegistration {
	return quetzalroad.UpstreamRegistration{Sequence: sequence, StartedAt: time.UnixMilli(1), Upstream: quetzalroad.Upstream{
		Service: "service", Address: netip.MustParseAddrPort("10.9.0.1:80"), DataCentre: "west-1", InstanceID: "a", MaxConcurrency: 8, Draining: draining,
	}}
}

func publishedState(version int64) quetzalroad.PublishedState {
	return quetzalroad.PublishedState{Version: version, Teams: []quetzalroad.Team{{Name: "team", KeyHashes: []quetzalroad.KeyHash{quetzalroad.HashKey("key")}}}}
}

// runInCluster runs a test on nodes that have started and found each other.
func runInCluster(t *testing.T, count int, check func(t *testing.T, c *cluster)) {
	t.Helper()
	runInMixedCluster(t, count, nil, check)
}

// runInMixedCluster runs a test on nodes of which some are of an earlier build.
func runInMixedCluster(t *testing.T, count int, earlierBuilds map[int]bool, check func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{earlierBuilds: earlierBuilds}
		c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(1))
		c.log.Put(quetzalroad.LogStreamUpstreams, "a", registration(1, false))
		for i := range count {
			c.startNode(t, i)
		}
		defer func() {
			for _, n := range c.nodes {
				n.Kill()
				if err := n.Wait(); err != nil {
					t.Error(err)
				}
			}
		}()
		time.Sleep(5 * time.Second)
		for i, n := range c.nodes {
			if err := n.Ready(); err != nil {
				t.Fatalf("node %d is not ready: %v", i, err)
			}
		}
		check(t, c)
	})
}

// startNode starts a node and adds it to the cluster.
func (c *cluster) startNode(t *testing.T, i int) *kernel.Node {
	t.Helper()
	l := &nodeLog{KeyedLog: &c.log}
	name := fmt.Sprintf("node-%d", i)
	n, err := faker.BuildForwardNode(slog.New(slog.DiscardHandler), map[string]string{
		"node":        `{"name": "` + name + `", "data-centre": "west-1", "region": "west"}`,
		"log-sharing": `{"plugin": "distributor"}`,
	}, kernel.Override{Slot: kernel.SlotKeyedLog, Component: l},
		kernel.Override{Slot: kernel.SlotReadTransport, Component: &faker.ReadTransport{Network: &c.network, Address: nodeAddress(i), WithoutEpochs: c.earlierBuilds[i]}})
	if err != nil {
		t.Fatal(err)
	}
	c.logs, c.nodes = append(c.logs, l), append(c.nodes, n)
	n.Start()
	return n
}

// readingNodes returns the nodes that called the log within a duration.
func (c *cluster) readingNodes(duration time.Duration) []int {
	before := make([]int64, len(c.logs))
	for i, l := range c.logs {
		before[i] = l.reads.Load()
	}
	time.Sleep(duration)
	var readers []int
	for i, l := range c.logs {
		if l.reads.Load() > before[i] {
			readers = append(readers, i)
		}
	}
	return readers
}

// readerNode returns the only node that reads the log.
func (c *cluster) readerNode(t *testing.T) int {
	t.Helper()
	// Reads of the list of nodes are less frequent than this.
	readers := c.readingNodes(4 * time.Second)
	if len(readers) != 1 {
		t.Fatalf("nodes %v read the log, want one", readers)
	}
	return readers[0]
}

// eventually waits until a condition holds on all nodes, and fails after a timeout.
func (c *cluster) eventually(t *testing.T, timeout time.Duration, what string, condition func(n *kernel.Node) bool) {
	t.Helper()
	const step = 10 * time.Millisecond
	start := time.Now()
	for i, n := range c.nodes {
		for !condition(n) {
			if time.Since(start) > timeout {
				t.Fatalf("node %d: not %s within %s", i, what, timeout)
			}
			time.Sleep(step)
		}
	}
}

func allDraining(n *kernel.Node) bool {
	for _, u := range n.Directory.Upstreams() {
		if !u.Draining {
			return false
		}
	}
	return true
}
