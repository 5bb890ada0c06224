// Package uploader implements the command that creates or replaces an object.
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

// keyBytes is the number of random bytes in a generated key.
const keyBytes = 24

type putOptions struct {
	runner.Options
	kind     string
	create   bool
	revision string
	wait     time.Duration
}

// Command is the "put" command of a kind of object or, if Create is set, its
// "create" or "add" command.
type Command struct {
	Streams commander.IOStreams
	// Kind is the kind's plural name in API paths.
	Kind string
	// Verb is the command's name; empty means "put".
	Verb string
	// Create makes the command fail if the object exists. A new team without key
	// hashes gets a generated key, which is printed once.
	Create bool
	// Run uploads the object; nil means runPut.
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
	return c.Name() + ` [-revision N] [-wait DURATION] FILE:
  FILE contains the object as JSON and may have comments; - is standard input.
  Without -revision the change is based on the current revision. The command waits
  until the change is in force on every reachable node.
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.options.SetFlags(f)
	f.StringVar(&c.options.revision, "revision", "", "the revision that the change is based on; \"new\" if the object must not exist")
	f.DurationVar(&c.options.wait, "wait", 15*time.Second, "how long to wait for the nodes to apply the change")
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

// addGeneratedKey adds the hash of a generated key to a new team that has no key
// hashes, and prints the key. Other objects are returned as they are.
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

// ReadFile reads a file, or standard input for "-", and removes its comments.
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

// PutResult is a node's response to a change.
type PutResult struct {
	ChangeID string `json:"change-id"`
	Offset   int64  `json:"offset"`
	Revision int64  `json:"revision"`
}

// Put uploads an object under its own name. Without a revision, the change is based
// on the current revision.
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

// CurrentRevision returns the current revision of an object, or "new" if it does
// not exist.
func CurrentRevision(ctx context.Context, c *adminclient.Client, path string) (string, error) {
	response, err := c.Do(ctx, http.MethodGet, path, "", nil)
	var apiError *adminclient.APIError
	if errors.As(err, &apiError) && apiError.Status == http.StatusNotFound {
		return "new", nil
	}
	return response.Revision, err
}
