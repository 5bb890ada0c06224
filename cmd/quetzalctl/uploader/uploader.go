// Package uploader is the command that creates or replaces an object.
package uploader

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
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/adminclient"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/printer"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/runner"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/watcher"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

// keyBytes is the strength of a key made here.
const keyBytes = 24

type putOptions struct {
	runner.Options
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
	file, err := o.SingleArg("file")
	if err != nil {
		return err
	}
	data, err := ReadFile(o.Streams, file)
	if err != nil {
		return err
	}
	if o.create {
		o.revision = "new"
		if data, err = o.addGeneratedKey(data); err != nil {
			return err
		}
	}
	result, err := Put(ctx, o.Client, o.kind, o.revision, data)
	if err != nil {
		return err
	}
	if err := watcher.WaitForOffset(ctx, o.Streams, o.Client, result.Offset, o.wait); err != nil {
		return err
	}
	if o.JSON {
		return printer.JSON(o.Streams.Out, result)
	}
	_, err = fmt.Fprintf(o.Streams.Out, "revision %d\n", result.Revision)
	return err
}

// addGeneratedKey gives a new team a key of its own and prints it.
func (o *putOptions) addGeneratedKey(data []byte) ([]byte, error) {
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
	random := make([]byte, keyBytes)
	// Reading random bytes never fails.
	_, _ = rand.Read(random)
	key := "qz-" + hex.EncodeToString(random)
	hash := quetzalroad.HashKey(key)
	team["key-hashes"] = []string{hex.EncodeToString(hash[:])}
	if _, err := fmt.Fprintf(o.Streams.Out, "key %s (shown once)\n", key); err != nil {
		return nil, err
	}
	return json.Marshal(team)
}

// ReadFile reads an object from a file, without its comments.
func ReadFile(s commander.IOStreams, file string) ([]byte, error) {
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
	standardized, err := hujson.Standardize(data)
	return standardized, errors.Wrap(err, file)
}

// PutResult is what a node says of a change.
type PutResult struct {
	ChangeID string `json:"change-id"`
	Offset   int64  `json:"offset"`
	Revision int64  `json:"revision"`
}

// Put sends an object under its own name. Without a revision it is made from
// what stands now.
func Put(ctx context.Context, c *adminclient.Client, kind, revision string, data []byte) (PutResult, error) {
	var object struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(data, &object); err != nil {
		return PutResult{}, err
	}
	if object.Name == "" {
		return PutResult{}, &commander.UsageError{Problem: "the object has no name"}
	}
	path := kind + "/" + url.PathEscape(object.Name)
	if revision == "" {
		current, err := CurrentRevision(ctx, c, path)
		if err != nil {
			return PutResult{}, err
		}
		revision = current
	}
	response, err := c.Do(ctx, http.MethodPut, path, revision, data)
	if err != nil {
		return PutResult{}, err
	}
	var result PutResult
	return result, errors.Wrap(json.Unmarshal(response.Body, &result), "answer")
}

// CurrentRevision gives the revision that stands now; "new" where there is none.
func CurrentRevision(ctx context.Context, c *adminclient.Client, path string) (string, error) {
	response, err := c.Do(ctx, http.MethodGet, path, "", nil)
	var apiError *adminclient.APIError
	if errors.As(err, &apiError) && apiError.Status == http.StatusNotFound {
		return "new", nil
	}
	return response.Revision, err
}
