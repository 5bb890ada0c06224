package distributor_test

import (
	"strings"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/nodemapper"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"

	_ "github.com/quetzalroad/quetzalroad/state/distributor"
)

func TestOneReaderServesAllNodes(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		c.readerNode(t)
		c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(2))
		c.eventually(t, time.Second, "at version 2", func(n *kernel.Node) bool { return n.Freshness.Version() == 2 })
		c.log.Put(quetzalroad.LogStreamUpstreams, "a", registration(2, true))
		c.eventually(t, drainDeadline, "aware of the drain", allDraining)
		c.log.Put(quetzalroad.LogStreamUpstreams, "a", nil)
		c.eventually(t, drainDeadline, "aware of the deletion", func(n *kernel.Node) bool { return len(n.Directory.Upstreams()) == 0 })
		if readers := c.readingNodes(4 * time.Second); len(readers) != 1 {
			t.Errorf("nodes %v read the log", readers)
		}
	})
}

func TestOnlyReaderAnswersSharedReads(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		reader := c.readerNode(t)
		client := faker.ReadTransport{Network: &c.network}
		for i := range c.nodes {
			want := quetzalroad.SharedReadRefused
			if i == reader {
				want = quetzalroad.SharedReadOK
			}
			got, err := client.RequestRead(t.Context(), nodeAddress(i), quetzalroad.SharedReadRequest{Stream: quetzalroad.LogStreamUpstreams, From: quetzalroad.Position{Offset: quetzalroad.NoOffset}})
			if err != nil || got.Status != want {
				t.Errorf("node %d: status %d, error %v, want status %d; the reader is node %d", i, got.Status, err, want, reader)
			}
			if got, err := client.RequestRead(t.Context(), nodeAddress(i), quetzalroad.SharedReadRequest{Stream: "unknown"}); err != nil || got.Status != quetzalroad.SharedReadRefused {
				t.Errorf("node %d: status %d, error %v for an unknown stream", i, got.Status, err)
			}
		}
	})
}

func TestUndecodableRegistrationDoesNotHideLaterOne(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		c.log.Put(quetzalroad.LogStreamUpstreams, "a", "bytes of another writer")
		time.Sleep(drainDeadline)
		c.log.Put(quetzalroad.LogStreamUpstreams, "a", registration(3, true))
		c.eventually(t, drainDeadline, "aware of the drain", allDraining)
	})
}

func TestSilentReaderIsReplacedWithinDeadlines(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		reader := c.readerNode(t)
		c.network.SetStalled(nodeAddress(reader), true)
		c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(2))
		c.log.Put(quetzalroad.LogStreamUpstreams, "a", registration(2, true))
		c.eventually(t, drainDeadline, "at version 2 and aware of the drain", func(n *kernel.Node) bool { return n.Freshness.Version() == 2 && allDraining(n) })
		time.Sleep(3 * time.Second)
		// The silent node still reads for itself; another has replaced it as the reader.
		if readers := c.readingNodes(3 * time.Second); len(readers) > 2 {
			t.Errorf("nodes %v read the log with one silent reader, want two at most", readers)
		}
	})
}

func TestReaderWithoutLogAccessDoesNotBlockOthers(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		reader := c.readerNode(t)
		c.logs[reader].unavailable.Store(true)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for i, n := range c.nodes {
				if i != reader && !n.Freshness.IsFresh() {
					t.Fatalf("node %d relies on the stale view of the reader", i)
				}
			}
		}
		if c.nodes[reader].Freshness.IsFresh() {
			t.Error("the view of the node without log access is fresh")
		}
	})
}

// All nodes behind a reader turn to the log if its view gets too old. One lost response must not suffice for that.
func TestLostResponseOfAReaderSendsNoNodeToTheLog(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		reader := c.readerNode(t)
		for range 3 {
			c.logs[reader].losesNext.Store(true)
			if readers := c.readingNodes(4 * time.Second); len(readers) != 1 {
				t.Errorf("nodes %v read the log, want only the reader", readers)
			}
		}
	})
}

func TestViewAgeCountsFromLastLogResponse(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		c.log.SetStalled(true)
		silentSince := time.Now()
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			for i, n := range c.nodes {
				if age := n.Freshness.Age(); age < time.Since(silentSince) {
					t.Fatalf("node %d: age %s, the log stopped responding %s ago", i, age, time.Since(silentSince))
				}
			}
		}
		for i, n := range c.nodes {
			if n.Freshness.IsFresh() {
				t.Errorf("node %d: a view of age %s is fresh", i, n.Freshness.Age())
			}
		}
		c.log.SetStalled(false)
		c.eventually(t, 2*time.Second, "fresh again", func(n *kernel.Node) bool { return n.Freshness.IsFresh() })
	})
}

