package prover

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
)

var (
	seeds     = flag.Int("seeds", 20, "number of seeds of the randomised tests")
	firstSeed = flag.Int("first-seed", 1, "first seed of the randomised tests")
)

// step is one event of a randomised run.
type step struct {
	// kind is one of stepKinds.
	kind string
	// selector selects the node, engine or data centre that the step affects, or seeds its faults.
	selector int
	// pause is the time until the next step.
	pause time.Duration
}

// stepKinds are requests, operations by operators, and faults. Those listed twice are twice as likely.
var stepKinds = []string{
	"chats", "chats", "drafts", "bookings", "bookings", "change", "drain", "undrain", "engine-down", "engine-up", "engine-slow",
	"engine-sound", "silence", "log-down", "log-up", "lose-answers", "cut-places", "heal-places", "cut-log", "heal-log", "kill", "start", "stop",
}

// String formats a step for the output of a failed run.
func (s step) String() string {
	return fmt.Sprintf("%s(%d) then %s", s.kind, s.selector, s.pause)
}

// drawSteps draws the steps of a run.
func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:     rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			selector: rapid.IntRange(0, 11).Draw(t, "which"),
			pause:    time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond,
		}
	}), 5, 25).Draw(t, "steps")
}

// randomRun is the state of a randomised run.
type randomRun struct {
	*fixture
	group sync.WaitGroup
	mu    sync.Mutex
	// The fields below are guarded by mu. created numbers requests, keys, changes and nodes.
	problems        []string
	bookingOutcomes map[string]*callerOutcomes
	created         int
	// acceptedRevision is the highest revision that was reported as accepted.
	acceptedRevision quetzalroad.Revision
}

func (r *randomRun) reportProblem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// selectNode returns the node for a selector.
func (r *randomRun) selectNode(selector int) *kernel.Node {
	return r.Nodes[selector%len(r.Nodes)]
}

func (r *randomRun) selectEngine(selector int) quetzalroad.UpstreamName {
	return quetzalroad.UpstreamName(fmt.Sprintf("%s-engine-%d", dataCentres[selector%len(dataCentres)], selector%enginesPerDataCentre))
}

// execute executes one step.
func (r *randomRun) execute(s step) {
	engine := r.ChatClient.Engines[r.selectEngine(s.selector)]
	switch s.kind {
	case "chats":
		r.sendChats(s, "chat", 8)
	case "drafts":
		r.sendChats(s, "draft", 8)
	case "bookings":
		r.sendBooking(s)
	case "change":
		r.publishChange(s)
	case "drain":
		r.drainEngine(s)
	case "undrain":
		r.undrainEngine(s)
	case "engine-down":
		engine.SetDown(true)
	case "engine-up":
		engine.SetDown(false)
	case "engine-slow":
		engine.SetSlowdown(5)
	case "engine-sound":
		engine.SetSlowdown(1)
	case "silence":
		engine.StallStreams()
	case "log-down", "log-up":
		r.Log.SetDown(s.kind == "log-down")
	case "lose-answers":
		r.Log.SetResponseLoss(0.3, uint64(s.selector))
		r.ServiceClient.SetFaults(0.1, 0.1, 0.1, uint64(s.selector))
	case "cut-places", "heal-places":
		r.Network.SetPartitioned("east", "west", s.kind == "cut-places")
	case "cut-log", "heal-log":
		r.Log.SetPartitioned(r.selectNode(s.selector).Name, s.kind == "cut-log")
	case "kill", "stop", "start":
		r.changeNodes(s)
	}
}

// sendChats sends chats to consecutive nodes and checks each response.
func (r *randomRun) sendChats(s step, profile string, count int) {
	for i := range count {
		n := r.selectNode(s.selector + i)
		r.mu.Lock()
		r.created++
		id := fmt.Sprintf("%s-%d", profile, r.created)
		r.mu.Unlock()
		r.group.Go(func() {
			c := newChat(n, id, profile)
			sink := &textSink{}
			err := n.Dispatcher.Chat(context.Background(), c, sink)
			if err == nil && sink.text.String() != r.ChatClient.ExpectedResponse(c) {
				r.reportProblem("%s did not get its own complete response", id)
			}
			if err != nil && outcomeOf(err) == quetzalroad.OutcomeNotRun && sink.text.Len() > 0 {
				r.reportProblem("%s was reported as not run after part of its response was sent", id)
			}
		})
	}
}

// sendBooking sends a booking under one key to three nodes.
func (r *randomRun) sendBooking(s step) {
	r.mu.Lock()
	r.created++
	key := fmt.Sprintf("key-%d", r.created)
	outcomes := &callerOutcomes{}
	if r.bookingOutcomes == nil {
		r.bookingOutcomes = make(map[string]*callerOutcomes)
	}
	r.bookingOutcomes[key] = outcomes
	r.mu.Unlock()
	for i := range 3 {
		n := r.selectNode(s.selector + i)
		r.group.Go(func() {
			_, err := n.Dispatcher.Call(context.Background(), newBooking(n, fmt.Sprintf("%s-%d", key, i), key))
			r.mu.Lock()
			defer r.mu.Unlock()
			switch outcomeOf(err) {
			case quetzalroad.OutcomeCompleted:
				outcomes.completed++
			case quetzalroad.OutcomeNotRun:
				outcomes.notRun++
			case quetzalroad.OutcomeUnknown:
				outcomes.unknown++
			}
		})
	}
}

