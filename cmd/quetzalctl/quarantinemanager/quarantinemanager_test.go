package quarantinemanager

import (
	"bytes"
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/nodemapper"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

func execute(t *testing.T, c *Command, args []string) subcommands.ExitStatus {
	t.Helper()
	flags := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	c.SetFlags(flags)
	if err := flags.Parse(args); err != nil {
		t.Fatal(err)
	}
	return c.Execute(t.Context(), flags)
}

// writeEvidence writes the registration of a node that knows of the exit of upstreams under a segment.
func writeEvidence(t *testing.T, log *faker.KeyedLog, node string, upstreams int, segment string) {
	t.Helper()
	e := new(quetzalroad.LossEvidence)
	for i := range upstreams {
		e.Losses = append(e.Losses, quetzalroad.UpstreamLoss{
			Upstream: quetzalroad.UpstreamName(fmt.Sprintf("%s-%d", node, i)), At: time.Now(), Segments: []quetzalroad.ExposedSegment{{ID: segment, Wave: i + 1}},
		})
	}
	value, err := nodemapper.EncodeRegistration(quetzalroad.NodeRegistration{Name: quetzalroad.NodeName(node), DataCentre: "d", Address: netip.MustParseAddrPort("10.0.0.1:1"), WrittenAt: time.Now(), Evidence: e})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.PutKeyed(t.Context(), quetzalroad.LogStreamNodes, node, value); err != nil {
		t.Fatal(err)
	}
}

func newOptions(log *faker.KeyedLog, segment string) (*options, *bytes.Buffer) {
	out := new(bytes.Buffer)
	return &options{streams: commander.IOStreams{Out: out, ErrOut: out}, log: log, segment: segment}, out
}

func TestListShowsEvidenceOfAllNodes(t *testing.T) {
	log := new(faker.KeyedLog)
	writeEvidence(t, log, "n1", 2, "deadly")
	writeEvidence(t, log, "n2", 2, "deadly")
	writeEvidence(t, log, "n3", 1, "other")
	o, out := newOptions(log, "")
	if err := runList(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("deadly\t4\t2\tfalse\ttrue\nother\t1\t1\tfalse\tfalse\n", out.String()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestListSaysWhichRecordsItCantRead(t *testing.T) {
	log := new(faker.KeyedLog)
	if _, err := log.PutKeyed(t.Context(), quetzalroad.LogStreamNodes, "odd", []byte("[")); err != nil {
		t.Fatal(err)
	}
	writeEvidence(t, log, "n1", 4, "deadly")
	o, out := newOptions(log, "")
	if err := runList(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); !strings.Contains(got, `record "odd"`) || !strings.Contains(got, "deadly\t4\t4\tfalse\ttrue\n") {
		t.Errorf("output %q", got)
	}
}

func TestLiftDisprovesTheLosses(t *testing.T) {
	log := new(faker.KeyedLog)
	writeEvidence(t, log, "n1", 4, "deadly")
	o, _ := newOptions(log, "deadly")
	if err := runLift(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	o, out := newOptions(log, "")
	if err := runList(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); got != "" {
		t.Errorf("still suspected: %q", got)
	}
}

func TestLiftOfUnknownSegmentFails(t *testing.T) {
	o, _ := newOptions(new(faker.KeyedLog), "unknown")
	if err := runLift(t.Context(), o); err == nil {
		t.Error("a segment that nobody suspects was lifted")
	}
}

func TestInvalidArgumentsAreUsageErrors(t *testing.T) {
	for name, c := range map[string]struct {
		lift bool
		args []string
	}{
		"no segment": {true, []string{"-store", "10.0.0.1:1"}},
		"no store":   {false, nil},
		"bad store":  {false, []string{"-store", "somewhere"}},
		"extra":      {false, []string{"-store", "10.0.0.1:1", "x"}},
	} {
		t.Run(name, func(t *testing.T) {
			out := new(bytes.Buffer)
			command := &Command{Streams: commander.IOStreams{Out: out, ErrOut: out}, Lift: c.lift}
			if got := execute(t, command, c.args); got != commander.ExitUsage {
				t.Errorf("exit code %d, want %d: %s", got, commander.ExitUsage, out)
			}
		})
	}
}
