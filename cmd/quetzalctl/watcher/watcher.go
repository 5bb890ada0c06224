// Package watcher waits until a change is in force on every node that can be
// reached.
package watcher

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalctl/caller"
	"github.com/quetzalroad/quetzalroad/support/commander"
)

const (
	// pollEvery is how often the nodes are looked at.
	pollEvery = 200 * time.Millisecond
	// silentAfter is how long ago a node was last heard of that counts as out
	// of reach.
	silentAfter = 8 * time.Second
)

// Await waits until all nodes within reach have applied an offset, and says
// which were out of reach or too late.
func Await(ctx context.Context, s commander.IOStreams, c *caller.Caller, offset int64, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	shown := ""
	for {
		nodes, err := c.ListNodes(ctx)
		if err != nil {
			return err
		}
		done, late, silent := sort(nodes, offset)
		progress := fmt.Sprintf("in force on %d of %d nodes", done, done+len(late))
		if progress != shown {
			shown = progress
			if _, err := fmt.Fprintln(s.ErrOut, progress); err != nil {
				return err
			}
		}
		if len(late) == 0 {
			return tell(s, "out of reach", silent)
		}
		timer := time.NewTimer(pollEvery)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return tell(s, "not in force yet", append(late, silent...))
		}
	}
}

// sort tells nodes that have a change from those that lack it and those out of
// reach.
func sort(nodes []caller.Node, offset int64) (done int, late, silent []string) {
	for _, n := range nodes {
		ago, err := time.ParseDuration(n.HeardAgo)
		switch {
		case n.Offset >= offset:
			done++
		case err == nil && ago > silentAfter:
			silent = append(silent, n.Name)
		default:
			late = append(late, n.Name)
		}
	}
	return done, late, silent
}

func tell(s commander.IOStreams, what string, names []string) error {
	if len(names) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(s.ErrOut, "%s: %s\n", what, strings.Join(names, ", "))
	return err
}
