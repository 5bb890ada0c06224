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

	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// IOStreams are a command's input and outputs.
type IOStreams struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer
	// IsTerminal tells that Out is a terminal.
	IsTerminal bool
}

// SystemIOStreams gives the process's own streams.
func SystemIOStreams() IOStreams {
	info, err := os.Stdout.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return IOStreams{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr, IsTerminal: terminal}
}

// The exit codes of all programs.
const (
	ExitOK        = subcommands.ExitSuccess
	ExitFailure   = subcommands.ExitFailure
	ExitUsage     = subcommands.ExitUsageError
	ExitCancelled = subcommands.ExitStatus(130)
)

// UsageError is an error in the way a command was called.
type UsageError struct {
	Problem string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Problem }

// ReportError prints an error and gives the exit code for it.
func (s IOStreams) ReportError(command string, err error) subcommands.ExitStatus {
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
	return ExitFailure
}

func (s IOStreams) printf(format string, args ...any) {
	// There is nowhere to report a failure to print an error.
	_, _ = fmt.Fprintf(s.ErrOut, format, args...)
}

// Logger gives a structured log to the error stream.
func (s IOStreams) Logger(level slog.Level) *slog.Logger {
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

// CommandSet is a program's set of commands.
type CommandSet struct {
	*subcommands.Commander
	ioStreams IOStreams
	names     []string
}

// New makes a program's set with the help commands.
func New(program string, s IOStreams) *CommandSet {
	c := &CommandSet{Commander: subcommands.NewCommander(flag.CommandLine, program), ioStreams: s}
	c.Commander.Output = s.Out
	c.Commander.Error = s.ErrOut
	c.Commander.Register(c.Commander.HelpCommand(), "help")
	c.Commander.Register(c.Commander.FlagsCommand(), "help")
	c.Commander.Register(c.Commander.CommandsCommand(), "help")
	return c
}

// Register adds a command.
func (c *CommandSet) Register(command subcommands.Command, group string) {
	c.names = append(c.names, command.Name())
	c.Commander.Register(command, group)
}

// Execute runs the command that the arguments name. An unknown name suggests
// the nearest one.
func (c *CommandSet) Execute(ctx context.Context) subcommands.ExitStatus {
	name := flag.Arg(0)
	known := append([]string{"", "help", "flags", "commands"}, c.names...)
	if !slices.Contains(known, name) {
		if nearest := configloader.ClosestMatch(name, c.names); nearest != "" {
			c.ioStreams.printf("%q is not a command, did you mean %q?\n", name, nearest)
		} else {
			c.ioStreams.printf("%q is not a command\n", name)
		}
		return ExitUsage
	}
	return c.Commander.Execute(ctx)
}
