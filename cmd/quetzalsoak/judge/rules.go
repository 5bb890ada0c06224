package judge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/backendserver"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/requester"
)

// Findings gives the broken promises once all requests have ended.
func (j *Judge) Findings() []Finding {
	j.mu.Lock()
	defer j.mu.Unlock()
	found := slices.Clone(j.findings)
	report := func(rule, id, what string, args ...any) {
		found = append(found, Finding{Rule: rule, ID: id, What: fmt.Sprintf(what, args...)})
	}
	runs := make(map[string][]Arrived)
	for _, a := range j.arrived {
		if a.Ran {
			runs[a.ID] = append(runs[a.ID], a)
		}
		j.checkArrival(a, report)
	}
	for _, s := range j.sent {
		j.checkAnswer(s, runs[s.ID], report)
		j.checkStop(s, runs[s.ID], report)
	}
	j.checkBudget(report)
	slices.SortFunc(found, func(a, b Finding) int { return strings.Compare(a.Rule+a.ID, b.Rule+b.ID) })
	return found
}

type reporter func(rule, id, what string, args ...any)

// checkArrival checks what reached a server against what was sent.
func (j *Judge) checkArrival(a Arrived, report reporter) {
	s, known := j.sent[a.ID]
	if !known {
		report("unasked", a.ID, "%s got a request that nobody sent", a.Server)
		return
	}
	if a.HasKey || a.Team != s.Team || a.Line != s.Method+" "+s.Path || a.Body != s.Request.Body {
		report("unasked", a.ID, "%s got %q for team %q, with the key %v, want %q for team %q", a.Server, a.Line, a.Team, a.HasKey, s.Method+" "+s.Path, s.Team)
	}
	if a.Ran && !s.Unkeyed.IsZero() && s.Response.SentAt.After(s.Unkeyed.Add(j.Bounds.Revoke)) {
		report("revocation", a.ID, "run for a key that was taken away %s before it was sent", s.Response.SentAt.Sub(s.Unkeyed))
	}
	if late := a.At.Sub(a.Left); !a.Left.IsZero() && late > j.Bounds.Leave && j.calm(s.Node, a.Left, a.At) {
		report("leaving", a.ID, "node %d sent it to %s %s after the server's leaving was acknowledged", s.Node, a.Server, late)
	}
	if a.Ran {
		j.checkVersion(s, a, report)
	}
}

// checkVersion checks that a class runs where the version in force leads it.
func (j *Judge) checkVersion(s Sent, a Arrived, report reporter) {
	for i, m := range j.moves {
		if m.Class != s.Class.Name || a.Service == m.To || !s.Response.SentAt.After(m.Acknowledged.Add(j.Bounds.Apply)) {
			continue
		}
		if later := i+1 < len(j.moves) && j.moves[i+1].Acknowledged.Before(a.At); later {
			continue
		}
		if j.calm(s.Node, m.Acknowledged, a.At) {
			report("config", a.ID, "node %d sent it to %s %s after another service was acknowledged", s.Node, a.Service, s.Response.SentAt.Sub(m.Acknowledged))
		}
	}
}

// promised are the statuses that promise that a request has not run.
var promised = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// checkAnswer checks an answer against the runs of its request.
func (j *Judge) checkAnswer(s Sent, runs []Arrived, report reporter) {
	if !s.Class.Repeatable && len(runs) > 1 {
		report("at-most-once", s.ID, "%d runs of a %s", len(runs), s.Class.Name)
	}
	if s.Complete && !s.Class.Repeatable && slices.Contains(promised, s.Status) && len(runs) > 0 {
		report("not-run", s.ID, "status %d after %d runs", s.Status, len(runs))
	}
	if s.Complete && s.Status == http.StatusOK {
		j.checkBody(s, runs, report)
	}
	if s.Events > 0 && s.Status == http.StatusOK {
		checkStream(s, report)
	}
	ended := s.CompletedAt
	if s.TimedOut && j.calm(s.Node, s.Response.SentAt, ended) && ended.Sub(s.Response.SentAt) > s.Class.Timeout+j.Bounds.Late {
		report("timeout", s.ID, "node %d gave no final answer within %s", s.Node, ended.Sub(s.Response.SentAt))
	}
}

