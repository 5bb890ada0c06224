// Package commander provides what the commands of all programs share: standard
// streams, exit codes and command lookup.
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

// IOStreams are the input and output streams of a command.
type IOStreams struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer
	// IsTerminal reports whether Out is a terminal.
	IsTerminal bool
}

// SystemIOStreams returns the standard streams of the process.
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
	ExitCancelled = subcommands.ExitStatus(130) // 128 + SIGINT, as shells report an interrupt
)

// UsageError reports that a command was called with invalid arguments.
type UsageError struct {
	Problem string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Problem }

// ReportError returns the exit code of an error and prints it unless it is a cancellation.
func (s IOStreams) ReportError(command string, err error) subcommands.ExitStatus {
	var usage *UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, context.Canceled):
		return ExitCancelled
	case errors.As(err, &usage):
		s.printf("%s: %s\nrun 'help %s' for usage\n", command, usage.Problem, command)
		return ExitUsage
	}
	s.printf("%s: %v\n", command, err)
	return ExitFailure
}

func (s IOStreams) printf(format string, args ...any) {
	// A failure to print an error can't be reported.
	_, _ = fmt.Fprintf(s.ErrOut, format, args...)
}

// Logger returns a structured logger that writes to the error stream.
func (s IOStreams) Logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(s.ErrOut, &slog.HandlerOptions{Level: level}))
}

// ParseLevel parses the name of a log level.
func ParseLevel(text string) (slog.Level, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return 0, &UsageError{Problem: fmt.Sprintf("%q is not a log level: debug, info, warn or error", text)}
	}
	return level, nil
}

// CommandSet is the set of commands of a program.
type CommandSet struct {
	*subcommands.Commander
	ioStreams IOStreams
	names     []string
}

// New returns the command set of a program with the help commands.
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

// Execute runs the command named by the arguments. For an unknown name it
// suggests the closest one.
func (c *CommandSet) Execute(ctx context.Context) subcommands.ExitStatus {
	name := flag.Arg(0)
	known := append([]string{"", "help", "flags", "commands"}, c.names...)
	if !slices.Contains(known, name) {
		if closest := configloader.ClosestMatch(name, c.names); closest != "" {
			c.ioStreams.printf("%q is not a command, did you mean %q?\n", name, closest)
		} else {
			c.ioStreams.printf("%q is not a command\n", name)
		}
		return ExitUsage
	}
	return c.Commander.Execute(ctx)
}
