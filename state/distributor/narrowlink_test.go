package distributor_test

import (
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
)

// applyDeadline is the time within which a published state has to be in force.
const applyDeadline = 4 * time.Second

// Guards against nodes that never get a large state through a narrow link, as each read of it ends before its
// transfer.
func TestLargeStateIsInForceBehindNarrowLinks(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		reader := c.readerNode(t)
		c.network.SetStateTransfer(time.Second)
		for i, l := range c.logs {
			if i != reader {
				l.stateTransfer.Store(int64(1200 * time.Millisecond))
			}
		}
		for version := int64(2); version < 6; version++ {
			c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(version))
			c.eventually(t, applyDeadline, "at the published version", func(n *kernel.Node) bool { return n.Freshness.Version() == version })
		}
		if readers := c.readingNodes(4 * time.Second); len(readers) != 1 {
			t.Errorf("nodes %v read the log, want only the reader", readers)
		}
	})
}

// Guards against a node that loses the log while it receives a large state, as the log alone can be read.
func TestLargeStateIsInForceAtNodesThatReadTheLogThemselves(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		for _, l := range c.logs {
			l.stateTransfer.Store(int64(2 * time.Second))
		}
		for version := int64(2); version < 6; version++ {
			c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(version))
			c.eventually(t, applyDeadline, "at the published version", func(n *kernel.Node) bool { return n.Freshness.Version() == version })
		}
	})
}

// Guards against nodes that wait for a reader whose link is so narrow that the state is in force too late.
func TestNodesTurnFromAReaderWithANarrowLinkInTime(t *testing.T) {
	runInCluster(t, 8, func(t *testing.T, c *cluster) {
		c.network.SetStateTransfer(10 * time.Second)
		for _, l := range c.logs {
			l.stateTransfer.Store(int64(500 * time.Millisecond))
		}
		c.log.Put(quetzalroad.LogStreamOperators, "config", publishedState(2))
		c.eventually(t, applyDeadline, "at the published version", func(n *kernel.Node) bool { return n.Freshness.Version() == 2 })
	})
}