func TestReaderOutageDoesNotDelayUpstreamRemoval(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		reader := c.readerNode(t)
		c.log.Put(quetzalroad.LogStreamUpstreams, "a", nil)
		c.logs[reader].unavailable.Store(true)
		time.Sleep(drainDeadline)
		for i, n := range c.nodes {
			if i != reader && len(n.Directory.Upstreams()) != 0 {
				t.Errorf("node %d still lists an upstream whose registration was deleted %s ago", i, drainDeadline)
			}
		}
	})
}

func TestRegistrationExpiredDuringOutageIsHeldOnAllNodes(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		c.readerNode(t)
		c.log.SetUnavailable(true)
		time.Sleep(4 * time.Second)
		c.log.Put(quetzalroad.LogStreamUpstreams, "a", nil)
		c.log.SetUnavailable(false)
		time.Sleep(1500 * time.Millisecond)
		for i, n := range c.nodes {
			if len(n.Directory.Upstreams()) != 1 {
				t.Errorf("node %d removed an upstream within the grace period", i)
			}
		}
		c.log.Put(quetzalroad.LogStreamUpstreams, "a", registration(7, false))
		time.Sleep(4 * time.Second)
		for i, n := range c.nodes {
			if len(n.Directory.Upstreams()) != 1 {
				t.Errorf("node %d removed an upstream whose registration was written again", i)
			}
		}
	})
}

func TestCompactedHistoryIsReloadedByAllNodes(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		c.log.SetUnavailable(true)
		c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(5))
		c.log.Put(quetzalroad.LogStreamUpstreams, "a", registration(2, true))
		c.log.Compact(quetzalroad.LogStreamOperators)
		c.log.Compact(quetzalroad.LogStreamUpstreams)
		c.log.SetUnavailable(false)
		c.eventually(t, 4*time.Second, "at version 5 and aware of the drain", func(n *kernel.Node) bool { return n.Freshness.Version() == 5 && allDraining(n) })
	})
}

func TestNodesBelowMinimumReadTheLogThemselves(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		if readers := c.readingNodes(4 * time.Second); len(readers) != 3 {
			t.Errorf("nodes %v of 3 read the log", readers)
		}
		for i := range c.nodes {
			if requests := c.network.RequestCount(nodeAddress(i)); requests != 0 {
				t.Errorf("node %d received %d shared reads, want none", i, requests)
			}
		}
	})
}

// A node whose view is confirmed by every read must not report unready between two of them.
func TestNodesThatReadTheLogThemselvesStayReady(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		for range 500 {
			time.Sleep(20 * time.Millisecond)
			for i, n := range c.nodes {
				if err := n.Ready(); err != nil {
					t.Fatalf("node %d: %v, with a view of age %s", i, err, n.Freshness.Age())
				}
			}
		}
	})
}

// callsDuring returns the calls of all nodes to the log while f runs.
func (c *cluster) callsDuring(f func()) int {
	total := func() int {
		sum := 0
		for _, l := range c.logs {
			sum += int(l.calls.Load())
		}
		return sum
	}
	before := total()
	f()
	return total() - before
}

// readingNode returns the index of a node that reads the log for others.
func (c *cluster) readingNode() int {
	return c.readingNodes(2 * time.Second)[0]
}

