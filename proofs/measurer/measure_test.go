package measurer

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

var write = flag.String("write", "", "rewrite the tables in this file")

// burst is a Saturday morning or an installer batch: one and a half times the
// capacity, with chats that triple within two seconds and would fit alone.
func (u user) burst() scenario {
	return scenario{user: u, seed: 42, deadline: 20 * time.Minute, phases: []phase{
		{until: 10 * time.Second, chat: 0.25, draft: 0.25},
		{until: 12 * time.Second, chat: 0.5, draft: 0.9},
		{until: 27 * time.Second, chat: 0.75, draft: 0.75},
		{until: 40 * time.Second, chat: 0.25, draft: 0.25},
	}}
}

// unloaded has chats alone at a low rate.
func (u user) unloaded() scenario {
	return scenario{user: u, seed: 43, deadline: 20 * time.Minute, phases: []phase{{until: 20 * time.Second, chat: 0.2}}}
}

// mixed has chats behind many drafts.
func (u user) mixed() scenario {
	return scenario{user: u, seed: 44, deadline: 20 * time.Minute, phases: []phase{
		{until: 5 * time.Second, draft: 1.5},
		{until: 25 * time.Second, chat: 0.2, draft: 1},
	}}
}

// slowed has a fifth of the engines slowed fivefold, unseen by their reports.
func (u user) slowed(factor float64) scenario {
	return scenario{
		user: u, seed: 45, deadline: 20 * time.Minute, phases: []phase{{until: 30 * time.Second, chat: 0.35}},
		slowing: slowing{engines: u.engines / 5, factor: factor, from: 5 * time.Second, until: 30 * time.Second},
	}
}

// measures is what one policy gave for one user.
type measures struct {
	chat, draft, crestChat, refusedChat float64
	goodput                             float64
	waste                               float64
	unloaded, blocked                   time.Duration
	healthy, slowed                     time.Duration
	slowedChat                          float64
	drafts                              float64
}

func (u user) targets() map[quetzalroad.ProfileName]time.Duration {
	return map[quetzalroad.ProfileName]time.Duration{"chat": u.chatTarget, "draft": u.draftTarget}
}

func measure(t *testing.T, u user, p policy) measures {
	t.Helper()
	var m measures
	b := checked(t, u.burst(), p)
	m.chat = attained(b.of("chat"), u.chatTarget)
	m.draft = attained(b.of("draft"), u.draftTarget)
	m.crestChat = crest(b.of("chat"), u.chatTarget)
	m.refusedChat = refusedShare(b.of("chat"))
	m.drafts = 1 - refusedShare(b.of("draft"))
	m.goodput = b.goodput(u.targets())
	m.waste = b.wastedShare()
	m.unloaded = firstToken(checked(t, u.unloaded(), p).of("chat"), 0.99)
	m.blocked = firstToken(checked(t, u.mixed(), p).of("chat"), 0.99)
	m.healthy = firstToken(checked(t, u.slowed(1), p).of("chat"), 0.99)
	s := checked(t, u.slowed(5), p).of("chat")
	m.slowed = firstToken(s, 0.99)
	m.slowedChat = attained(s, u.chatTarget)
	return m
}

// checked runs a scenario and fails on a broken invariant.
func checked(t *testing.T, s scenario, p policy) outcome {
	t.Helper()
	o := run(t, s, p)
	for _, b := range o.breaches {
		t.Error("invariant broken:", b)
	}
	return o
}

// score weighs the measures for a user; less is better.
func (u user) score(m measures) float64 {
	values := map[string]float64{
		crestMiss:  100 * (1 - m.crestChat),
		tailSlowed: m.slowed.Seconds() * 10,
		blocking:   m.blocked.Seconds() * 10,
		waste:      100 * m.waste,
	}
	sum := 0.0
	for name, w := range u.weights {
		sum += w * values[name]
	}
	return sum
}

func TestMeasure(t *testing.T) {
	if *write == "" {
		t.Skip("give -args -write FILE to measure")
	}
	// One thread at a time, so that the figures differ less between runs.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var text strings.Builder
	for _, u := range users {
		table(&text, u, measure(t, u, ours), measure(t, u, plain))
	}
	if err := rewrite(*write, text.String()); err != nil {
		t.Fatal(err)
	}
}

func table(w *strings.Builder, u user, a, b measures) {
	percent := func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
	span := func(d time.Duration) string { return d.Round(time.Millisecond).String() }
	rows := [][3]string{
		{"chat in target, burst at 1.5 times the capacity", percent(a.chat), percent(b.chat)},
		{"chat in target at the crest (worst 5 s)", percent(a.crestChat), percent(b.crestChat)},
		{"chat refused", percent(a.refusedChat), percent(b.refusedChat)},
		{"drafts in target", percent(a.draft), percent(b.draft)},
		{"drafts answered in the end", percent(a.drafts), percent(b.drafts)},
		{"goodput, answers in target a second", fmt.Sprintf("%.1f", a.goodput), fmt.Sprintf("%.1f", b.goodput)},
		{"wasted of generated tokens", percent(a.waste), percent(b.waste)},
		{"p99 first token of chat, unloaded", span(a.unloaded), span(b.unloaded)},
		{"p99 first token of chat behind drafts", span(a.blocked), span(b.blocked)},
		{"p99 first token of chat, all engines sound", span(a.healthy), span(b.healthy)},
		{"p99 first token of chat, a fifth slowed fivefold", span(a.slowed), span(b.slowed)},
		{"chat in target, a fifth slowed fivefold", percent(a.slowedChat), percent(b.slowedChat)},
		{"weighted score of " + u.name + " (less is better)", fmt.Sprintf("%.1f", u.score(a)), fmt.Sprintf("%.1f", u.score(b))},
	}
	fmt.Fprintf(w, "### %s: %d engines in %d data centres, %d nodes\n\n| measure | %s | %s |\n|---|---|---|\n", u.name, u.engines, len(u.places), nodesPerPlace*len(u.places), ours.name, plain.name)
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %s | %s |\n", r[0], r[1], r[2])
	}
	fmt.Fprintln(w)
}

// The marks between which the tables stand.
const (
	markBegin = "<!-- measured: begin -->\n"
	markEnd   = "<!-- measured: end -->\n"
)

func rewrite(file, text string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	before, rest, ok := strings.Cut(string(data), markBegin)
	_, after, ok2 := strings.Cut(rest, markEnd)
	if !ok || !ok2 {
		return fmt.Errorf("%s lacks the marks", file)
	}
	return os.WriteFile(file, []byte(before+markBegin+"\n"+text+markEnd+after), 0o644)
}
