package distributor_test

import (
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
)

// configDeadline is the time within which an acknowledged state has to be in force.
const configDeadline = 3 * time.Second

func isAtVersion(version int64) func(n *kernel.Node) bool {
	return func(n *kernel.Node) bool { return n.Freshness.Version() == version }
}

func TestNodesBehindAReaderFollowARestoredLog(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		older := c.log.Copy()
		c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(2))
		c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(3))
		c.eventually(t, configDeadline, "at version 3", isAtVersion(3))
		c.log.SetUnavailable(true)
		time.Sleep(2 * time.Second)
		c.log.Restore(older)
		c.log.SetUnavailable(false)
		time.Sleep(4 * time.Second)
		c.eventually(t, 0, "at version 3 still", isAtVersion(3))
		c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(4))
		c.eventually(t, configDeadline, "at version 4", isAtVersion(4))
	})
}

func TestLogRestoredTwiceIsFollowed(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		older := c.log.Copy()
		for version := int64(2); version <= 5; version += 3 {
			c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(version))
			c.eventually(t, configDeadline, "at the version before the restore", isAtVersion(version))
			c.log.Restore(older)
			// Two writes at once reach the end of the stream of before.
			c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(version+1))
			c.log.Put(quetzalroad.LogStreamOperators, "another-key", "no state")
			c.eventually(t, configDeadline, "at the version after the restore", isAtVersion(version+1))
		}
	})
}

func TestNodeThatSawOnlyTheLaterEpochsIsServed(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		older := c.log.Copy()
		c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(2))
		c.eventually(t, configDeadline, "at version 2", isAtVersion(2))
		for _, l := range c.logs[:4] {
			l.unavailable.Store(true)
		}
		c.log.Restore(older)
		c.log.Restore(older)
		c.startNode(t, 8)
		time.Sleep(time.Second)
		c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(3))
		time.Sleep(time.Second)
		for _, l := range c.logs[:4] {
			l.unavailable.Store(false)
		}
		c.eventually(t, configDeadline, "at version 3", isAtVersion(3))
	})
}

// emptyCopy returns the copy of a log in which no node has registered yet.
func emptyCopy() faker.LogCopy {
	var log faker.KeyedLog
	log.Put(quetzalroad.LogStreamOperators, "config", publishedState(1))
	log.Put(quetzalroad.LogStreamUpstreams, "a", registration(1, false))
	return log.Copy()
}

func TestNodesRegisterAgainWithoutAHerdOnceTheLogLostTheirRegistrations(t *testing.T) {
	const (
		count = 195
		// spread is the default of rewrite-spread, step the resolution of the check, and mostInStep the most
		// writes in it, which is a quarter of all.
		spread     = 2 * time.Second
		step       = 100 * time.Millisecond
		mostInStep = count / 4
		// mostReaders is the number of nodes that read the log, at 24 nodes for each. They read three streams,
		// at most every 600 ms; a node behind them writes its registration.
		mostReaders           = 9
		mostCallsOfReader     = 60
		mostCallsBehindReader = 1
	)
	runInCluster(t, count, func(t *testing.T, c *cluster) {
		c.log.Restore(emptyCopy())
		var before int64
		callsBefore := make([]int64, count)
		for i, l := range c.logs {
			before += l.writes.Load()
			callsBefore[i] = l.calls.Load()
		}
		start, previous := time.Now(), before
		for time.Since(start) < spread+5*time.Second {
			time.Sleep(step)
			var writes int64
			for _, l := range c.logs {
				writes += l.writes.Load()
			}
			if got := writes - previous; got > mostInStep {
				t.Errorf("%d nodes wrote within %s", got, step)
			}
			previous = writes
		}
		if got := previous - before; got != count {
			t.Errorf("%d writes after the restore, want one of each of %d nodes", got, count)
		}
		c.eventually(t, configDeadline, "aware of all nodes", func(n *kernel.Node) bool { return len(n.Fleet.Nodes()) == count })
		records, _, err := c.log.ReadLatest(t.Context(), quetzalroad.LogStreamNodes)
		if err != nil || len(records) != count {
			t.Errorf("%d nodes in the log, want %d (%v)", len(records), count, err)
		}
		readers := 0
		for i, l := range c.logs {
			switch got := l.calls.Load() - callsBefore[i]; {
			case got <= mostCallsBehindReader:
			case got <= mostCallsOfReader:
				readers++
			default:
				t.Errorf("node %d called the log %d times", i, got)
			}
		}
		if readers > mostReaders {
			t.Errorf("%d nodes read the log themselves", readers)
		}
	})
}