// checkBody checks that a success is a server's own and whole.
func (j *Judge) checkBody(s Sent, runs []Arrived, report reporter) {
	if !slices.ContainsFunc(runs, func(a Arrived) bool { return s.Seal == backendserver.ResponseSeal(a.Server) }) {
		report("whose-answer", s.ID, "a success with the mark %q after %d runs", s.Seal, len(runs))
	}
	if s.Events == 0 && s.Response.Body != "ran "+s.Method+" "+s.Path+" "+s.Request.Body && s.Response.Body != s.Request.Body {
		report("whose-answer", s.ID, "body %q", s.Response.Body)
	}
}

// checkStream checks that events follow each other and that a stream which looks
// complete is.
func checkStream(s Sent, report reporter) {
	ids, rest, err := requester.EventIDs(s.Response.Body)
	if err != nil {
		report("order", s.ID, "%v", err)
		return
	}
	for i, id := range ids {
		if id != i+1 {
			report("order", s.ID, "event %d at place %d", id, i+1)
			return
		}
	}
	if s.Complete && (len(ids) != s.Events || rest != "") {
		report("order", s.ID, "a stream looks complete after %d of %d events and %q", len(ids), s.Events, rest)
	}
}

// checkStop checks that a planned stop cuts off nobody.
func (j *Judge) checkStop(s Sent, runs []Arrived, report reporter) {
	if s.Complete || s.TimedOut {
		return
	}
	for _, at := range j.stops[s.Node] {
		sent := s.Response.SentAt
		if sent.Before(at.Add(-s.Class.Timeout)) || sent.After(at.Add(j.Bounds.Grace)) || s.CompletedAt.Before(at) {
			continue
		}
		if !j.undisturbed(sent, s.CompletedAt) || sent.After(at.Add(j.Bounds.Grace/2)) {
			continue
		}
		if len(runs) > 0 || s.CompletedAt.Sub(sent) > j.Bounds.Slack {
			report("planned-stop", s.ID, "cut off %s after the stop of node %d, %s after it was sent, after %d runs: %v", s.CompletedAt.Sub(at), s.Node, s.CompletedAt.Sub(sent), len(runs), s.Err)
		}
	}
}

// checkBudget checks the repeats at each service.
func (j *Judge) checkBudget(report reporter) {
	requests := make(map[string][]time.Time)
	repeats := make(map[string][]time.Time)
	seen := make(map[string]bool)
	arrived := slices.Clone(j.arrived)
	slices.SortFunc(arrived, func(a, b Arrived) int { return a.At.Compare(b.At) })
	for _, a := range arrived {
		if seen[a.ID] {
			repeats[a.Service] = append(repeats[a.Service], a.At)
			continue
		}
		seen[a.ID] = true
		requests[a.Service] = append(requests[a.Service], a.At)
	}
	for service, times := range repeats {
		for i, at := range times {
			from := at.Add(-j.Bounds.BudgetWindow)
			count := i + 1 - countBefore(times, from)
			had := countBefore(requests[service], at) - countBefore(requests[service], from)
			before := countBefore(requests[service], from) - countBefore(requests[service], from.Add(-j.Bounds.BudgetWindow))
			if most := int(j.Bounds.BudgetShare*float64(max(had, before))) + j.Bounds.BudgetExtra; count > most {
				report("budget", "", "%d repeats at %s in %s, at most %d are allowed", count, service, j.Bounds.BudgetWindow, most)
				break
			}
		}
	}
}

// countBefore counts the times before another one, in a list in order.
func countBefore(times []time.Time, t time.Time) int {
	n, _ := slices.BinarySearchFunc(times, t, time.Time.Compare)
	return n
}
