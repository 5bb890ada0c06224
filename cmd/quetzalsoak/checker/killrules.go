package checker

import (
	"net/http"
	"slices"
	"time"
)

// kill is a kill of nodes.
type kill struct {
	nodes []int
	at    time.Time
}

const (
	// interruptedWithin is how long after a kill callers notice it, and resumedWithin how long after it they resume
	// their streams.
	interruptedWithin = time.Second
	resumedWithin     = 5 * time.Second
	// minResumed is the number of resumed streams from which on their share is checked, and minShareRatio the
	// part of the share of new streams that begin which it must reach.
	minResumed    = 6
	minShareRatio = 0.5
)

// streamCounts holds the streams that callers asked for, by id, and whether events of them came.
type streamCounts map[string]bool

func (s streamCounts) add(e Exchange) {
	s[e.streamID()] = s[e.streamID()] || e.Status == http.StatusOK
}

func (s streamCounts) served() int {
	served := 0
	for _, ok := range s {
		if ok {
			served++
		}
	}
	return served
}

func (s streamCounts) share() float64 {
	return float64(s.served()) / float64(max(1, len(s)))
}

// checkKills checks that streams of killed nodes go on at other nodes, compared with the new streams that begin
// there.
func (c *Checker) checkKills(report reportFunc) {
	for _, k := range c.kills {
		resumed, begun := c.countAfter(k)
		if len(resumed) >= minResumed && resumed.share() < minShareRatio*begun.share() {
			report("lost", "", "nodes %v were killed: %d of %d streams that callers resumed elsewhere went on, %d of %d new ones began", k.nodes, resumed.served(), len(resumed), begun.served(), len(begun))
		}
	}
}

// countAfter counts the streams of killed nodes that callers resumed at other nodes, and those that callers
// began there meanwhile. What else disturbs these nodes concerns both.
func (c *Checker) countAfter(k kill) (resumed, begun streamCounts) {
	resumed, begun = make(streamCounts), make(streamCounts)
	interrupted := make(map[string]bool)
	for _, e := range c.exchanges {
		if slices.Contains(k.nodes, e.Node) && !e.Complete && within(e.CompletedAt, k.at, interruptedWithin) {
			interrupted[e.streamID()] = true
		}
	}
	for _, e := range c.exchanges {
		// A key that was revoked meanwhile gets nothing more.
		isStream := e.Class.Retryable && e.Events > 0 && e.KeyRevokedAt.IsZero()
		if !isStream || !within(e.Response.SentAt, k.at, resumedWithin) || slices.Contains(k.nodes, e.Node) {
			continue
		}
		switch {
		case e.LastEventID == 0:
			begun.add(e)
		case interrupted[e.streamID()]:
			resumed.add(e)
		}
	}
	return resumed, begun
}

// streamID returns the id of the request that brought the first event of the request's stream.
func (e Exchange) streamID() string {
	if e.Resumes != "" {
		return e.Resumes
	}
	return e.ID
}

// within reports whether t is at most d after a time.
func within(t, after time.Time, d time.Duration) bool {
	return !t.Before(after) && !t.After(after.Add(d))
}