// The platform prices each call to the log and bounds their rate over all nodes. What a node needs
// beyond its readers must be a few calls for each event, not one for each of its own reads.
func TestManyNodesCallTheLogSeldom(t *testing.T) {
	const (
		count   = 200
		readers = 9
		// readerRate bounds the calls of a reader in a second: two reads of the published state, one of
		// the registrations, and the list of nodes now and then.
		readerRate = 3
		// seconds is how long each period is observed.
		seconds = 10
	)
	runInCluster(t, count, func(t *testing.T, c *cluster) {
		started := c.callsDuring(func() {})
		for _, l := range c.logs {
			started += int(l.calls.Load())
		}
		// Registration, the list of nodes, and the latest records of two streams; the rest is the readers'.
		if limit := 4*count + readers*readerRate*seconds; started > limit {
			t.Errorf("%d calls at the start, want at most %d", started, limit)
		}
		observe := func(what string, limit int, change func()) {
			t.Helper()
			calls := c.callsDuring(func() {
				change()
				time.Sleep(seconds * time.Second)
			})
			if calls > limit {
				t.Errorf("%s: %d calls in %d s, want at most %d", what, calls, seconds, limit)
			}
			for i, n := range c.nodes {
				if !c.logs[i].unavailable.Load() && !n.Freshness.IsFresh() {
					t.Errorf("%s: the view of node %d is not fresh", what, i)
				}
			}
		}
		const steady = readers * readerRate * seconds
		observe("steady state", steady, func() {})
		reader := c.readingNode()
		observe("a reader is silent", steady+2*count/readers, func() { c.network.SetStalled(nodeAddress(reader), true) })
		c.network.SetStalled(nodeAddress(reader), false)
		time.Sleep(15 * time.Second)
		observe("the history is compacted", steady+2*readers+count, func() {
			c.log.Compact(quetzalroad.LogStreamOperators)
			c.log.Compact(quetzalroad.LogStreamUpstreams)
		})
		reader = c.readingNode()
		observe("the log turns a third of the nodes away", steady+2*count, func() {
			for i := range count / 3 {
				c.logs[(reader+3*i)%count].unavailable.Store(true)
			}
		})
		for _, l := range c.logs {
			l.unavailable.Store(false)
		}
		time.Sleep(15 * time.Second)
		c.log.SetUnavailable(true)
		calls := c.callsDuring(func() { time.Sleep(seconds * time.Second) })
		if limit := steady + count*seconds; calls > limit {
			t.Errorf("the log is away: %d calls in %d s, want at most %d", calls, seconds, limit)
		}
		c.log.SetUnavailable(false)
		c.eventually(t, 3*time.Second, "fresh again", func(n *kernel.Node) bool { return n.Freshness.IsFresh() })
	})
}

// Each node sees only a part of the traffic. What one measures must reach the others through their
// reader within about two intervals.
func TestObservationsReachTheOtherNodes(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		reader := c.readerNode(t)
		upstream := c.nodes[0].Directory.Upstreams()[0].Name
		sender := c.nodes[(reader+1)%len(c.nodes)]
		now := time.Now()
		sender.LoadTracker.ObserveInterToken(upstream, now, 70*time.Millisecond)
		sender.LoadTracker.UpdateReport(upstream, now, quetzalroad.LoadReport{MeasuredAt: now, Running: 5, Waiting: 2})
		c.eventually(t, 1500*time.Millisecond, "aware of the latency", func(n *kernel.Node) bool {
			return n.LoadTracker.Estimate(upstream, time.Now()).InterTokenLatency == 70*time.Millisecond
		})
		for i, n := range c.nodes {
			if e := n.LoadTracker.Estimate(upstream, time.Now()); e.Running != 7 {
				t.Errorf("node %d estimates %d requests, want the 7 that the upstream reported", i, e.Running)
			}
		}
	})
}

// A registration with a time far ahead would never expire, and its node would be taken for a reader for good.
func TestRegistrationWrittenFarAheadIsIgnored(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		value, err := nodemapper.EncodeRegistration(quetzalroad.NodeRegistration{DataCentre: "west-1", Address: nodeAddress(9), WrittenAt: time.Now().Add(1000 * time.Hour)})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.log.PutKeyed(t.Context(), quetzalroad.LogStreamNodes, "odd", value); err != nil {
			t.Fatal(err)
		}
		if _, err := c.log.PutKeyed(t.Context(), quetzalroad.LogStreamNodes, "nested", []byte(strings.Repeat("[", 200_000))); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		for i, n := range c.nodes {
			if got := len(n.Fleet.Nodes()); got != 3 {
				t.Errorf("node %d knows %d nodes, want 3", i, got)
			}
		}
	})
}

// With fewer nodes, each would allow itself more of the limits that all of them share.
func TestNodeWhoseRegistrationCannotBeDecodedStaysListed(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		c.logs[2].unavailable.Store(true)
		if _, err := c.log.PutKeyed(t.Context(), quetzalroad.LogStreamNodes, "node-2", []byte("bytes of another writer")); err != nil {
			t.Fatal(err)
		}
		for _, step := range []struct {
			wait time.Duration
			want int
		}{{30 * time.Second, 3}, {30 * time.Second, 3}, {3 * time.Minute, 2}} {
			time.Sleep(step.wait)
			for i, n := range c.nodes[:2] {
				if got := len(n.Fleet.Nodes()); got != step.want {
					t.Errorf("node %d knows %d nodes, want %d", i, got, step.want)
				}
			}
		}
	})
}
