package routeexplainer

import (
	"bytes"
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/adminclient"
	"github.com/quetzalroad/quetzalroad/codecs/explanationmapper"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// A flag that doesn't reach the node would explain another request.
func TestFlagsReachTheQuery(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		exit int
		want url.Values
	}{
		"service":          {[]string{"-service", "s"}, 0, url.Values{"service": {"s"}}},
		"prompt":           {[]string{"-model", "m", "-segment", "a:3000", "-segment", "b:4", "-max-tokens", "0"}, 0, url.Values{"model": {"m"}, "segment": {"a:3000", "b:4"}, "max-tokens": {"0"}}},
		"path":             {[]string{"-host", "h", "-path", "/x", "-profile", "p", "-prompt-tokens", "9"}, 0, url.Values{"host": {"h"}, "path": {"/x"}, "profile": {"p"}, "prompt-tokens": {"9"}}},
		"nothing":          {nil, 2, nil},
		"service and path": {[]string{"-service", "s", "-path", "/x"}, 2, nil},
		"argument":         {[]string{"-service", "s", "x"}, 2, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var errOut strings.Builder
			var got url.Values
			command := &Command{Streams: commander.IOStreams{ErrOut: &errOut}, Run: func(_ context.Context, o *routeOptions) (err error) {
				got, err = url.ParseQuery(o.query())
				return err
			}}
			f := flag.NewFlagSet("route", flag.ContinueOnError)
			command.SetFlags(f)
			if err := f.Parse(append([]string{"-nodes", "127.0.0.1:1", "-key", "k"}, c.args...)); err != nil {
				t.Fatal(err)
			}
			if exit := int(command.Execute(t.Context(), f)); exit != c.exit {
				t.Errorf("exit code %d, want %d: %s", exit, c.exit, errOut.String())
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func testAnswer() explanationmapper.Answer {
	upstream := func(name string) quetzalroad.Upstream {
		return quetzalroad.Upstream{Name: quetzalroad.UpstreamName(name), DataCentre: "d", MaxConcurrency: 8}
	}
	return explanationmapper.Answer{Node: "n", Services: []quetzalroad.RouteExplanation{{
		Service: "llm", Share: 1, Chosen: "b", Unit: quetzalroad.CostUnitLoad, Draws: 200, Explained: true, StateVersion: 7, StateAge: 1500 * time.Millisecond,
		Upstreams: []quetzalroad.UpstreamExplanation{
			{CandidateCost: quetzalroad.CandidateCost{Upstream: upstream("gone")}, Excluded: quetzalroad.ExcludedDraining},
			{CandidateCost: quetzalroad.CandidateCost{Upstream: upstream("a"), Items: []quetzalroad.CostItem{{Part: quetzalroad.CostSuspect, Value: 1e9}}}, Throttle: quetzalroad.ThrottleExhausted},
			{
				CandidateCost: quetzalroad.CandidateCost{Upstream: upstream("b"), Pool: quetzalroad.PoolLong, IsPrefixOwner: true, CanBeChosen: true, Chance: 1, Spread: 0.25, Items: []quetzalroad.CostItem{
					{Part: quetzalroad.CostLoad, Value: 0.5}, {Part: quetzalroad.CostRegion, Value: 0.0625},
				}},
				Load: quetzalroad.LoadEstimate{Running: 4, ReportAge: 250 * time.Millisecond},
			},
		},
	}}}
}

// runOn runs the command against a node that answers with testAnswer and returns what it prints.
func runOn(t *testing.T, isTerminal, asJSON bool) string {
	t.Helper()
	data, err := explanationmapper.Encode(testAnswer())
	if err != nil {
		t.Fatal(err)
	}
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(data) }))
	t.Cleanup(node.Close)
	out := new(bytes.Buffer)
	o := &routeOptions{service: "llm"}
	o.Streams, o.JSON = commander.IOStreams{Out: out, ErrOut: out, IsTerminal: isTerminal}, asJSON
	o.Client = &adminclient.Client{Nodes: []netip.AddrPort{netip.MustParseAddrPort(node.Listener.Addr().String())}, Key: "k"}
	if err := runRoute(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// Scripts read the columns by position.
func TestPipeGetsOneTabSeparatedLinePerUpstream(t *testing.T) {
	want := "llm\tb\tmost likely\t100.0%\t0.5625..0.8125\tload 0.5, region 0.0625\tlong\ttrue\td\t4\t8\t-\t250ms\n" +
		"llm\ta\tno: rate limit\t0.0%\t1e+09\tsuspect 1e+09\t-\tfalse\td\t0\t8\texhausted\t-\n" +
		"llm\tgone\tno: draining\t0.0%\t-\t-\t-\tfalse\td\t0\t8\t-\t-\n"
	if diff := cmp.Diff(want, runOn(t, false, false)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// An operator who doesn't see that the view is stale, or that the choice is random, trusts the answer too much.
func TestTerminalShowsAgeAndChance(t *testing.T) {
	got := runOn(t, true, false)
	for _, want := range []string{"confirmed 1.5s ago (stale)", "most likely b", "drawn at random", "200 draws", "report-age"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in:\n%s", want, got)
		}
	}
}

func TestJSONIsTheNodesAnswer(t *testing.T) {
	answer, err := explanationmapper.Decode([]byte(runOn(t, true, true)))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(testAnswer().Services[0].Chosen, answer.Services[0].Chosen); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
