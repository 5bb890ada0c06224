package checker

import (
	"slices"
	"strings"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backendserver"
)

const (
	// learntCrash is the crash under deadly requests from which they have to be known, and allowedDeadly the
	// number of them that may still reach servers.
	learntCrash   = 5
	allowedDeadly = 3
	// pauseDelay is how long after a server asked for a pause requests may still arrive, and allowedInPause the
	// number of them that may arrive later in it.
	pauseDelay     = 500 * time.Millisecond
	allowedInPause = 2
)

// checkDeadly checks that requests that crash servers are kept from them once several servers have crashed, by
// nodes that could learn of it: neither they nor the store was disrupted meanwhile.
func (c *Checker) checkDeadly(report reportFunc) {
	if len(c.deadlyCrashes) < learntCrash {
		return
	}
	slices.SortFunc(c.deadlyCrashes, time.Time.Compare)
	knownFrom := c.deadlyCrashes[learntCrash-1].Add(c.Bounds.StabilizationTime)
	var late []Arrival
	for _, a := range c.arrivals {
		if a.Deadly && a.ReceivedAt.After(knownFrom) && c.couldLearn(c.exchanges[a.RequestID].Node, c.deadlyCrashes[0], a.ReceivedAt) {
			late = append(late, a)
		}
	}
	if len(late) > allowedDeadly {
		report("deadly", late[0].RequestID, "%d deadly requests reached servers later than %s after the %dth of %d crashes", len(late), c.Bounds.StabilizationTime, learntCrash, len(c.deadlyCrashes))
	}
}

// nodeUndisturbed reports whether no disruption of a node itself overlaps an interval. What servers say of
// themselves binds a node whatever happens elsewhere.
func (c *Checker) nodeUndisturbed(node int, from, until time.Time) bool {
	return !slices.ContainsFunc(c.nodeDisruptions[node], func(i interval) bool { return i.overlaps(from, until, 0) })
}

// linkDisrupted reports whether the links to a server were disrupted at a time.
func (c *Checker) linkDisrupted(server string, at time.Time) bool {
	return slices.ContainsFunc(c.linkDisruptions[server], func(i interval) bool { return i.overlaps(at, at.Add(c.Bounds.TimeoutMargin), 0) })
}

// serverOf returns the server whose responses have a seal.
func serverOf(seal string) string {
	return strings.TrimPrefix(seal, backendserver.ResponseSeal(""))
}

// couldLearn reports whether a node and the store were undisrupted in an interval, and for the stabilization time
// before it.
func (c *Checker) couldLearn(node int, from, until time.Time) bool {
	return !slices.ContainsFunc(slices.Concat(c.storeDisruptions, c.nodeDisruptions[node]), func(i interval) bool {
		return i.overlaps(from, until, c.Bounds.StabilizationTime)
	})
}

// passing is a node that passed on a server's statement that it leaves.
type passing struct {
	node   int
	server string
}

// checkAnnouncedDrains checks that a node sends no request to a server that has said, in a response that the node
// passed on, that it leaves.
func (c *Checker) checkAnnouncedDrains(report reportFunc) {
	passed := make(map[passing][]time.Time)
	for _, e := range c.exchanges {
		if e.Leaving {
			by := passing{e.Node, serverOf(e.Seal)}
			passed[by] = append(passed[by], e.CompletedAt)
		}
	}
	for _, a := range c.arrivals {
		e := c.exchanges[a.RequestID]
		if a.LeavingSince.IsZero() {
			continue
		}
		for _, at := range passed[passing{e.Node, a.Server}] {
			if at.Before(a.LeavingSince) || !e.Response.SentAt.After(at.Add(c.Bounds.DrainDelay)) || !c.nodeUndisturbed(e.Node, at, a.ReceivedAt) {
				continue
			}
			report("announced-drain", a.RequestID, "node %d sent it to %s %s after it had passed on that the server leaves", e.Node, a.Server, e.Response.SentAt.Sub(at))
			break
		}
	}
}

// checkPauses checks that a node leaves a server alone for as long as it asks for, unless the link between them was
// disrupted, so that the node may not have heard of it.
func (c *Checker) checkPauses(report reportFunc) {
	for _, asked := range c.arrivals {
		if asked.RetryAfter <= pauseDelay || c.linkDisrupted(asked.Server, asked.ReceivedAt) {
			continue
		}
		node := c.exchanges[asked.RequestID].Node
		from, until := asked.ReceivedAt.Add(pauseDelay), asked.ReceivedAt.Add(asked.RetryAfter)
		count := 0
		for _, a := range c.arrivals {
			if a.Server == asked.Server && c.exchanges[a.RequestID].Node == node && a.ReceivedAt.After(from) && a.ReceivedAt.Before(until) {
				count++
			}
		}
		if count > allowedInPause && c.nodeUndisturbed(node, asked.ReceivedAt, until) {
			report("pause", asked.RequestID, "node %d sent %d requests to %s in the pause that it asked for", node, count, asked.Server)
		}
	}
}
