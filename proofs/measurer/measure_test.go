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

var writeTo = flag.String("write", "", "file whose tables are rewritten")

// burst has a peak as on a Saturday morning or during an installer batch: demand is 1.5 times the
// capacity. Chats triple within two seconds, but alone stay below the capacity.
func (u user) burst() scenario {
	return scenario{user: u, seed: 42, timeout: 20 * time.Minute, phases: []phase{
		{end: 10 * time.Second, chatDemand: 0.25, draftDemand: 0.25},
		{end: 12 * time.Second, chatDemand: 0.5, draftDemand: 0.9},
		{end: 27 * time.Second, chatDemand: 0.75, draftDemand: 0.75},
		{end: 40 * time.Second, chatDemand: 0.25, draftDemand: 0.25},
	}}
}

// unloaded has only chats, at a low rate.
func (u user) unloaded() scenario {
	return scenario{user: u, seed: 43, timeout: 20 * time.Minute, phases: []phase{{end: 20 * time.Second, chatDemand: 0.2}}}
}

// mixed has chats that arrive while many drafts are queued.
func (u user) mixed() scenario {
	return scenario{user: u, seed: 44, timeout: 20 * time.Minute, phases: []phase{
		{end: 5 * time.Second, draftDemand: 1.5},
		{end: 25 * time.Second, chatDemand: 0.2, draftDemand: 1},
	}}
}

// slowEngines has only chats and makes a fifth of the engines slower, which their load reports don't show.
func (u user) slowEngines(factor float64) scenario {
	return scenario{
		user: u, seed: 45, timeout: 20 * time.Minute, phases: []phase{{end: 30 * time.Second, chatDemand: 0.35}},
		slowdown: slowdown{engines: u.engines / 5, factor: factor, start: 5 * time.Second, end: 30 * time.Second},
	}
}

// measurements holds the results of one policy for one user. The p99 times are to the first token of chats.
type measurements struct {
	chatAttainment, draftAttainment, worstWindowChat, chatRefusals float64
	goodput                                                        float64
	wastedShare                                                    float64
	unloadedP99, behindDraftsP99                                   time.Duration
	healthyP99, slowedP99                                          time.Duration
	slowedChatAttainment                                           float64
	draftCompletion                                                float64
}

func (u user) targets() map[quetzalroad.ProfileName]time.Duration {
	return map[quetzalroad.ProfileName]time.Duration{"chat": u.chatTarget, "draft": u.draftTarget}
}

func measurePolicy(t *testing.T, u user, p policy) measurements {
	t.Helper()
	var m measurements
	burst := runChecked(t, u.burst(), p)
	m.chatAttainment = attainment(burst.responsesOf("chat"), u.chatTarget)
	m.draftAttainment = attainment(burst.responsesOf("draft"), u.draftTarget)
	m.worstWindowChat = worstWindowAttainment(burst.responsesOf("chat"), u.chatTarget)
	m.chatRefusals = refusalRate(burst.responsesOf("chat"))
	m.draftCompletion = 1 - refusalRate(burst.responsesOf("draft"))
	m.goodput = burst.goodput(u.targets())
	m.wastedShare = burst.wastedShare()
	m.unloadedP99 = firstTokenQuantile(runChecked(t, u.unloaded(), p).responsesOf("chat"), 0.99)
	m.behindDraftsP99 = firstTokenQuantile(runChecked(t, u.mixed(), p).responsesOf("chat"), 0.99)
	m.healthyP99 = firstTokenQuantile(runChecked(t, u.slowEngines(1), p).responsesOf("chat"), 0.99)
	slowed := runChecked(t, u.slowEngines(5), p).responsesOf("chat")
	m.slowedP99 = firstTokenQuantile(slowed, 0.99)
	m.slowedChatAttainment = attainment(slowed, u.chatTarget)
	return m
}

// runChecked runs a scenario and fails the test on invariant violations.
func runChecked(t *testing.T, s scenario, p policy) result {
	t.Helper()
	r := runScenario(t, s, p)
	for _, violation := range r.violations {
		t.Error("invariant broken:", violation)
	}
	return r
}

