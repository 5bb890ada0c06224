// Package emulator provides the commands that run a single emulator as its own process.
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

// options are the command's dependencies and flags.
type options struct {
	streams commander.IOStreams
	address string
	// serve serves the emulator until the context ends.
	serve func(ctx context.Context, address netip.AddrPort) error
}

// Command is a command that runs one emulator.
type Command struct {
	// Streams are the command's input and outputs.
	Streams commander.IOStreams
	// CommandName is the name of the command.
	CommandName string
	// Summary describes the command in one line.
	Summary string
	// DeclareFlags binds the command's flags and returns the function that serves the emulator.
	DeclareFlags func(f *flag.FlagSet) func(ctx context.Context, address netip.AddrPort) error
	// Run runs the command; nil selects runEmulator.
	Run     func(ctx context.Context, o *options) error
	options options
}

// Name implements subcommands.Command.
func (c *Command) Name() string { return c.CommandName }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return c.Summary }

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	return c.CommandName + " -address IP:port [flags]:\n  " + c.Summary + ". Set faults with PUT /faults; read statistics with GET /stats.\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.address, "address", "", "listen address, IP:port")
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

// Commands returns the commands of all emulators.
func Commands(s commander.IOStreams) []*Command {
	return []*Command{
		{Streams: s, CommandName: "engine", Summary: "emulate a model engine", DeclareFlags: declareEngineFlags},
		{Streams: s, CommandName: "service", Summary: "emulate a plain service that counts its executions", DeclareFlags: declareServiceFlags},
		{Streams: s, CommandName: "log", Summary: "emulate the platform's log", DeclareFlags: declareLogFlags},
		{Streams: s, CommandName: "vm-list", Summary: "emulate the platform's list of VMs", DeclareFlags: declareVMListFlags},
	}
}

func declareEngineFlags(f *flag.FlagSet) func(context.Context, netip.AddrPort) error {
	engine := &engineserver.Engine{}
	f.IntVar(&engine.Model.MaxBatchSize, "batch", 64, "maximum number of concurrent requests")
	f.DurationVar(&engine.Model.BaseStepTime, "token-time", 8*time.Millisecond, "duration of a decoding step with an empty batch")
	f.DurationVar(&engine.Model.StepTimePerRequest, "per-request", 100*time.Microsecond, "time that each running request adds to a step")
	f.DurationVar(&engine.Model.PrefillTimePerToken, "prefill-time", 20*time.Microsecond, "prefill time of a prompt token that isn't cached")
	return func(ctx context.Context, address netip.AddrPort) error {
		go func() {
			// Run returns only when the context ends.
			_ = engine.Run(ctx)
		}()
		return serve(ctx, &engine.Injector, address, engine.Handler())
	}
}

func declareServiceFlags(f *flag.FlagSet) func(context.Context, netip.AddrPort) error {
	service := &echoserver.Server{}
	f.DurationVar(&service.ProcessingTime, "run-time", 10*time.Millisecond, "processing time of a request")
	return func(ctx context.Context, address netip.AddrPort) error {
		return serve(ctx, &service.Injector, address, service.Handler())
	}
}

func declareLogFlags(f *flag.FlagSet) func(context.Context, netip.AddrPort) error {
	log := &logserver.Server{}
	f.DurationVar(&log.AppendLatency, "append-time", 5*time.Millisecond, "duration of an append")
	f.DurationVar(&log.Retention, "retention", 0, "how long records are retained; zero means without limit")
	return func(ctx context.Context, address netip.AddrPort) error {
		return serve(ctx, &log.Injector, address, log.Handler())
	}
}

func declareVMListFlags(f *flag.FlagSet) func(context.Context, netip.AddrPort) error {
	list := &vmlistserver.Server{}
	f.DurationVar(&list.Lag, "lag", 2*time.Second, "delay until the list shows a change")
	file := f.String("vms", "", "JSON file of VMs: [{\"name\",\"role\",\"address\",\"data-centre\"}]")
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

// loadVMs adds the VMs of a JSON file to the list.
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
			return errors.Wrapf(err, "%s: VM %d", file, i)
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
