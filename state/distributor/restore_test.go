package distributor_test

import (
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
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
