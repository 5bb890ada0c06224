// Package emulator holds the commands that run one stand-in as a process of its
// own.
package emulator

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/echoserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/engineserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/faultinjector"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/logserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/vmlistserver"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// options are what a stand-in depends on and its flags.
type options struct {
	streams commander.IOStreams
	address string
	// perform listens and answers until the context ends.
	perform func(ctx context.Context, address netip.AddrPort) error
}

// Command runs one stand-in.
type Command struct {
	// Streams are the command's.
	Streams commander.IOStreams
	// Noun names the stand-in.
	Noun string
	// Short says in a line what it is.
	Short string
	// Declare binds its flags and gives what performs it.
	Declare func(f *flag.FlagSet) func(ctx context.Context, address netip.AddrPort) error
	// Run runs it; nil stands for the real one.
	Run     func(ctx context.Context, o *options) error
	options options
}

// Name implements subcommands.Command.
func (c *Command) Name() string { return c.Noun }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return c.Short }

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	return c.Noun + " -address IP:port [flags]:\n  " + c.Short + ". Faults by PUT /faults, its own count by GET /stats.\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.address, "address", "", "where to listen, IP:port")
	c.options.perform = c.Declare(f)
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.streams = c.Streams
	run := c.Run
	if run == nil {
		run = runStandIn
	}
	return c.Streams.ReportError(c.Noun, run(ctx, &c.options))
}

func runStandIn(ctx context.Context, o *options) error {
	address, err := netip.ParseAddrPort(o.address)
	if err != nil {
		return &commander.UsageError{Problem: fmt.Sprintf("-address %q is not an IP address with a port", o.address)}
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return o.perform(ctx, address)
}

// All gives the commands of all stand-ins.
func All(s commander.IOStreams) []*Command {
	return []*Command{
		{Streams: s, Noun: "engine", Short: "a model engine", Declare: declareEngine},
		{Streams: s, Noun: "service", Short: "a plain service that counts its runs", Declare: declareService},
		{Streams: s, Noun: "log", Short: "the platform's log", Declare: declareLog},
		{Streams: s, Noun: "vm-list", Short: "the platform's list of VMs", Declare: declareList},
	}
}

func declareEngine(f *flag.FlagSet) func(context.Context, netip.AddrPort) error {
	e := &engineserver.Engine{}
	f.IntVar(&e.Model.Batch, "batch", 64, "most requests at once")
	f.DurationVar(&e.Model.TokenTime, "token-time", 8*time.Millisecond, "time of a step with an empty batch")
	f.DurationVar(&e.Model.PerRequest, "per-request", 100*time.Microsecond, "what each running request adds to a step")
	f.DurationVar(&e.Model.PrefillTime, "prefill-time", 20*time.Microsecond, "time of a prompt token that isn't cached")
	return func(ctx context.Context, address netip.AddrPort) error {
		go func() {
			// It ends with the context and in no other way.
			_ = e.Run(ctx)
		}()
		return serve(ctx, &e.Host, address, e.Handler())
	}
}

func declareService(f *flag.FlagSet) func(context.Context, netip.AddrPort) error {
	v := &echoserver.Servicer{}
	f.DurationVar(&v.RunTime, "run-time", 10*time.Millisecond, "time of a run")
	return func(ctx context.Context, address netip.AddrPort) error {
		return serve(ctx, &v.Host, address, v.Handler())
	}
}

func declareLog(f *flag.FlagSet) func(context.Context, netip.AddrPort) error {
	k := &logserver.Keeper{}
	f.DurationVar(&k.AppendTime, "append-time", 5*time.Millisecond, "time of an append")
	f.DurationVar(&k.Retention, "retention", 0, "how long records are kept; zero for good")
	return func(ctx context.Context, address netip.AddrPort) error {
		return serve(ctx, &k.Host, address, k.Handler())
	}
}

func declareList(f *flag.FlagSet) func(context.Context, netip.AddrPort) error {
	l := &vmlistserver.Lister{}
	f.DurationVar(&l.Lag, "lag", 2*time.Second, "how late the list shows changes")
	file := f.String("vms", "", "JSON file with the VMs: [{\"name\",\"role\",\"address\",\"data-centre\"}]")
	return func(ctx context.Context, address netip.AddrPort) error {
		if err := fill(l, *file); err != nil {
			return err
		}
		return serve(ctx, &l.Host, address, l.Handler())
	}
}

type vmJSON struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
}

// fill reads the VMs of a file into the list.
func fill(l *vmlistserver.Lister, file string) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var vms []vmJSON
	if err := json.Unmarshal(data, &vms); err != nil {
		return errors.Wrap(err, file)
	}
	for i, v := range vms {
		address, err := netip.ParseAddrPort(v.Address)
		if err != nil {
			return errors.Wrapf(err, "%s: entry %d", file, i)
		}
		l.Put(time.Now(), quetzalroad.VM{
			Name: v.Name, Role: v.Role, Address: address, DataCentre: quetzalroad.DataCentre(v.DataCentre), State: quetzalroad.VMLive,
		})
	}
	return nil
}

func serve(ctx context.Context, h *faultinjector.Host, address netip.AddrPort, handler http.Handler) error {
	return h.Serve(ctx, address, handler)
}
