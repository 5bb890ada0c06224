// Package putter is the command that creates or replaces an object.
package putter

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/tailscale/hujson"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/caller"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/grouper"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/printer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/watcher"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// keyBytes is the strength of a key made here.
const keyBytes = 24

type putOptions struct {
	grouper.Options
	kind     string
	create   bool
	revision string
	wait     time.Duration
}

// Command is "KIND put" or, where Create is set, "KIND create" or "add".
type Command struct {
	// Streams are the command's.
	Streams commander.IOStreams
	// Kind is the plural in the path.
	Kind string
	// Verb is the command's name; empty stands for "put".
	Verb string
	// Create makes it refuse an object that exists; a team gets a key, which
	// is printed once.
	Create bool
	// Run puts; nil stands for the real one.
	Run     func(ctx context.Context, o *putOptions) error
	options putOptions
}

// Name implements subcommands.Command.
func (c *Command) Name() string {
	if c.Verb == "" {
		return "put"
	}
	return c.Verb
}

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string {
	if c.Create {
		return "create one of the " + c.Kind + " from a JSON file"
	}
	return "create or replace one of the " + c.Kind + " from a JSON file"
}

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	return c.Name() + ` [-revision N] [-wait SPAN] FILE:
  FILE holds the object as JSON, with comments if you like; - is the standard
  input. Without -revision the change is made from what stands now. Tells when
  the change is in force on every node that can be reached.
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.options.SetFlags(f)
	f.StringVar(&c.options.revision, "revision", "", "the revision that the change was made from; \"new\" for none")
	f.DurationVar(&c.options.wait, "wait", 15*time.Second, "how long to wait for the nodes")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Streams, c.options.kind, c.options.create = c.Streams, c.Kind, c.Create
	run := c.Run
	if run == nil {
		run = runPut
	}
	err := c.options.Complete(f)
	if err == nil {
		err = run(ctx, &c.options)
	}
	return c.Streams.ReportError(c.Name(), err)
}

func runPut(ctx context.Context, o *putOptions) error {
	file, err := o.One("file")
	if err != nil {
		return err
	}
	data, err := Read(o.Streams, file)
	if err != nil {
		return err
	}
	if o.create {
		o.revision = "new"
		if data, err = o.withKey(data); err != nil {
			return err
		}
	}
	accepted, err := Put(ctx, o.Caller, o.kind, o.revision, data)
	if err != nil {
		return err
	}
	if err := watcher.Await(ctx, o.Streams, o.Caller, accepted.Offset, o.wait); err != nil {
		return err
	}
	if o.JSON {
		return printer.JSON(o.Streams.Out, accepted)
	}
	_, err = fmt.Fprintf(o.Streams.Out, "revision %d\n", accepted.Revision)
	return err
}

// withKey gives a new team a key of its own and prints it.
func (o *putOptions) withKey(data []byte) ([]byte, error) {
	var team map[string]any
	if o.kind != "teams" {
		return data, nil
	}
	if err := json.Unmarshal(data, &team); err != nil {
		return nil, err
	}
	if _, has := team["key-hashes"]; has {
		return data, nil
	}
	secret := make([]byte, keyBytes)
	// Reading random bytes never fails.
	_, _ = rand.Read(secret)
	key := "qz-" + hex.EncodeToString(secret)
	sum := quetzalroad.HashKey(key)
	team["key-hashes"] = []string{hex.EncodeToString(sum[:])}
	if _, err := fmt.Fprintf(o.Streams.Out, "key %s (shown once)\n", key); err != nil {
		return nil, err
	}
	return json.Marshal(team)
}

// Read reads an object from a file, without its comments.
func Read(s commander.IOStreams, file string) ([]byte, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(s.In)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, err
	}
	plain, err := hujson.Standardize(data)
	return plain, errors.Wrap(err, file)
}

// Accepted is what a node says of a change.
type Accepted struct {
	ChangeID string `json:"change-id"`
	Offset   int64  `json:"offset"`
	Revision int64  `json:"revision"`
}

// Put sends an object under its own name. Without a revision it is made from
// what stands now.
func Put(ctx context.Context, c *caller.Caller, kind, revision string, data []byte) (Accepted, error) {
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(data, &named); err != nil {
		return Accepted{}, err
	}
	if named.Name == "" {
		return Accepted{}, &commander.UsageError{Problem: "the object has no name"}
	}
	path := kind + "/" + url.PathEscape(named.Name)
	if revision == "" {
		now, err := Revision(ctx, c, path)
		if err != nil {
			return Accepted{}, err
		}
		revision = now
	}
	a, err := c.Do(ctx, http.MethodPut, path, revision, data)
	if err != nil {
		return Accepted{}, err
	}
	var accepted Accepted
	return accepted, errors.Wrap(json.Unmarshal(a.Body, &accepted), "answer")
}

// Revision gives the revision that stands now; "new" where there is none.
func Revision(ctx context.Context, c *caller.Caller, path string) (string, error) {
	a, err := c.Do(ctx, http.MethodGet, path, "", nil)
	var refused *caller.RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return "new", nil
	}
	return a.Revision, err
}
