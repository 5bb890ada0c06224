// Package watcher waits until a change is in force on every reachable node.
package watcher

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/adminclient"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

const (
	// pollInterval is the interval at which the nodes are polled.
	pollInterval = 200 * time.Millisecond
	// unreachableAfter is the time without a heartbeat after which a node counts as
	// unreachable.
	unreachableAfter = 8 * time.Second
)

// WaitForOffset waits until all reachable nodes have applied an offset, and prints which nodes were
// unreachable or did not apply it in time, which it does not return as an error.
func WaitForOffset(ctx context.Context, s commander.IOStreams, c *adminclient.Client, offset int64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	lastProgress := ""
	for {
		nodes, err := c.ListNodes(ctx)
		if err != nil {
			return err
		}
		applied, lagging, unreachable := classifyNodes(nodes, offset)
		progress := fmt.Sprintf("in force on %d of %d nodes", applied, applied+len(lagging))
		if progress != lastProgress {
			lastProgress = progress
			if _, err := fmt.Fprintln(s.ErrOut, progress); err != nil {
				return err
			}
		}
		if len(lagging) == 0 {
			return printNodes(s, "out of reach", unreachable)
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return printNodes(s, "not in force yet", append(lagging, unreachable...))
		}
	}
}

// classifyNodes counts the nodes that have applied an offset, and returns the names
// of the reachable and of the unreachable nodes that have not.
func classifyNodes(nodes []adminclient.Node, offset int64) (applied int, lagging, unreachable []string) {
	for _, n := range nodes {
		ago, err := time.ParseDuration(n.HeardAgo)
		switch {
		case n.Offset >= offset:
			applied++
		case err == nil && ago > unreachableAfter:
			unreachable = append(unreachable, n.Name)
		default:
			lagging = append(lagging, n.Name)
		}
	}
	return applied, lagging, unreachable
}

func printNodes(s commander.IOStreams, label string, names []string) error {
	if len(names) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(s.ErrOut, "%s: %s\n", label, strings.Join(names, ", "))
	return err
}
