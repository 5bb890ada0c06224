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
	seeds     = flag.Int("seeds", 20, "number of seeds of the randomised runs")
	firstSeed = flag.Int("first-seed", 1, "first seed of the randomised runs")
)

// step is one thing that happens in a randomised run.
type step struct {
	// kind is one of the kinds below.
	kind string
	// which picks the node, the engine or the place it concerns.
	which int
	// pause is the time until the next step.
	pause time.Duration
}

// kinds are the things that happen: work, operators and faults.
var kinds = []string{
	"chats", "chats", "drafts", "bookings", "bookings", "change", "drain", "undrain", "engine-down", "engine-up", "engine-slow",
	"engine-sound", "silence", "log-down", "log-up", "lose-answers", "cut-places", "heal-places", "cut-log", "heal-log", "kill", "start", "stop",
}

// String gives a step for the history of a failed run.
func (s step) String() string {
	return fmt.Sprintf("%s(%d) then %s", s.kind, s.which, s.pause)
}

// drawSteps draws a history.
func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			which: rapid.IntRange(0, 11).Draw(t, "which"),
			pause: time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond,
		}
	}), 5, 25).Draw(t, "steps")
}

// run is a randomised run under way.
type run struct {
	*fixture
	group sync.WaitGroup
	mu    sync.Mutex
	// The fields below are guarded by mu.
	problems []string
	bookings map[string]*told
	started  int
	// accepted is the highest revision that was told as accepted.
	accepted quetzalroad.Revision
}

func (s *run) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// node gives a node to talk to.
func (s *run) node(which int) *kernel.Node {
	return s.Nodes[which%len(s.Nodes)]
}

func (s *run) engine(which int) quetzalroad.UpstreamName {
	return quetzalroad.UpstreamName(fmt.Sprintf("%s-engine-%d", places[which%len(places)], which%enginesPerPlace))
}

// do does one step.
func (s *run) do(x step) {
	machine := s.ChatClient.Engines[s.engine(x.which)]
	switch x.kind {
	case "chats":
		s.chats(x, "chat", 8)
	case "drafts":
		s.chats(x, "draft", 8)
	case "bookings":
		s.book(x)
	case "change":
		s.change(x)
	case "drain":
		s.drain(x)
	case "undrain":
		s.undrain(x)
	case "engine-down":
		machine.SetDown(true)
	case "engine-up":
		machine.SetDown(false)
	case "engine-slow":
		machine.SetSlowdown(5)
	case "engine-sound":
		machine.SetSlowdown(1)
	case "silence":
		machine.StallStreams()
	case "log-down", "log-up":
		s.Log.SetDown(x.kind == "log-down")
	case "lose-answers":
		s.Log.SetResponseLoss(0.3, uint64(x.which))
		s.ServiceClient.SetFaults(0.1, 0.1, 0.1, uint64(x.which))
	case "cut-places", "heal-places":
		s.Network.SetPartitioned("east", "west", x.kind == "cut-places")
	case "cut-log", "heal-log":
		s.Log.SetPartitioned(s.node(x.which).Name, x.kind == "cut-log")
	case "kill", "stop", "start":
		s.nodes(x)
	}
}

// chats sends some chats and checks each answer.
func (s *run) chats(x step, profile string, count int) {
	for i := range count {
		n := s.node(x.which + i)
		s.mu.Lock()
		s.started++
		id := fmt.Sprintf("%s-%d", profile, s.started)
		s.mu.Unlock()
		s.group.Go(func() {
			c := chat(n, id, profile)
			got := &collector{}
			err := n.Dispatcher.Chat(context.Background(), c, got)
			if err == nil && got.text.String() != s.ChatClient.ExpectedResponse(c) {
				s.problem("%s did not get its own whole answer", id)
			}
			if err != nil && outcome(err) == quetzalroad.OutcomeNotRun && got.text.Len() > 0 {
				s.problem("%s was told not run and holds a part", id)
			}
		})
	}
}

// book sends a booking under one key to several nodes.
func (s *run) book(x step) {
	s.mu.Lock()
	s.started++
	key := fmt.Sprintf("key-%d", s.started)
	all := &told{}
	if s.bookings == nil {
		s.bookings = make(map[string]*told)
	}
	s.bookings[key] = all
	s.mu.Unlock()
	for i := range 3 {
		n := s.node(x.which + i)
		s.group.Go(func() {
			_, err := n.Dispatcher.Call(context.Background(), booking(n, fmt.Sprintf("%s-%d", key, i), key))
			s.mu.Lock()
			defer s.mu.Unlock()
			switch outcome(err) {
			case quetzalroad.OutcomeCompleted:
				all.completed++
			case quetzalroad.OutcomeNotRun:
				all.notRun++
			case quetzalroad.OutcomeUnknown:
				all.unknown++
			}
		})
	}
}

