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
	// serve listens and answers until the context ends.
	serve func(ctx context.Context, address netip.AddrPort) error
}

// Command runs one stand-in.
type Command struct {
	// Streams are the command's.
	Streams commander.IOStreams
	// CommandName names the stand-in.
	CommandName string
	// Summary says in a line what it is.
	Summary string
	// DeclareFlags binds its flags and gives what performs it.
	DeclareFlags func(f *flag.FlagSet) func(ctx context.Context, address netip.AddrPort) error
	// Run runs it; nil stands for the real one.
	Run     func(ctx context.Context, o *options) error
	options options
}

// Name implements subcommands.Command.
func (c *Command) Name() string { return c.CommandName }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return c.Summary }

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	return c.CommandName + " -address IP:port [flags]:\n  " + c.Summary + ". Faults by PUT /faults, its own count by GET /stats.\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.address, "address", "", "where to listen, IP:port")
	c.options.serve = c.DeclareFlags(f)
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.streams = c.Streams
	run := c.Run
	if run == nil {
		run = runEmulator
	}
	return c.Streams.ReportError(c.CommandName, run(ctx, &c.options))
}

func runEmulator(ctx context.Context, o *options) error {
	address, err := netip.ParseAddrPort(o.address)
	if err != nil {
		return &commander.UsageError{Problem: fmt.Sprintf("-address %q is not an IP address with a port", o.address)}
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return o.serve(ctx, address)
}

// Commands gives the commands of all stand-ins.
func Commands(s commander.IOStreams) []*Command {
	return []*Command{
		{Streams: s, CommandName: "engine", Summary: "a model engine", DeclareFlags: declareEngineFlags},
		{Streams: s, CommandName: "service", Summary: "a plain service that counts its runs", DeclareFlags: declareServiceFlags},
		{Streams: s, CommandName: "log", Summary: "the platform's log", DeclareFlags: declareLogFlags},
		{Streams: s, CommandName: "vm-list", Summary: "the platform's list of VMs", DeclareFlags: declareVMListFlags},
	}
}

func declareEngineFlags(f *flag.FlagSet) func(context.Context, netip.AddrPort) error {
	engine := &engineserver.Engine{}
	f.IntVar(&engine.Model.Batch, "batch", 64, "most requests at once")
	f.DurationVar(&engine.Model.TokenTime, "token-time", 8*time.Millisecond, "time of a step with an empty batch")
	f.DurationVar(&engine.Model.PerRequest, "per-request", 100*time.Microsecond, "what each running request adds to a step")
	f.DurationVar(&engine.Model.PrefillTime, "prefill-time", 20*time.Microsecond, "time of a prompt token that isn't cached")
	return func(ctx context.Context, address netip.AddrPort) error {
		go func() {
			// It ends with the context and in no other way.
			_ = engine.Run(ctx)
		}()
		return serve(ctx, &engine.Injector, address, engine.Handler())
	}
}

func declareServiceFlags(f *flag.FlagSet) func(context.Context, netip.AddrPort) error {
	service := &echoserver.Server{}
	f.DurationVar(&service.ProcessingTime, "run-time", 10*time.Millisecond, "time of a run")
	return func(ctx context.Context, address netip.AddrPort) error {
		return serve(ctx, &service.Injector, address, service.Handler())
	}
}

func declareLogFlags(f *flag.FlagSet) func(context.Context, netip.AddrPort) error {
	log := &logserver.Server{}
	f.DurationVar(&log.AppendLatency, "append-time", 5*time.Millisecond, "time of an append")
	f.DurationVar(&log.Retention, "retention", 0, "how long records are kept; zero for good")
	return func(ctx context.Context, address netip.AddrPort) error {
		return serve(ctx, &log.Injector, address, log.Handler())
	}
}

func declareVMListFlags(f *flag.FlagSet) func(context.Context, netip.AddrPort) error {
	list := &vmlistserver.Server{}
	f.DurationVar(&list.Lag, "lag", 2*time.Second, "how late the list shows changes")
	file := f.String("vms", "", "JSON file with the VMs: [{\"name\",\"role\",\"address\",\"data-centre\"}]")
	return func(ctx context.Context, address netip.AddrPort) error {
		if err := loadVMs(list, *file); err != nil {
			return err
		}
		return serve(ctx, &list.Injector, address, list.Handler())
	}
}

type vmJSON struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
}

// loadVMs reads the VMs of a file into the list.
func loadVMs(list *vmlistserver.Server, file string) error {
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
		list.Put(time.Now(), quetzalroad.VM{
			Name: v.Name, Role: v.Role, Address: address, DataCentre: quetzalroad.DataCentre(v.DataCentre), State: quetzalroad.VMLive,
		})
	}
	return nil
}

func serve(ctx context.Context, injector *faultinjector.Injector, address netip.AddrPort, handler http.Handler) error {
	return injector.Serve(ctx, address, handler)
}
