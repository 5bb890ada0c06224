package routeexplainer

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/printer"
	"github.com/quetzalroad/quetzalroad/codecs/explanationmapper"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// header names the columns.
var header = []string{
	"service", "upstream", "verdict", "chance", "cost", "because", "pool", "owner", "data-centre", "running", "slots", "rate-limit", "report-age",
}

// printAnswer prints a table of the upstreams. On a terminal, what holds for all of them comes before it.
func printAnswer(streams commander.IOStreams, a explanationmapper.Answer) error {
	var rows [][]string
	for _, x := range a.Services {
		if streams.IsTerminal {
			if err := printSummary(streams, a, x); err != nil {
				return err
			}
		}
		for _, u := range sortedUpstreams(x.Upstreams) {
			rows = append(rows, upstreamRow(x, u))
		}
	}
	return printer.Table(streams, header, rows)
}

func printSummary(streams commander.IOStreams, a explanationmapper.Answer, x quetzalroad.RouteExplanation) error {
	lines := []string{fmt.Sprintf("%s asked, %s", a.Node, freshness(x)), verdict(x)}
	if a.NotReadyReason != "" {
		lines = append(lines, "the node gets no requests: "+a.NotReadyReason)
	}
	if x.Share < 1 {
		lines = append(lines, fmt.Sprintf("the route sends %s of its requests to %s", percent(x.Share), x.Service))
	}
	if x.Draws > 1 {
		lines = append(lines, fmt.Sprintf("upstreams are sampled and equal ones drawn at random; chances from %d draws; costs in %s", x.Draws, x.Unit))
	}
	_, err := fmt.Fprintln(streams.Out, strings.Join(lines, "\n")+"\n")
	return err
}

// freshness says how old the published state is.
func freshness(x quetzalroad.RouteExplanation) string {
	state := "offset " + strconv.FormatInt(int64(x.AppliedOffset), 10)
	if x.StateVersion == 0 {
		return state + ", age of the published state unknown"
	}
	state += fmt.Sprintf(", version %d of the published state, confirmed %s ago", x.StateVersion, x.StateAge.Round(time.Millisecond))
	if !x.StateIsFresh {
		state += " (stale)"
	}
	return state
}

func verdict(x quetzalroad.RouteExplanation) string {
	switch {
	case !x.Explained:
		return fmt.Sprintf("%s: the node's balancer doesn't explain its choices, or there is no candidate", x.Service)
	case x.Chosen == "":
		return fmt.Sprintf("%s: refused, no upstream takes the request now", x.Service)
	}
	return fmt.Sprintf("%s: most likely %s", x.Service, x.Chosen)
}

// sortedUpstreams returns the candidates first, the likeliest and cheapest before others.
func sortedUpstreams(upstreams []quetzalroad.UpstreamExplanation) []quetzalroad.UpstreamExplanation {
	sorted := slices.Clone(upstreams)
	slices.SortStableFunc(sorted, func(a, b quetzalroad.UpstreamExplanation) int {
		return cmp.Or(cmp.Compare(a.Excluded, b.Excluded), cmp.Compare(b.Chance, a.Chance), cmp.Compare(a.LowestCost(), b.LowestCost()))
	})
	return sorted
}

func upstreamRow(x quetzalroad.RouteExplanation, u quetzalroad.UpstreamExplanation) []string {
	return []string{
		string(x.Service), string(u.Upstream.Name), upstreamVerdict(x, u), percent(u.Chance), costRange(u), reasons(u), orDash(string(u.Pool)), strconv.FormatBool(u.IsPrefixOwner),
		string(u.Upstream.DataCentre), strconv.Itoa(u.Load.Running), strconv.Itoa(u.Upstream.MaxConcurrency), throttle(u.Throttle), age(u.Load.ReportAge),
	}
}

func upstreamVerdict(x quetzalroad.RouteExplanation, u quetzalroad.UpstreamExplanation) string {
	switch {
	case u.Excluded != "":
		return "no: " + string(u.Excluded)
	case !x.Explained:
		return "candidate"
	case u.Throttle == quetzalroad.ThrottleExhausted:
		return "no: rate limit"
	case u.Upstream.Name == x.Chosen:
		return "most likely"
	case u.CanBeChosen:
		return "possible"
	}
	return "no: others preferred"
}

func costRange(u quetzalroad.UpstreamExplanation) string {
	switch {
	case len(u.Items) == 0 && u.Spread == 0:
		return "-"
	case u.Spread == 0:
		return number(u.LowestCost())
	}
	return number(u.LowestCost()) + ".." + number(u.HighestCost())
}

// reasons lists the parts of the cost.
func reasons(u quetzalroad.UpstreamExplanation) string {
	var parts []string
	for _, i := range u.Items {
		parts = append(parts, fmt.Sprintf("%s %s", i.Part, number(i.Value)))
	}
	return orDash(strings.Join(parts, ", "))
}

func throttle(s quetzalroad.ThrottleState) string {
	switch s {
	case quetzalroad.ThrottleOpen:
		return "open"
	case quetzalroad.ThrottleSpare:
		return "spare"
	case quetzalroad.ThrottleExhausted:
		return "exhausted"
	case quetzalroad.ThrottleNone:
	}
	return "-"
}

// age formats the age of a report; zero means that there was none.
func age(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(time.Millisecond).String()
}

func number(v float64) string {
	const digits = 4
	return strconv.FormatFloat(v, 'g', digits, 64)
}

func percent(share float64) string {
	return strconv.FormatFloat(100*share, 'f', 1, 64) + "%"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
