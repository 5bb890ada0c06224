package checker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backendserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/requester"
)

// Check returns the violated guarantees. It is called after all requests have ended.
func (c *Checker) Check() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := slices.Clone(c.violations)
	report := func(rule, id, format string, args ...any) {
		violations = append(violations, Violation{Rule: rule, RequestID: id, Detail: fmt.Sprintf(format, args...)})
	}
	executions := make(map[string][]Arrival)
	for _, a := range c.arrivals {
		if a.Executed {
			executions[a.RequestID] = append(executions[a.RequestID], a)
		}
		c.checkArrival(a, report)
	}
	for _, e := range c.exchanges {
		c.checkResponse(e, executions[e.ID], report)
		c.checkStop(e, executions[e.ID], report)
	}
	c.checkRetryBudget(report)
	c.checkDeadly(report)
	c.checkAnnouncedDrains(report)
	c.checkPauses(report)
	c.checkVersions(report)
	c.checkKills(report)
	slices.SortFunc(violations, func(a, b Violation) int { return strings.Compare(a.Rule+a.RequestID, b.Rule+b.RequestID) })
	return violations
}

type reportFunc func(rule, id, format string, args ...any)

// checkArrival checks a request that reached a server against what the caller sent.
func (c *Checker) checkArrival(a Arrival, report reportFunc) {
	e, known := c.exchanges[a.RequestID]
	if !known {
		report("unasked", a.RequestID, "%s received a request that no caller sent", a.Server)
		return
	}
	if a.HasKey || a.Team != e.Team || a.RequestLine != e.Method+" "+e.Path || a.Body != e.Request.Body {
		report("unasked", a.RequestID, "%s received %q for team %q (key forwarded: %v), want %q for team %q", a.Server, a.RequestLine, a.Team, a.HasKey, e.Method+" "+e.Path, e.Team)
	}
	if a.Executed && !e.KeyRevokedAt.IsZero() && e.Response.SentAt.After(e.KeyRevokedAt.Add(c.Bounds.RevocationDelay)) {
		report("revocation", a.RequestID, "executed although its key was revoked %s before it was sent", e.Response.SentAt.Sub(e.KeyRevokedAt))
	}
	if delay := a.ReceivedAt.Sub(a.DrainingSince); !a.DrainingSince.IsZero() && delay > c.Bounds.DrainDelay && c.nodeStable(e.Node, a.DrainingSince, a.ReceivedAt) {
		report("leaving", a.RequestID, "node %d sent it to %s %s after the server's drain was acknowledged", e.Node, a.Server, delay)
	}
	if a.Executed {
		c.checkService(e, a, report)
	}
}

// checkService checks that a request was executed by the service that the configuration in force routes its class to.
func (c *Checker) checkService(e Exchange, a Arrival, report reportFunc) {
	for i, change := range c.serviceChanges {
		if change.Class != e.Class.Name || a.Service == change.To || !e.Response.SentAt.After(change.AcknowledgedAt.Add(c.Bounds.ApplyDelay)) {
			continue
		}
		if superseded := i+1 < len(c.serviceChanges) && c.serviceChanges[i+1].AcknowledgedAt.Before(a.ReceivedAt); superseded {
			continue
		}
		if c.nodeStable(e.Node, change.AcknowledgedAt, a.ReceivedAt) {
			report("config", a.RequestID, "node %d sent it to service %s %s after the change to another service was acknowledged", e.Node, a.Service, e.Response.SentAt.Sub(change.AcknowledgedAt))
		}
	}
}

// notExecutedStatuses guarantee that the request was not executed.
var notExecutedStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// checkResponse checks a response against the executions of its request.
func (c *Checker) checkResponse(e Exchange, executions []Arrival, report reportFunc) {
	if !e.Class.Retryable && len(executions) > 1 {
		report("at-most-once", e.ID, "%d executions of a %s request", len(executions), e.Class.Name)
	}
	if e.Complete && !e.Class.Retryable && slices.Contains(notExecutedStatuses, e.Status) && len(executions) > 0 {
		report("not-run", e.ID, "status %d after %d executions", e.Status, len(executions))
	}
	if e.Complete && e.Status == http.StatusOK {
		c.checkBody(e, executions, report)
	}
	if e.Events > 0 && e.Status == http.StatusOK {
		checkStream(e, report)
	}
	ended := e.CompletedAt
	if e.TimedOut && c.nodeStable(e.Node, e.Response.SentAt, ended) && ended.Sub(e.Response.SentAt) > e.Class.Timeout+c.Bounds.TimeoutMargin {
		report("timeout", e.ID, "node %d completed no response within %s", e.Node, ended.Sub(e.Response.SentAt))
	}
}

