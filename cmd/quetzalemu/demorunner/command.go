package demorunner

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/platformrunner"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// stopTimeout limits the planned stop of the demo.
const stopTimeout = 30 * time.Second

// options are the command's dependencies and flags.
type options struct {
	streams       commander.IOStreams
	once          bool
	platform      bool
	addressesFile string
	logLevel      string
}

// Command is the demo command.
type Command struct {
	// Streams are the command's input and outputs.
	Streams commander.IOStreams
	// Run runs the demo; nil selects runDemo.
	Run     func(ctx context.Context, o *options) error
	options options
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "run a small deployment on loopback" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `demo [-platform] [-once] [-addresses FILE] [-log-level LEVEL]:
  Starts the log, the VM list, engines, a plain service and three nodes in two
  data centres, prints their addresses and a curl command for each kind of
  request, and runs until interrupted. With -platform, runs nodes against
  emulators of the users' platform: its store, servers and callers.

  quetzalemu demo
  quetzalemu demo -once
  quetzalemu demo -addresses /tmp/addresses.json
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.options.once, "once", false, "send the requests, print the responses, and exit 0 only if all checks pass")
	f.BoolVar(&c.options.platform, "platform", false, "run the nodes against emulators of the users' platform")
	f.StringVar(&c.options.addressesFile, "addresses", "", "write the addresses as JSON to this file once all nodes are ready")
	f.StringVar(&c.options.logLevel, "log-level", "error", "debug, info, warn or error")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.streams = c.Streams
	run := c.Run
	if run == nil {
		run = runDemo
	}
	return c.Streams.ReportError("demo", run(ctx, &c.options))
}

func runDemo(ctx context.Context, o *options) error {
	level, err := commander.ParseLevel(o.logLevel)
	if err != nil {
		return err
	}
	runCtx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if o.platform {
		return platformrunner.Run(runCtx, o.streams, o.streams.Logger(level), o.once)
	}
	emulatorCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := newDeployment(o.streams.Logger(level))
	if err != nil {
		return err
	}
	if err := d.start(emulatorCtx); err != nil {
		return err
	}
	if o.addressesFile != "" {
		if err := d.writeAddresses(o.addressesFile); err != nil {
			return err
		}
	}
	if err := d.printEndpoints(o.streams); err != nil {
		return err
	}
	if o.once {
		err = d.runOnce(runCtx, o.streams)
	} else {
		err = d.waitForExit(runCtx)
	}
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	d.logger.Log(ctx, slog.LevelInfo, "stopping the demo")
	d.stop(stopCtx)
	return err
}

// waitForExit waits for an interrupt or the first failure of an emulator or a node.
func (d *deployment) waitForExit(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-d.failed:
		return err
	}
}

// printEndpoints prints the addresses and an example command for each kind of request.
func (d *deployment) printEndpoints(s commander.IOStreams) error {
	formatLine := func(kind string, p process) string {
		return fmt.Sprintf("%-8s %-12s %-10s %s\n", kind, p.name, p.dataCentre, p.address)
	}
	text := ""
	for _, p := range d.nodes {
		text += formatLine("node", p)
		text += fmt.Sprintf("%-8s %-12s %-10s %s\n", "admin", p.name, p.dataCentre, p.adminAddress)
	}
	for _, p := range d.engines {
		text += formatLine("engine", p)
	}
	for _, p := range d.services {
		text += formatLine("service", p)
	}
	text += fmt.Sprintf("%-8s %s\n%-8s %s\n\n", "log", d.logAddress, "vm-list", d.vmListAddress)
	text += "# a streamed chat\n" + d.chatCommand() + "\n\n# a booking\n" + d.bookingCommand() + "\n\n# a drain\n" + d.drainCommand() + "\n\n"
	_, err := fmt.Fprint(s.Out, text)
	return err
}

func (d *deployment) chatCommand() string {
	return fmt.Sprintf(`curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"%s","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"How long until solar panels pay back?"}]}'`,
		d.nodes[0].address, teamKey, modelName)
}

func (d *deployment) bookingCommand() string {
	return fmt.Sprintf(`curl -si http://%s/services/%s/bookings -H 'Authorization: Bearer %s' -H 'Quetzalroad-Profile: booking' -H 'Idempotency-Key: visit-1' -d '{"visit":"2026-12-09"}'`,
		d.nodes[1].address, serviceName, teamKey)
}

func (d *deployment) drainCommand() string {
	return fmt.Sprintf(`curl -s -X POST http://%s/admin/v1/upstreams/%s/drain -H 'Authorization: Bearer %s'`,
		d.nodes[0].adminAddress, d.engines[0].name, adminKey)
}