// Evidence that is only in the log's lost records would end with the nodes that hold it.
func TestNodeThatStartsAfterARestoreKnowsTheQuarantine(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		lose(c.nodes[0], 5, "x")
		time.Sleep(2 * time.Second)
		c.log.Restore(emptyCopy())
		time.Sleep(5 * time.Second)
		n := c.startNode(t, 3)
		for n.Ready() != nil {
			time.Sleep(10 * time.Millisecond)
		}
		if !hasQuarantine(n) {
			t.Error("a node is ready that does not know the quarantine")
		}
	})
}

// propagate publishes a version and returns the times until the nodes have it in force, in ascending order.
func (c *cluster) propagate(t *testing.T, version int64, among []*kernel.Node) []time.Duration {
	t.Helper()
	start := time.Now()
	c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(version))
	var delays []time.Duration
	for pending := among; len(pending) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 2*configDeadline {
			t.Errorf("%d of %d nodes are not at version %d after %s", len(pending), len(among), version, 2*configDeadline)
			break
		}
		var rest []*kernel.Node
		for _, n := range pending {
			if n.Freshness.Version() < version {
				rest = append(rest, n)
				continue
			}
			delays = append(delays, time.Since(start))
		}
		pending = rest
	}
	return delays
}

func TestVersionPublishedRightAfterARestoreIsInForceOnTime(t *testing.T) {
	const count = 195
	for name, disrupt := range map[string]func(c *cluster, readers []int){
		"calm": func(*cluster, []int) {},
		"readers stalled": func(c *cluster, readers []int) {
			for _, i := range readers[:len(readers)/2] {
				c.network.SetStalled(nodeAddress(i), true)
				c.logs[i].unavailable.Store(true)
			}
		},
		"readers cut off from the log": func(c *cluster, readers []int) {
			for _, i := range readers[:len(readers)/2] {
				c.logs[i].unavailable.Store(true)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, count, func(t *testing.T, c *cluster) {
				readers := c.readingNodes(4 * time.Second)
				older := c.log.Copy()
				c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(2))
				c.eventually(t, configDeadline, "at version 2", isAtVersion(2))
				c.log.SetUnavailable(true)
				time.Sleep(2 * time.Second)
				c.log.Restore(older)
				c.log.SetUnavailable(false)
				disrupt(c, readers)
				var reachable []*kernel.Node
				for i, n := range c.nodes {
					if !c.logs[i].unavailable.Load() {
						reachable = append(reachable, n)
					}
				}
				delays := c.propagate(t, 3, reachable)
				if len(delays) == 0 {
					t.Fatal("no node has the version in force")
				}
				last := delays[len(delays)-1]
				t.Logf("median %s, 99th percentile %s, last %s of %d nodes", delays[len(delays)/2], delays[len(delays)*99/100], last, len(delays))
				if last > configDeadline {
					t.Errorf("in force everywhere after %s, want %s", last, configDeadline)
				}
			})
		})
	}
}

// During a roll, a reader may be of a build that states no epochs. Its records can't be placed.
func TestNodesBehindAReaderOfAnEarlierBuildFollowTheLog(t *testing.T) {
	for name, earlierBuilds := range map[string]map[int]bool{
		"all": {0: true, 1: true, 2: true, 3: true, 4: true, 5: true, 6: true, 7: true}, "half": {0: true, 2: true, 4: true, 6: true},
	} {
		t.Run(name, func(t *testing.T) {
			runInMixedCluster(t, 8, earlierBuilds, func(t *testing.T, c *cluster) {
				older := c.log.Copy()
				c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(2))
				c.eventually(t, configDeadline, "at version 2", isAtVersion(2))
				c.log.Restore(older)
				c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(3))
				c.log.Put(quetzalroad.LogStreamOperators, "another-key", "no state")
				c.eventually(t, configDeadline, "at version 3", isAtVersion(3))
				c.log.Put(quetzalroad.LogStreamUpstreams, "a", registration(2, true))
				c.eventually(t, drainDeadline, "aware of the drain", allDraining)
			})
		})
	}
}
