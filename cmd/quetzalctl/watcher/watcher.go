// Package watcher waits until a change is in force on every node that can be
// reached.
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
	// pollInterval is how often the nodes are looked at.
	pollInterval = 200 * time.Millisecond
	// unreachableAfter is how long ago a node was last heard of that counts as out
	// of reach.
	unreachableAfter = 8 * time.Second
)

// WaitForOffset waits until all nodes within reach have applied an offset, and says
// which were out of reach or too late.
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

// classifyNodes tells nodes that have a change from those that lack it and those out of
// reach.
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