func (s *run) change(x step) {
	n := s.node(x.which)
	s.mu.Lock()
	s.started++
	c := change(n, time.Duration(1000+s.started)*time.Millisecond)
	s.mu.Unlock()
	s.group.Go(func() {
		v, err := n.Publisher.Publish(context.Background(), c)
		if err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.accepted = max(s.accepted, v.Revision)
		}
	})
}

func (s *run) drain(x step) {
	n, name := s.node(x.which), s.engine(x.which)
	s.group.Go(func() {
		// Whether the log took it is looked at in the end.
		_, _ = n.Drainer.Drain(context.Background(), name, "test")
	})
}

func (s *run) undrain(x step) {
	n, name := s.node(x.which), s.engine(x.which)
	s.group.Go(func() {
		// A refused undrain leaves the upstream drained.
		_, _ = n.Drainer.Undrain(context.Background(), name, "test")
	})
}

// nodes kills, stops or starts a node. Two are always left.
func (s *run) nodes(x step) {
	if x.kind == "start" {
		s.mu.Lock()
		s.started++
		name := fmt.Sprintf("late-%d", s.started)
		s.mu.Unlock()
		if len(s.Nodes) < 6 {
			s.add(name, places[x.which%len(places)])
			// A node serves once it is ready, as a balancer has it.
			s.waitReady(s.Nodes[len(s.Nodes)-1])
		}
		return
	}
	if len(s.Nodes) <= 2 {
		return
	}
	gone := s.node(x.which)
	var left []*kernel.Node
	for _, n := range s.Nodes {
		if n != gone {
			left = append(left, n)
		}
	}
	s.Nodes = left
	s.VMList.Remove(string(gone.Name))
	if x.kind == "stop" {
		s.group.Go(func() {
			gone.Stop(context.Background())
			if open := gone.InFlight(); open != 0 {
				s.problem("a planned stop of %s cut %d requests", gone.Name, open)
			}
		})
		return
	}
	gone.Kill()
}

// waitReady gives a new node some time to become ready; one that can't, as it
// finds neither log nor peer, is taken out again.
func (s *run) waitReady(n *kernel.Node) {
	for range 50 {
		if n.Ready() == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.Nodes = s.Nodes[:len(s.Nodes)-1]
	s.VMList.Remove(string(n.Name))
	n.Kill()
}

// heal ends all faults.
func (s *run) heal() {
	s.Log.SetDown(false)
	s.Log.SetResponseLoss(0, 1)
	s.ServiceClient.SetFaults(0, 0, 0, 1)
	s.Network.SetPartitioned("east", "west", false)
	for _, n := range s.Nodes {
		s.Log.SetPartitioned(n.Name, false)
	}
	for _, m := range s.ChatClient.Engines {
		m.SetDown(false)
		m.SetSlowdown(1)
	}
}

// verify looks at what must hold after everything has healed.
func (s *run) verify() {
	time.Sleep(relayBound + 2*time.Second)
	for _, b := range s.InvariantViolations() {
		s.problem("invariant broken: %s", b)
	}
	for _, n := range s.Nodes {
		if err := n.Ready(); err != nil {
			s.problem("%s is not ready after healing: %v", n.Name, err)
		}
		p, _ := n.Directory.Profile("chat")
		if p.Revision < s.accepted {
			s.problem("%s has revision %d of a profile, %d was accepted", n.Name, p.Revision, s.accepted)
		}
		if first := s.Nodes[0]; n.Directory.AppliedOffset() != first.Directory.AppliedOffset() || target(n) != target(first) {
			s.problem("%s and %s differ: offsets %d and %d", n.Name, first.Name, n.Directory.AppliedOffset(), first.Directory.AppliedOffset())
		}
	}
	for key, got := range s.bookings {
		runs := s.ServiceClient.Executions(key)
		switch {
		case runs > 1:
			s.problem("%s ran %d times", key, runs)
		case runs == 0 && got.completed > 0:
			s.problem("%s did not run and was told completed", key)
		case runs == 1 && got.completed+got.unknown == 0:
			s.problem("%s ran and was told not run %d times", key, got.notRun)
		}
	}
}

// play runs a history and gives what was wrong.
func play(t *testing.T, steps []step) []string {
	var problems []string
	inBubble(t, 4, func(_ *testing.T, x *fixture) {
		s := &run{fixture: x}
		for _, one := range steps {
			s.do(one)
			time.Sleep(one.pause)
		}
		s.heal()
		s.group.Wait()
		s.verify()
		problems = s.problems
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
			rapid.Check(t, func(r *rapid.T) {
				if problems := play(t, drawSteps(r)); len(problems) > 0 {
					r.Fatalf("%d problems, the first: %s", len(problems), problems[0])
				}
			})
		})
	}
}
