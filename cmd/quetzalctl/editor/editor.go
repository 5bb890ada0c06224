// Package editor implements the command that changes fields of an object.
package editor

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/runner"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/uploader"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/watcher"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

type editOptions struct {
	runner.Options
	kind string
	wait time.Duration
}

// Command is the "edit" command of a kind of object.
type Command struct {
	Streams commander.IOStreams
	// Kind is the kind's plural name in API paths.
	Kind string
	// Run edits the object; nil means runEdit.
	Run     func(ctx context.Context, o *editOptions) error
	options editOptions
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "edit" }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return "change fields of one of the " + c.Kind }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `edit NAME FIELD=VALUE...:
  VALUE is parsed as JSON; if that fails, it is a string. The edit is rejected if
  the object was changed in the meantime.

  quetzalctl profile edit chat first-token-target=250ms tier=1
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.options.SetFlags(f)
	f.DurationVar(&c.options.wait, "wait", 15*time.Second, "how long to wait for the nodes to apply the change")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Streams, c.options.kind = c.Streams, c.Kind
	run := c.Run
	if run == nil {
		run = runEdit
	}
	err := c.options.Complete(f)
	if err == nil {
		err = run(ctx, &c.options)
	}
	return c.Streams.ReportError("edit", err)
}

func runEdit(ctx context.Context, o *editOptions) error {
	if len(o.Args) < 2 {
		return &commander.UsageError{Problem: "a name and at least one FIELD=VALUE are required"}
	}
	response, err := o.Client.Do(ctx, http.MethodGet, o.kind+"/"+url.PathEscape(o.Args[0]), "", nil)
	if err != nil {
		return err
	}
	var object map[string]any
	if err := json.Unmarshal(response.Body, &object); err != nil {
		return err
	}
	for _, assignment := range o.Args[1:] {
		name, value, ok := strings.Cut(assignment, "=")
		if !ok {
			return &commander.UsageError{Problem: fmt.Sprintf("%q is not FIELD=VALUE", assignment)}
		}
		object[name] = parseValue(value)
	}
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	result, err := uploader.Put(ctx, o.Client, o.kind, response.Revision, data)
	if err != nil {
		return err
	}
	if err := watcher.WaitForOffset(ctx, o.Streams, o.Client, result.Offset, o.wait); err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Streams.Out, "revision %d\n", result.Revision)
	return err
}

// parseValue parses a value as JSON, or returns it as a string if it is not JSON.
func parseValue(text string) any {
	var v any
	if json.Unmarshal([]byte(text), &v) == nil {
		return v
	}
	return text
}
