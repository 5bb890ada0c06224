package prover

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
)

const (
	// logPropagationLimit and replicationLimit are the required bounds on the time until a change
	// is in force on every node, through the log and by replication between nodes.
	logPropagationLimit = time.Second
	replicationLimit    = 3 * time.Second
	// drainLimit is the required bound on the time until a drain is in force on every node.
	drainLimit = 3 * time.Second
)

// newChange returns a change of the chat profile's first-token target, based on a node's state.
func newChange(n *kernel.Node, target time.Duration) quetzalroad.Change {
	p, _ := n.Directory.Profile("chat")
	base := p.Revision
	p.FirstTokenTarget = target
	return quetzalroad.Change{Kind: quetzalroad.ObjectProfile, Name: "chat", BaseRevision: base, Author: "test", Object: quetzalroad.Object{Profile: &p}}
}

// firstTokenTarget returns the chat profile's first-token target on a node.
func firstTokenTarget(n *kernel.Node) time.Duration {
	p, _ := n.Directory.Profile("chat")
	return p.FirstTokenTarget
}

func (x *fixture) targetInForce(want time.Duration) func() bool {
	return func() bool {
		for _, n := range x.Nodes {
			if firstTokenTarget(n) != want {
				return false
			}
		}
		return true
	}
}

func TestChangePropagatesThroughLog(t *testing.T) {
	runWithNodes(t, 6, func(t *testing.T, x *fixture) {
		if _, err := x.Nodes[0].Publisher.Publish(context.Background(), newChange(x.Nodes[0], 700*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		x.waitFor(logPropagationLimit, "change is in force on every node", x.targetInForce(700*time.Millisecond))
	})
}

func TestChangeReplicatesToDataCentreWithoutLog(t *testing.T) {
	runWithNodes(t, 6, func(t *testing.T, x *fixture) {
		for _, n := range x.Nodes {
			x.Log.SetPartitioned(n.Name, n.DataCentre == "west")
		}
		time.Sleep(time.Second)
		if _, err := x.Nodes[0].Publisher.Publish(context.Background(), newChange(x.Nodes[0], 700*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		x.waitFor(replicationLimit, "change is replicated to every node", x.targetInForce(700*time.Millisecond))
	})
}

func TestFirstOfTwoConflictingChangesWins(t *testing.T) {
	runWithNodes(t, 4, func(t *testing.T, x *fixture) {
		for round := range 100 {
			var group sync.WaitGroup
			var mu sync.Mutex
			accepted, conflicts := 0, 0
			var winner time.Duration
			for i, n := range []*kernel.Node{x.Nodes[round%4], x.Nodes[(round+1)%4]} {
				want := time.Duration(2000+10*round+i) * time.Millisecond
				c := newChange(n, want)
				group.Go(func() {
					_, err := n.Publisher.Publish(context.Background(), c)
					var conflict *quetzalroad.ConflictError
					mu.Lock()
					defer mu.Unlock()
					switch {
					case err == nil:
						accepted++
						winner = want
					case errors.As(err, &conflict):
						conflicts++
					default:
						t.Error(err)
					}
				})
			}
			group.Wait()
			if accepted != 1 || conflicts != 1 {
				t.Fatalf("round %d: %d accepted and %d conflicts, want 1 each", round, accepted, conflicts)
			}
			x.waitFor(logPropagationLimit, "the accepted change is in force on every node", x.targetInForce(winner))
		}
	})
}

func TestLostResponsesNeitherLoseNorRepeatChanges(t *testing.T) {
	runWithNodes(t, 4, func(t *testing.T, x *fixture) {
		x.Log.SetResponseLoss(0.5, 7)
		last := firstTokenTarget(x.Nodes[0])
		for round := range 50 {
			n := x.Nodes[round%4]
			want := time.Duration(2000+round) * time.Millisecond
			result, err := n.Publisher.Publish(context.Background(), newChange(n, want))
			if err != nil {
				t.Fatalf("round %d: %v", round, err)
			}
			p, _ := n.Directory.Profile("chat")
			if p.Revision != result.Revision {
				t.Fatalf("round %d: revision %d is in force, %d was reported", round, p.Revision, result.Revision)
			}
			last = want
			x.waitFor(logPropagationLimit, "change is in force on every node", x.targetInForce(last))
		}
		if got := x.Log.AppendCount(quetzalroad.LogStreamState); got <= 50 {
			t.Errorf("%d appends: no response was lost, so the test checks nothing", got)
		}
		time.Sleep(5 * time.Second)
		if !x.targetInForce(last)() {
			t.Error("a repeated append reverted the state")
		}
	})
}

func TestUnconfirmedChangeIsReported(t *testing.T) {
	runWithNodes(t, 2, func(t *testing.T, x *fixture) {
		x.Log.SetDown(true)
		_, err := x.Nodes[0].Publisher.Publish(context.Background(), newChange(x.Nodes[0], 700*time.Millisecond))
		var unconfirmed *quetzalroad.UnconfirmedError
		if !errors.As(err, &unconfirmed) {
			t.Errorf("err = %v, want an UnconfirmedError", err)
		}
		x.Log.SetDown(false)
	})
}

func TestEmptyNodeStartsFromPeersWhileTheLogIsAway(t *testing.T) {
	runWithNodes(t, 3, func(t *testing.T, x *fixture) {
		x.Log.SetDown(true)
		fresh := x.addNode("node-fresh", "east")
		elapsed := x.waitFor(2*time.Second, "the fresh node is ready", func() bool { return fresh.Ready() == nil })
		t.Logf("ready after %s", elapsed)
		if diff := cmp.Diff(x.Nodes[0].Directory.Upstreams(), fresh.Directory.Upstreams(), cmp.Comparer(equalUpstreams)); diff != "" {
			t.Errorf("upstreams (-old +fresh):\n%s", diff)
		}
		x.Log.SetDown(false)
	})
}

func TestNodeWithoutLogAndPeersIsNotReady(t *testing.T) {
	runWithNodes(t, 1, func(t *testing.T, x *fixture) {
		x.Log.SetDown(true)
		x.Nodes[0].Kill()
		fresh := x.addNode("node-fresh", "east")
		time.Sleep(5 * time.Second)
		if fresh.Ready() == nil {
			t.Error("a node without any state reports that it is ready")
		}
		x.Log.SetDown(false)
		x.waitFor(2*time.Second, "the node is ready", func() bool { return fresh.Ready() == nil })
	})
}

// publishChanges publishes a number of changes of the chat profile.
func (x *fixture) publishChanges(count int) {
	x.t.Helper()
	for i := range count {
		n := x.Nodes[0]
		if _, err := n.Publisher.Publish(context.Background(), newChange(n, time.Duration(2000+i)*time.Millisecond)); err != nil {
			x.t.Fatal(err)
		}
	}
}

func TestReplacingAllNodesAfterRetentionLosesNothing(t *testing.T) {
	runWithNodes(t, 3, func(t *testing.T, x *fixture) {
		x.publishChanges(1100)
		x.waitFor(30*time.Second, "a snapshot was written", func() bool {
			return x.Nodes[0].Vars.Get("snapshots-written") != nil || x.Nodes[1].Vars.Get("snapshots-written") != nil || x.Nodes[2].Vars.Get("snapshots-written") != nil
		})
		x.publishChanges(5)
		want := x.Nodes[0].Directory.Profiles()
		x.Log.TrimBefore(quetzalroad.LogStreamState, 1000)
		for _, n := range x.Nodes {
			n.Kill()
			x.VMList.Remove(string(n.Name))
		}
		x.Nodes = nil
		for i := range 3 {
			x.addNode(fmt.Sprintf("second-%d", i), dataCentres[i%2])
		}
		for _, n := range x.Nodes {
			x.waitFor(2*time.Second, "a replaced node is ready", func() bool { return n.Ready() == nil })
			if diff := cmp.Diff(want, n.Directory.Profiles()); diff != "" {
				t.Errorf("%s (-before +after):\n%s", n.Name, diff)
			}
		}
	})
}

func TestNodeBehindRetentionRecoversFromSnapshot(t *testing.T) {
	runWithNodes(t, 2, func(t *testing.T, x *fixture) {
		// A node that is partitioned from the log and from its peer falls behind
		// the log's retention.
		x.Network.SetPartitioned("east", "west", true)
		x.Log.SetPartitioned("node-1", true)
		x.publishChanges(1100)
		x.waitFor(30*time.Second, "a snapshot was written", func() bool { return x.Nodes[0].Vars.Get("snapshots-written") != nil })
		x.Log.TrimBefore(quetzalroad.LogStreamState, 900)
		x.Log.SetPartitioned("node-1", false)
		x.waitFor(3*time.Second, "the node has recovered", func() bool {
			return x.Nodes[1].Ready() == nil && firstTokenTarget(x.Nodes[1]) == firstTokenTarget(x.Nodes[0])
		})
		if x.Nodes[1].Vars.Get("log-gaps") == nil {
			t.Error("the node found no gap in the log, so the test checks nothing")
		}
	})
}

func TestTruncatedLogIsNotFollowed(t *testing.T) {
	runWithNodes(t, 2, func(t *testing.T, x *fixture) {
		x.publishChanges(20)
		want := firstTokenTarget(x.Nodes[0])
		before := x.Nodes[0].Directory.AppliedOffset()
		x.Log.Truncate(quetzalroad.LogStreamState, before-10)
		time.Sleep(15 * time.Second)
		for _, n := range x.Nodes {
			if got := n.Directory.AppliedOffset(); got < before {
				t.Errorf("%s moved back from offset %d to %d", n.Name, before, got)
			}
			if firstTokenTarget(n) != want {
				t.Errorf("%s reverted a change", n.Name)
			}
			if n.Vars.Get("log-tail-lost") == nil {
				t.Errorf("%s did not count log-tail-lost", n.Name)
			}
		}
	})
}

func TestInvalidRecordsAreSkippedOnEveryNode(t *testing.T) {
	runWithNodes(t, 3, func(t *testing.T, x *fixture) {
		for _, data := range []string{"", "{", `{"format":99,"kind":"change"}`, `{"format":1,"kind":"change","change":{"id":"x","kind":"profile","name":"p","object":{"tier":"high"}}}`} {
			x.Log.AppendDirectly(quetzalroad.LogStreamState, []byte(data))
		}
		x.publishChanges(1)
		x.waitFor(logPropagationLimit, "the next change is in force", x.targetInForce(2*time.Second))
		for _, n := range x.Nodes {
			if got := n.Vars.Get("records-set-aside").String(); got != "4" {
				t.Errorf("%s: records-set-aside = %s, want 4", n.Name, got)
			}
		}
	})
}

func TestPartitionsHealWithoutRevertingAnything(t *testing.T) {
	runWithNodes(t, 6, func(t *testing.T, x *fixture) {
		for round := range 2 {
			x.Network.SetPartitioned("east", "west", true)
			for _, n := range x.Nodes {
				x.Log.SetPartitioned(n.Name, n.DataCentre == "west")
			}
			want := time.Duration(800+round) * time.Millisecond
			old := firstTokenTarget(x.Nodes[1])
			if _, err := x.Nodes[0].Publisher.Publish(context.Background(), newChange(x.Nodes[0], want)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Second)
			if got := firstTokenTarget(x.Nodes[1]); got != old {
				t.Errorf("round %d: the partitioned node has target %s", round, got)
			}
			if r := x.runChats(12, time.Second, "chat"); r.outcomes[quetzalroad.OutcomeCompleted] != 12 {
				t.Errorf("round %d: during the partition: outcomes %v, reasons %v; want 12 completed", round, r.outcomes, r.reasons)
			}
			x.Network.SetPartitioned("east", "west", false)
			for _, n := range x.Nodes {
				x.Log.SetPartitioned(n.Name, false)
			}
			x.waitFor(replicationLimit, "the change is in force after the partition", x.targetInForce(want))
		}
	})
}

// equalUpstreams compares upstreams for cmp, which can't read the unexported fields of addresses.
func equalUpstreams(a, b quetzalroad.Upstream) bool {
	return a == b
}

func TestDrainWorksWithLogUpAndDown(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("log down %t", down), func(t *testing.T) {
			runWithNodes(t, 6, func(t *testing.T, x *fixture) {
				x.Log.SetDown(down)
				drained := quetzalroad.UpstreamName("east-engine-1")
				finished := make(chan struct{})
				go func() {
					defer close(finished)
					// With the log down, the drain may be reported as unconfirmed.
					_, _ = x.Nodes[0].Drainer.Drain(context.Background(), drained, "test")
				}()
				x.waitFor(drainLimit, "no node has the drained engine as a candidate", func() bool {
					for _, n := range x.Nodes {
						for _, u := range n.CapacityEstimator.Candidates(time.Now(), "llm", nil) {
							if u.Name == drained {
								return false
							}
						}
					}
					return true
				})
				before := x.ChatClient.Engines[drained].Stats().Requests
				x.runChats(48, 4*time.Second, "chat")
				if after := x.ChatClient.Engines[drained].Stats().Requests; after != before {
					t.Errorf("the drained engine received %d new requests", after-before)
				}
				x.Log.SetDown(false)
				x.waitFor(15*time.Second, "the drain is published", func() bool {
					u, _ := x.Nodes[5].Directory.Upstream(drained)
					return u.Draining
				})
				<-finished
			})
		})
	}
}

func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	runWithNodes(t, 3, func(t *testing.T, x *fixture) {
		leaving := quetzalroad.UpstreamName("east-engine-2")
		for _, n := range x.Nodes {
			n.LoadTracker.SetLeaving(leaving, true)
		}
		time.Sleep(20 * time.Millisecond)
		before := x.ChatClient.Engines[leaving].Stats().Requests
		x.runChats(24, 2*time.Second, "chat")
		if after := x.ChatClient.Engines[leaving].Stats().Requests; after != before {
			t.Errorf("the leaving engine received %d new requests", after-before)
		}
	})
}