// weightedScore returns the weighted sum of a user's penalties; lower is better.
func (u user) weightedScore(m measurements) float64 {
	penalties := map[string]float64{
		worstWindowMiss:    100 * (1 - m.worstWindowChat),
		slowedTail:         m.slowedP99.Seconds() * 10,
		headOfLineBlocking: m.behindDraftsP99.Seconds() * 10,
		tokenWaste:         100 * m.wastedShare,
	}
	sum := 0.0
	for name, w := range u.weights {
		sum += w * penalties[name]
	}
	return sum
}

func TestMeasure(t *testing.T) {
	if *writeTo == "" {
		t.Skip("needs -args -write FILE")
	}
	// A single thread makes the results differ less between runs.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var text strings.Builder
	for _, u := range users {
		writeTable(&text, u, measurePolicy(t, u, routerPolicy), measurePolicy(t, u, baselinePolicy))
	}
	if err := replaceTables(*writeTo, text.String()); err != nil {
		t.Fatal(err)
	}
}

func writeTable(w *strings.Builder, u user, router, base measurements) {
	formatPercent := func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
	formatDuration := func(d time.Duration) string { return d.Round(time.Millisecond).String() }
	rows := [][3]string{
		{"chat in target, burst at 1.5 times the capacity", formatPercent(router.chatAttainment), formatPercent(base.chatAttainment)},
		{"chat in target at the crest (worst 5 s)", formatPercent(router.worstWindowChat), formatPercent(base.worstWindowChat)},
		{"chat refused", formatPercent(router.chatRefusals), formatPercent(base.chatRefusals)},
		{"drafts in target", formatPercent(router.draftAttainment), formatPercent(base.draftAttainment)},
		{"drafts answered in the end", formatPercent(router.draftCompletion), formatPercent(base.draftCompletion)},
		{"goodput, answers in target a second", fmt.Sprintf("%.1f", router.goodput), fmt.Sprintf("%.1f", base.goodput)},
		{"wasted of generated tokens", formatPercent(router.wastedShare), formatPercent(base.wastedShare)},
		{"p99 first token of chat, unloaded", formatDuration(router.unloadedP99), formatDuration(base.unloadedP99)},
		{"p99 first token of chat behind drafts", formatDuration(router.behindDraftsP99), formatDuration(base.behindDraftsP99)},
		{"p99 first token of chat, all engines sound", formatDuration(router.healthyP99), formatDuration(base.healthyP99)},
		{"p99 first token of chat, a fifth slowed fivefold", formatDuration(router.slowedP99), formatDuration(base.slowedP99)},
		{"chat in target, a fifth slowed fivefold", formatPercent(router.slowedChatAttainment), formatPercent(base.slowedChatAttainment)},
		{"weighted score of " + u.name + " (less is better)", fmt.Sprintf("%.1f", u.weightedScore(router)), fmt.Sprintf("%.1f", u.weightedScore(base))},
	}
	fmt.Fprintf(w, "### %s: %d engines in %d data centres, %d nodes\n\n| measure | %s | %s |\n|---|---|---|\n", u.name, u.engines, len(u.dataCentres), nodesPerDataCentre*len(u.dataCentres), routerPolicy.name, baselinePolicy.name)
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %s | %s |\n", r[0], r[1], r[2])
	}
	fmt.Fprintln(w)
}

// The markers that enclose the tables.
const (
	beginMarker = "<!-- measured: begin -->\n"
	endMarker   = "<!-- measured: end -->\n"
)

func replaceTables(file, text string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	before, rest, ok := strings.Cut(string(data), beginMarker)
	_, after, ok2 := strings.Cut(rest, endMarker)
	if !ok || !ok2 {
		return fmt.Errorf("%s lacks the markers that enclose the tables", file)
	}
	return os.WriteFile(file, []byte(before+beginMarker+"\n"+text+endMarker+after), 0o644)
}
