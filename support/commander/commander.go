// Package commander holds what the commands of all programs share: the
// streams handed to them and the exit codes.
package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/support/configurer"
)

// Streams are a command's input and outputs.
type Streams struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer
	// Terminal tells that Out is a terminal.
	Terminal bool
}

// System gives the process's own streams.
func System() Streams {
	info, err := os.Stdout.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return Streams{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr, Terminal: terminal}
}

// The exit codes of all programs.
const (
	ExitOK        = subcommands.ExitSuccess
	ExitRefused   = subcommands.ExitFailure
	ExitUsage     = subcommands.ExitUsageError
	ExitCancelled = subcommands.ExitStatus(130)
)

// UsageError is an error in the way a command was called.
type UsageError struct {
	Problem string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Problem }

// Exit prints an error and gives the exit code for it.
func (s Streams) Exit(command string, err error) subcommands.ExitStatus {
	var usage *UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, context.Canceled):
		return ExitCancelled
	case errors.As(err, &usage):
		s.printf("%s: %s\nsee: help %s\n", command, usage.Problem, command)
		return ExitUsage
	}
	s.printf("%s: %v\n", command, err)
	return ExitRefused
}

func (s Streams) printf(format string, args ...any) {
	// There is nowhere to report a failure to print an error.
	_, _ = fmt.Fprintf(s.ErrOut, format, args...)
}

// Logger gives a structured log to the error stream.
func (s Streams) Logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(s.ErrOut, &slog.HandlerOptions{Level: level}))
}

// ParseLevel reads the name of a log level.
func ParseLevel(text string) (slog.Level, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return 0, &UsageError{Problem: fmt.Sprintf("%q is not a log level: debug, info, warn or error", text)}
	}
	return level, nil
}

// Commands is a program's set of commands.
type Commands struct {
	*subcommands.Commander
	streams Streams
	names   []string
}

// New makes a program's set with the help commands.
func New(program string, s Streams) *Commands {
	c := &Commands{Commander: subcommands.NewCommander(flag.CommandLine, program), streams: s}
	c.Commander.Output = s.Out
	c.Commander.Error = s.ErrOut
	c.Commander.Register(c.Commander.HelpCommand(), "help")
	c.Commander.Register(c.Commander.FlagsCommand(), "help")
	c.Commander.Register(c.Commander.CommandsCommand(), "help")
	return c
}

// Register adds a command.
func (c *Commands) Register(command subcommands.Command, group string) {
	c.names = append(c.names, command.Name())
	c.Commander.Register(command, group)
}

// Execute runs the command that the arguments name. An unknown name suggests
// the nearest one.
func (c *Commands) Execute(ctx context.Context) subcommands.ExitStatus {
	name := flag.Arg(0)
	known := append([]string{"", "help", "flags", "commands"}, c.names...)
	if !slices.Contains(known, name) {
		if nearest := configurer.Nearest(name, c.names); nearest != "" {
			c.streams.printf("%q is not a command, did you mean %q?\n", name, nearest)
		} else {
			c.streams.printf("%q is not a command\n", name)
		}
		return ExitUsage
	}
	return c.Commander.Execute(ctx)
}
