// Package quarantinemanager implements the commands that list and lift the quarantine of prompt segments. They
// use the platform's log, as nodes on the platform have no admin address.
package quarantinemanager

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/printer"
	"github.com/quetzalroad/quetzalroad/codecs/nodemapper"
	"github.com/quetzalroad/quetzalroad/decisions/quarantiner"
	"github.com/quetzalroad/quetzalroad/platform/storeclient"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

const (
	// operatorKey is the key of the record with what operators lifted.
	operatorKey = "operator"
	// callTimeout is the timeout of a command.
	callTimeout = 10 * time.Second
)

// log is the access to the platform's log that the commands need.
type log interface {
	quetzalroad.KeyedLog
	quetzalroad.KeyedWriter
}

type options struct {
	streams commander.IOStreams
	store   string
	json    bool
	segment string
	log     log
}

// Command is the "quarantine list" or "quarantine lift" command.
type Command struct {
	Streams commander.IOStreams
	// Lift selects "quarantine lift".
	Lift bool
	// Run runs the command; nil means runList or runLift.
	Run     func(ctx context.Context, o *options) error
	options options
}

// Name implements subcommands.Command.
func (c *Command) Name() string {
	if c.Lift {
		return "lift"
	}
	return "list"
}

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string {
	if c.Lift {
		return "let requests with a prompt segment reach upstreams again"
	}
	return "list the prompt segments that are suspected to crash upstreams"
}

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	if c.Lift {
		return "lift -store ADDRESS SEGMENT:\n  Takes effect within half a minute. Upstreams that exit afterwards count anew.\n"
	}
	return "list -store ADDRESS:\n  Shows the evidence of all nodes.\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.store, "store", "", "address of the platform's store")
	f.BoolVar(&c.options.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.streams = c.Streams
	run := c.Run
	if run == nil {
		run = runList
		if c.Lift {
			run = runLift
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.options.complete(f, c.Lift)
	if err == nil {
		err = run(ctx, &c.options)
	}
	return c.Streams.ReportError(c.Name(), err)
}

// complete checks the arguments and opens the log.
func (o *options) complete(f *flag.FlagSet, lift bool) error {
	wantArgs := 0
	if lift {
		wantArgs = 1
	}
	if f.NArg() != wantArgs {
		return &commander.UsageError{Problem: fmt.Sprintf("%d arguments expected, got %d", wantArgs, f.NArg())}
	}
	o.segment = f.Arg(0)
	if o.log != nil {
		return nil
	}
	address, err := netip.ParseAddrPort(o.store)
	if err != nil {
		return &commander.UsageError{Problem: fmt.Sprintf("-store: %v; give the address of the platform's store as IP:PORT", err)}
	}
	o.log = storeclient.New(address)
	return nil
}

// readEvidence returns the evidence of all nodes. It reports records that can't be read and leaves them out.
func readEvidence(ctx context.Context, o *options) ([]quetzalroad.LossEvidence, error) {
	records, _, err := o.log.ReadLatest(ctx, quetzalroad.LogStreamNodes)
	if err != nil {
		return nil, errors.Wrap(err, "read the list of nodes")
	}
	var all []quetzalroad.LossEvidence
	for _, r := range records {
		registration, err := nodemapper.DecodeRegistration(r)
		if err != nil {
			if _, err := fmt.Fprintf(o.streams.ErrOut, "ignoring record %q of the list of nodes: %v\n", r.Key, err); err != nil {
				return nil, err
			}
			continue
		}
		if registration.Evidence != nil {
			all = append(all, *registration.Evidence)
		}
	}
	return all, nil
}

// summaryJSON is a segment as printed with -json.
type summaryJSON struct {
	Segment     string `json:"segment"`
	Upstreams   int    `json:"upstreams"`
	Waves       int    `json:"waves"`
	Proven      bool   `json:"proven"`
	Quarantined bool   `json:"quarantined"`
}

func runList(ctx context.Context, o *options) error {
	all, err := readEvidence(ctx, o)
	if err != nil {
		return err
	}
	list := []summaryJSON{}
	for _, s := range quarantiner.Summarize(all) {
		list = append(list, summaryJSON{Segment: s.Segment, Upstreams: s.Upstreams, Waves: s.Waves, Proven: s.Proven, Quarantined: s.Quarantined})
	}
	if o.json {
		return printer.JSON(o.streams.Out, list)
	}
	var rows [][]string
	for _, s := range list {
		rows = append(rows, []string{s.Segment, strconv.Itoa(s.Upstreams), strconv.Itoa(s.Waves), strconv.FormatBool(s.Proven), strconv.FormatBool(s.Quarantined)})
	}
	return printer.Table(o.streams, []string{"segment", "upstreams", "waves", "proven", "quarantined"}, rows)
}

func runLift(ctx context.Context, o *options) error {
	all, err := readEvidence(ctx, o)
	if err != nil {
		return err
	}
	evidence, known := quarantiner.Lift(all, o.segment)
	if !known {
		return errors.Newf("no upstream exited under segment %q; see quarantine list", o.segment)
	}
	unspecified := netip.AddrPortFrom(netip.IPv4Unspecified(), 0)
	value, err := nodemapper.EncodeRegistration(quetzalroad.NodeRegistration{DataCentre: operatorKey, Address: unspecified, WrittenAt: time.Now(), Evidence: &evidence})
	if err != nil {
		return err
	}
	if _, err := o.log.PutKeyed(ctx, quetzalroad.LogStreamNodes, operatorKey, value); err != nil {
		return errors.Wrap(err, "write to the list of nodes")
	}
	_, err = fmt.Fprintf(o.streams.Out, "lifted the quarantine of %s; nodes follow within half a minute\n", o.segment)
	return err
}
