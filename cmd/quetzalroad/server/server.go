// Package server is the command that runs the node.
package server

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/commander"
	"github.com/quetzalroad/quetzalroad/support/logger"
)

// bootVariable names the settings file where the command line names none.
const bootVariable = "QUETZALROAD_BOOT"

// stillOpenEvery is how often a stopping node says what it waits for.
const stillOpenEvery = 10 * time.Second

// options are what the command depends on and its flags.
type options struct {
	streams commander.IOStreams
	file    string
	level   slog.Level
	// signals asks for a planned stop; each further one says what is open.
	signals <-chan os.Signal
	// reloads tells that the settings file changed.
	reloads <-chan os.Signal
}

// Command is "serve".
type Command struct {
	// Streams are the command's.
	Streams commander.IOStreams
	// Run runs the node; nil stands for the real one.
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
  Runs the node with the settings in FILE, or in the file that the variable
  QUETZALROAD_BOOT names, until SIGTERM or SIGINT. It then turns unready, goes
  on accepting while the balancer's list lags, waits for the last answer and
  exits 0. A second signal says what is still open. SIGHUP checks the file
  again; what changed in it holds from the next start.

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
		file = os.Getenv(bootVariable)
	}
	if f.NArg() > 1 || file == "" {
		return &commander.UsageError{Problem: "one settings file is needed"}
	}
	level, err := commander.ParseLevel(c.logLevel)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	run := c.Run
	if run == nil {
		run = runServe
	}
	return run(ctx, &options{streams: c.Streams, file: file, level: level, signals: signals, reloads: reloads})
}

func runServe(ctx context.Context, o *options) error {
	data, err := os.ReadFile(o.file)
	if err != nil {
		return err
	}
	plan := kernel.NewConfig()
	if err := plan.Load(o.file, data); err != nil {
		return err
	}
	log, lines := logger.New(o.streams.Out, o.level)
	defer func() { _ = lines.Close() }()
	node, err := plan.Build(log)
	if err != nil {
		log.Error("not started", "file", o.file, "error", err)
		return err
	}
	node.Start()
	node.Logger.Info("started", "file", o.file, "data-centre", string(node.DataCentre), "region", string(node.Region))
	ended := make(chan error, 1)
	go func() { ended <- node.Wait() }()
	for {
		select {
		case err := <-ended:
			return err
		case <-o.reloads:
			recheck(node.Logger, o.file)
		case <-o.signals:
			go node.Stop(ctx)
			return awaitEnd(node, ended, o)
		}
	}
}

// recheck reads the settings file again and logs what it finds. The running
// node keeps its settings.
func recheck(log *slog.Logger, file string) {
	data, err := os.ReadFile(file)
	if err == nil {
		err = kernel.NewConfig().Load(file, data)
	}
	if err != nil {
		log.Error("settings file has findings, the running settings stay", "file", file, "error", err)
		return
	}
	log.Info("settings file checked, it holds from the next start", "file", file)
}

// awaitEnd waits for the last answer, and says what is open now and then and
// at each further signal.
func awaitEnd(node *kernel.Node, ended <-chan error, o *options) error {
	ticker := time.NewTicker(stillOpenEvery)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			node.Logger.Info("stopped")
			return err
		case <-o.signals:
			node.Logger.Warn("still stopping", "open", node.InFlight())
		case <-o.reloads:
			recheck(node.Logger, o.file)
		case <-ticker.C:
			node.Logger.Info("still stopping", "open", node.InFlight())
		}
	}
}
