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
