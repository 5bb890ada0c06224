// Package server implements the command that runs the node.
package server

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/commander"
	"github.com/quetzalroad/quetzalroad/support/logger"
)

// settingsFileVariable is the environment variable with the path of the settings
// file, used if the command line has none.
const settingsFileVariable = "QUETZALROAD_BOOT"

// stopLogInterval is the interval at which a stopping node logs its work in flight.
const stopLogInterval = 10 * time.Second

// options are the command's dependencies, flags and arguments.
type options struct {
	streams commander.IOStreams
	file    string
	level   slog.Level
	// stopSignals receives the requests for a graceful stop; each further one logs
	// the work in flight.
	stopSignals <-chan os.Signal
	// reloadSignals receives the requests to check the settings file.
	reloadSignals <-chan os.Signal
}

// Command is the "serve" command.
type Command struct {
	Streams commander.IOStreams
	// Run runs the node; nil means runServe.
	Run      func(ctx context.Context, o *options) error
	logLevel string
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "run the node" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `serve [-log-level LEVEL] [FILE]:
  Runs the node with the settings in FILE, or in the file that the environment
  variable QUETZALROAD_BOOT names, until SIGTERM or SIGINT. The node then reports
  itself as not ready, keeps accepting requests while the load balancer may still
  route to it, waits for the requests in flight and exits with status 0. A second
  signal logs what is in flight. SIGHUP checks the file again; changes to it take
  effect at the next start.

  quetzalroad serve node.hujson
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.logLevel, "log-level", "info", "debug, info, warn or error")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.Streams.ReportError("serve", c.execute(ctx, f))
}

func (c *Command) execute(ctx context.Context, f *flag.FlagSet) error {
	file := f.Arg(0)
	if file == "" {
		file = os.Getenv(settingsFileVariable)
	}
	if f.NArg() > 1 || file == "" {
		return &commander.UsageError{Problem: "exactly one settings file is required"}
	}
	level, err := commander.ParseLevel(c.logLevel)
	if err != nil {
		return err
	}
	stopSignals := make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stopSignals)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	run := c.Run
	if run == nil {
		run = runServe
	}
	return run(ctx, &options{streams: c.Streams, file: file, level: level, stopSignals: stopSignals, reloadSignals: reloadSignals})
}

func runServe(ctx context.Context, o *options) error {
	data, err := os.ReadFile(o.file)
	if err != nil {
		return err
	}
	config := kernel.NewConfig()
	if err := config.Load(o.file, data); err != nil {
		return err
	}
	log, logWriter := logger.New(o.streams.Out, o.level)
	defer func() { _ = logWriter.Close() }()
	node, err := config.Build(log)
	if err != nil {
		log.Error("failed to start the node", "file", o.file, "error", err)
		return err
	}
	node.Start()
	node.Logger.Info("started", "file", o.file, "data-centre", string(node.DataCentre), "region", string(node.Region))
	done := make(chan error, 1)
	go func() { done <- node.Wait() }()
	for {
		select {
		case err := <-done:
			return err
		case <-node.Failed():
			return awaitEnd(node, done)
		case <-o.reloadSignals:
			checkSettings(node.Logger, o.file)
		case <-o.stopSignals:
			go node.Stop(ctx)
			return waitUntilStopped(node, done, o)
		}
	}
}

// failureTimeout bounds the wait for the other tasks of a node that ends because of a failed one.
const failureTimeout = 2 * time.Second

// errFailed is the error of a node whose tasks didn't end in time after one of them had failed.
var errFailed = errors.New("a task failed, and others did not end in time")

// awaitEnd waits until a node has ended that failed.
func awaitEnd(node *kernel.Node, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-time.After(failureTimeout):
		node.Logger.Error("tasks still run; ending the process")
		return errFailed
	}
}

// checkSettings checks the settings file again and logs the result. The running
// node keeps its settings.
func checkSettings(log *slog.Logger, file string) {
	data, err := os.ReadFile(file)
	if err == nil {
		err = kernel.NewConfig().Load(file, data)
	}
	if err != nil {
		log.Error("settings file is invalid; the current settings remain in effect", "file", file, "error", err)
		return
	}
	log.Info("settings file is valid; changes take effect at the next start", "file", file)
}

// waitUntilStopped waits until the node has stopped, and logs the work in flight
// every stopLogInterval and at each further stop signal.
func waitUntilStopped(node *kernel.Node, done <-chan error, o *options) error {
	ticker := time.NewTicker(stopLogInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			node.Logger.Info("stopped")
			return err
		case <-o.stopSignals:
			node.Logger.Warn("still stopping", "open", node.InFlight())
		case <-o.reloadSignals:
			checkSettings(node.Logger, o.file)
		case <-ticker.C:
			node.Logger.Info("still stopping", "open", node.InFlight())
		}
	}
}