// checkBody checks that a successful response belongs to the request and comes from a server that executed it.
func (c *Checker) checkBody(e Exchange, executions []Arrival, report reportFunc) {
	if !slices.ContainsFunc(executions, func(a Arrival) bool { return e.Seal == backendserver.ResponseSeal(a.Server) }) {
		report("whose-answer", e.ID, "successful response with seal %q after %d executions", e.Seal, len(executions))
	}
	if e.Events == 0 && e.Response.Body != "ran "+e.Method+" "+e.Path+" "+e.Request.Body {
		report("whose-answer", e.ID, "unexpected body %q", e.Response.Body)
	}
}

// checkStream checks that the events of a stream follow the last one that the caller had, in order without gaps and
// with nothing else between or after them, and that a stream that ended normally has all of them.
func checkStream(e Exchange, report reportFunc) {
	ids, rest, err := requester.EventIDs(e.Response.Body)
	if err != nil {
		report("order", e.ID, "%v after %d events, resumed after %d", err, len(ids), e.LastEventID)
		return
	}
	last := e.LastEventID
	for _, id := range ids {
		if id != last+1 {
			report("order", e.ID, "event %d after event %d", id, last)
			return
		}
		last = id
	}
	switch {
	case e.Complete && (last != e.Events || rest != ""):
		report("order", e.ID, "stream ended normally after event %d of %d, with trailing data %q", last, e.Events, rest)
	case !strings.HasPrefix(requester.EncodeEvent(last+1), rest):
		report("order", e.ID, "stream broke off after event %d in %q, which begins no event", last, rest)
	}
}

const (
	// shutdownEarly is how long after the signal a request may be sent whose run may be interrupted in the last
	// part of the grace, which is one in shutdownLastPart.
	shutdownEarly    = 3 * time.Second
	shutdownLastPart = 6
)

// checkStop checks that a planned stop leaves no request without an answer. One that was sent early in the stop
// and still runs in the last part of its grace may be interrupted.
func (c *Checker) checkStop(e Exchange, executions []Arrival, report reportFunc) {
	if e.Complete || e.TimedOut {
		return
	}
	for _, stoppedAt := range c.plannedStops[e.Node] {
		sent := e.Response.SentAt
		if sent.Before(stoppedAt.Add(-e.Class.Timeout)) || sent.After(stoppedAt.Add(c.Bounds.ShutdownGrace)) || e.CompletedAt.Before(stoppedAt) {
			continue
		}
		if !c.noUnplannedDisruption(sent, e.CompletedAt) {
			continue
		}
		lastPart := stoppedAt.Add(c.Bounds.ShutdownGrace - c.Bounds.ShutdownGrace/shutdownLastPart)
		if !sent.After(stoppedAt.Add(shutdownEarly)) && e.CompletedAt.After(lastPart) {
			continue
		}
		if len(executions) > 0 || e.CompletedAt.Sub(sent) > c.Bounds.ShutdownRace {
			report("planned-stop", e.ID, "connection lost %s after the stop of node %d, %s after the request was sent, after %d executions: %v", e.CompletedAt.Sub(stoppedAt), e.Node, e.CompletedAt.Sub(sent), len(executions), e.Err)
		}
	}
}

// checkRetryBudget checks that the retries at each service stay within its budget, which is computed from the first
// attempts in the window before each retry or in the window before that, whichever are more.
func (c *Checker) checkRetryBudget(report reportFunc) {
	firstAttempts := make(map[string][]time.Time)
	retries := make(map[string][]time.Time)
	seen := make(map[string]bool)
	arrivals := slices.Clone(c.arrivals)
	slices.SortFunc(arrivals, func(a, b Arrival) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	for _, a := range arrivals {
		if seen[a.RequestID] {
			retries[a.Service] = append(retries[a.Service], a.ReceivedAt)
			continue
		}
		seen[a.RequestID] = true
		firstAttempts[a.Service] = append(firstAttempts[a.Service], a.ReceivedAt)
	}
	for service, times := range retries {
		for i, retriedAt := range times {
			windowStart := retriedAt.Add(-c.Bounds.RetryBudgetWindow)
			count := i + 1 - countBefore(times, windowStart)
			inWindow := countBefore(firstAttempts[service], retriedAt) - countBefore(firstAttempts[service], windowStart)
			inPreviousWindow := countBefore(firstAttempts[service], windowStart) - countBefore(firstAttempts[service], windowStart.Add(-c.Bounds.RetryBudgetWindow))
			if limit := int(c.Bounds.RetryBudgetShare*float64(max(inWindow, inPreviousWindow))) + c.Bounds.RetryBudgetBase; count > limit {
				report("budget", "", "%d retries at service %s within %s, at most %d are allowed", count, service, c.Bounds.RetryBudgetWindow, limit)
				break
			}
		}
	}
}

// countBefore returns how many of the sorted times are before t.
func countBefore(times []time.Time, t time.Time) int {
	n, _ := slices.BinarySearchFunc(times, t, time.Time.Compare)
	return n
}