func (r *randomRun) publishChange(s step) {
	n := r.selectNode(s.selector)
	r.mu.Lock()
	r.created++
	c := newChange(n, time.Duration(1000+r.created)*time.Millisecond)
	r.mu.Unlock()
	r.group.Go(func() {
		result, err := n.Publisher.Publish(context.Background(), c)
		if err == nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.acceptedRevision = max(r.acceptedRevision, result.Revision)
		}
	})
}

func (r *randomRun) drainEngine(s step) {
	n, name := r.selectNode(s.selector), r.selectEngine(s.selector)
	r.group.Go(func() {
		// Whether the drain succeeds does not matter; verify compares the state of the nodes.
		_, _ = n.Drainer.Drain(context.Background(), name, "test")
	})
}

func (r *randomRun) undrainEngine(s step) {
	n, name := r.selectNode(s.selector), r.selectEngine(s.selector)
	r.group.Go(func() {
		// If the undrain is refused, the upstream stays drained.
		_, _ = n.Drainer.Undrain(context.Background(), name, "test")
	})
}

// changeNodes kills, stops or starts a node. At least two nodes remain, at most six run.
func (r *randomRun) changeNodes(s step) {
	if s.kind == "start" {
		r.mu.Lock()
		r.created++
		name := fmt.Sprintf("late-%d", r.created)
		r.mu.Unlock()
		if len(r.Nodes) < 6 {
			r.addNode(name, dataCentres[s.selector%len(dataCentres)])
			// A load balancer sends requests to a node only once it is ready.
			r.waitReady(r.Nodes[len(r.Nodes)-1])
		}
		return
	}
	if len(r.Nodes) <= 2 {
		return
	}
	removed := r.selectNode(s.selector)
	var remaining []*kernel.Node
	for _, n := range r.Nodes {
		if n != removed {
			remaining = append(remaining, n)
		}
	}
	r.Nodes = remaining
	r.VMList.Remove(string(removed.Name))
	if s.kind == "stop" {
		r.group.Go(func() {
			removed.Stop(context.Background())
			if inFlight := removed.InFlight(); inFlight != 0 {
				r.reportProblem("the graceful stop of %s interrupted %d requests", removed.Name, inFlight)
			}
		})
		return
	}
	removed.Kill()
}

// waitReady waits up to 5 s for a new node to become ready. A node that can't, since it reaches
// neither the log nor a peer, is removed again.
func (r *randomRun) waitReady(n *kernel.Node) {
	for range 50 {
		if n.Ready() == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.Nodes = r.Nodes[:len(r.Nodes)-1]
	r.VMList.Remove(string(n.Name))
	n.Kill()
}

// clearFaults ends all faults except stalled streams, which stay stalled.
func (r *randomRun) clearFaults() {
	r.Log.SetDown(false)
	r.Log.SetResponseLoss(0, 1)
	r.ServiceClient.SetFaults(0, 0, 0, 1)
	r.Network.SetPartitioned("east", "west", false)
	for _, n := range r.Nodes {
		r.Log.SetPartitioned(n.Name, false)
	}
	for _, engine := range r.ChatClient.Engines {
		engine.SetDown(false)
		engine.SetSlowdown(1)
	}
}

// verify checks what must hold after all faults have ended.
func (r *randomRun) verify() {
	time.Sleep(replicationLimit + 2*time.Second)
	for _, violation := range r.InvariantViolations() {
		r.reportProblem("invariant broken: %s", violation)
	}
	for _, n := range r.Nodes {
		if err := n.Ready(); err != nil {
			r.reportProblem("%s is not ready after the faults ended: %v", n.Name, err)
		}
		p, _ := n.Directory.Profile("chat")
		if p.Revision < r.acceptedRevision {
			r.reportProblem("%s has revision %d of a profile, but %d was accepted", n.Name, p.Revision, r.acceptedRevision)
		}
		if first := r.Nodes[0]; n.Directory.AppliedOffset() != first.Directory.AppliedOffset() || firstTokenTarget(n) != firstTokenTarget(first) {
			r.reportProblem("%s and %s differ: offsets %d and %d", n.Name, first.Name, n.Directory.AppliedOffset(), first.Directory.AppliedOffset())
		}
	}
	for key, got := range r.bookingOutcomes {
		runs := r.ServiceClient.Executions(key)
		switch {
		case runs > 1:
			r.reportProblem("%s ran %d times", key, runs)
		case runs == 0 && got.completed > 0:
			r.reportProblem("%s did not run, but was reported as completed", key)
		case runs == 1 && got.completed+got.unknown == 0:
			r.reportProblem("%s ran, but was reported as not run %d times", key, got.notRun)
		}
	}
}

// runSteps executes the steps of a run, ends all faults, and returns the problems found.
func runSteps(t *testing.T, steps []step) []string {
	var problems []string
	runWithNodes(t, 4, func(_ *testing.T, x *fixture) {
		r := &randomRun{fixture: x}
		for _, s := range steps {
			r.execute(s)
			time.Sleep(s.pause)
		}
		r.clearFaults()
		r.group.Wait()
		r.verify()
		problems = r.problems
	})
	return problems
}

func TestRandomHistories(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		for name, value := range map[string]string{"rapid.seed": strconv.Itoa(seed), "rapid.checks": "5", "rapid.nofailfile": "true"} {
			if err := flag.Set(name, value); err != nil {
				t.Fatal(err)
			}
		}
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				if problems := runSteps(t, drawSteps(rt)); len(problems) > 0 {
					rt.Fatalf("%d problems, the first: %s", len(problems), problems[0])
				}
			})
		})
	}
}
