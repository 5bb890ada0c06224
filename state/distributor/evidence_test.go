package distributor_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/nodemapper"
	"github.com/quetzalroad/quetzalroad/decisions/quarantiner"
	"github.com/quetzalroad/quetzalroad/kernel"
)

func lose(n *kernel.Node, count int, segment string) {
	for i := range count {
		u := quetzalroad.UpstreamName(fmt.Sprintf("%s-%s-%d", n.Name, segment, i))
		n.Quarantine.RecordLoss(time.Now(), u, n.Quarantine.Expose([]quetzalroad.PromptSegment{{ID: segment}}))
	}
}

func hasQuarantine(n *kernel.Node) bool {
	return len(n.Quarantine.Quarantined(time.Now())) > 0
}

// One node sees one loss; only together they know enough.
func TestEvidenceReachesAllNodes(t *testing.T) {
	const noticeTime = 3 * time.Second
	for _, count := range []int{3, 8} {
		t.Run(fmt.Sprintf("%d nodes", count), func(t *testing.T) {
			runInCluster(t, count, func(t *testing.T, c *cluster) {
				for _, n := range c.nodes {
					n.Quarantine.RecordExit(time.Now(), "a")
					n.Quarantine.RecordExit(time.Now(), "b")
				}
				lose(c.nodes[0], 1, "x")
				lose(c.nodes[1], 1, "x")
				time.Sleep(noticeTime)
				lose(c.nodes[2], 1, "x")
				c.eventually(t, noticeTime, "aware of the quarantine", hasQuarantine)
				c.nodes[1].Quarantine.RecordComplete(time.Now(), []quetzalroad.PromptSegment{{ID: "x"}})
				c.eventually(t, noticeTime, "aware of the release", func(n *kernel.Node) bool { return !hasQuarantine(n) })
			})
		})
	}
}

func TestEvidenceCostsFewCallsWithoutLosses(t *testing.T) {
	const (
		span = time.Minute
		// mostReads is what the exit of a single upstream costs a node that noticed it.
		mostReads = 2
	)
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		calls := func() (total int64) {
			for _, l := range c.logs {
				total += l.calls.Load()
			}
			return total
		}
		callsOfSpan := func() int64 {
			before := calls()
			time.Sleep(span)
			return calls() - before
		}
		// The calls of different spans differ a little, as their intervals don't divide a span.
		var quiet int64
		for range 5 {
			quiet = max(quiet, callsOfSpan())
		}
		c.nodes[0].Quarantine.RecordExit(time.Now(), "a")
		if got := callsOfSpan(); got > quiet+mostReads {
			t.Errorf("%d calls to the log after the exit of one upstream, at most %d before", got, quiet)
		}
	})
}

func TestStartedNodeKnowsTheQuarantine(t *testing.T) {
	for _, count := range []int{3, 8} {
		t.Run(fmt.Sprintf("%d nodes", count), func(t *testing.T) {
			runInCluster(t, count, func(t *testing.T, c *cluster) {
				lose(c.nodes[0], 5, "x")
				time.Sleep(2 * time.Second)
				n := c.startNode(t, count)
				for n.Ready() != nil {
					time.Sleep(10 * time.Millisecond)
				}
				if !hasQuarantine(n) {
					t.Error("a node is ready that does not know the quarantine")
				}
			})
		})
	}
}

// A node that notices a single exit learns what the others know.
func TestNodeThatNoticesOneExitLearnsOfTheOthers(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		c.nodes[2].Quarantine.RecordExit(time.Now(), "a")
		time.Sleep(time.Second)
		lose(c.nodes[0], 5, "x")
		c.eventually(t, 3*time.Second, "aware of the quarantine", func(n *kernel.Node) bool { return n == c.nodes[1] || hasQuarantine(n) })
	})
}

// The evidence of a node outlives the node.
func TestQuarantineSurvivesTheNodesThatFoundIt(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		for _, n := range c.nodes {
			n.Quarantine.RecordExit(time.Now(), "a")
			n.Quarantine.RecordExit(time.Now(), "b")
		}
		lose(c.nodes[0], 5, "x")
		c.eventually(t, 3*time.Second, "aware of the quarantine", hasQuarantine)
		c.nodes[0].Stop(t.Context())
		time.Sleep(10 * time.Second)
		n := c.startNode(t, 3)
		for n.Ready() != nil {
			time.Sleep(10 * time.Millisecond)
		}
		if !hasQuarantine(n) {
			t.Error("the quarantine ended with the node that found it")
		}
	})
}

func TestOperatorsLiftReleasesTheSegment(t *testing.T) {
	const noticeTime = 30 * time.Second
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		lose(c.nodes[0], 5, "x")
		c.eventually(t, noticeTime, "aware of the quarantine", hasQuarantine)
		evidence, ok := quarantiner.Lift([]quetzalroad.LossEvidence{c.nodes[1].Quarantine.Evidence()}, "x")
		if !ok {
			t.Fatal("no losses to lift")
		}
		nodes := len(c.nodes[0].Fleet.Nodes())
		value, err := nodemapper.EncodeRegistration(quetzalroad.NodeRegistration{DataCentre: "operator", Address: netip.MustParseAddrPort("0.0.0.0:0"), WrittenAt: time.Now(), Evidence: &evidence})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.log.PutKeyed(t.Context(), quetzalroad.LogStreamNodes, "operator", value); err != nil {
			t.Fatal(err)
		}
		c.eventually(t, noticeTime, "aware of the release", func(n *kernel.Node) bool { return !hasQuarantine(n) })
		if got := len(c.nodes[0].Fleet.Nodes()); got != nodes {
			t.Errorf("%d nodes after the operator's record, %d before", got, nodes)
		}
	})
}

// A node that is cut off from the log hears of no exit; once it is back, requests reach it again.
func TestNodeThatWasCutOffLearnsTheQuarantineAtOnce(t *testing.T) {
	const noticeTime = 3 * time.Second
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		for _, phase := range []time.Duration{0, 7 * time.Second, 13 * time.Second} {
			time.Sleep(phase)
			segment := "x-" + phase.String()
			c.logs[2].unavailable.Store(true)
			lose(c.nodes[0], 5, segment)
			time.Sleep(30 * time.Second)
			c.logs[2].unavailable.Store(false)
			c.eventually(t, noticeTime, "aware of the quarantine", func(n *kernel.Node) bool {
				return slices.ContainsFunc(n.Quarantine.Quarantined(time.Now()), func(s quetzalroad.QuarantinedSegment) bool { return s.ID == segment }) || n == c.nodes[1]
			})
		}
	})
}
