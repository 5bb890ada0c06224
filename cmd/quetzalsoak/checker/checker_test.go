package checker

import (
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/requester"
)

var (
	sentAt  = time.Unix(1000, 0)
	bounds  = Bounds{DrainDelay: 3 * time.Second, ApplyDelay: 3 * time.Second, RevocationDelay: 5 * time.Second, StabilizationTime: 4 * time.Second, TimeoutMargin: time.Second, ShutdownGrace: 8 * time.Second, ShutdownRace: 200 * time.Millisecond, RetryBudgetShare: 0.2, RetryBudgetBase: 2, RetryBudgetWindow: 10 * time.Second}
	booking = Class{Name: "booking", Timeout: 5 * time.Second}
	list    = Class{Name: "list", Retryable: true, Timeout: 5 * time.Second}
)

// newExchange returns a booking that server s executed after half a second, with a response after one second.
func newExchange() (Exchange, Arrival) {
	e := Exchange{
		Request:  requester.Request{ID: "r", Method: "POST", Path: "/booking/", Body: "visit"},
		Response: requester.Response{Status: 200, Seal: "seal-of-s", Body: "ran POST /booking/ visit", Complete: true, SentAt: sentAt, CompletedAt: sentAt.Add(time.Second)},
		Class:    booking, Team: "team",
	}
	return e, Arrival{RequestID: "r", Server: "s", Service: "application", ReceivedAt: sentAt.Add(time.Second / 2), Executed: true, Team: "team", RequestLine: "POST /booking/", Body: "visit"}
}

func setStream(e *Exchange, body string, events int, complete bool) {
	e.Events, e.Response.Body, e.Complete, e.Class = events, body, complete, Class{Name: "draft", Retryable: true}
}

func TestCheckReportsEachViolation(t *testing.T) {
	for _, test := range []struct {
		name   string
		rule   string
		modify func(c *Checker, e *Exchange, a *Arrival)
	}{
		{"no violation", "", func(*Checker, *Exchange, *Arrival) {}},
		{"a request that no caller sent", "unasked", func(_ *Checker, _ *Exchange, a *Arrival) { a.RequestID = "other" }},
		{"a forged team", "unasked", func(_ *Checker, _ *Exchange, a *Arrival) { a.Team = "forged" }},
		{"the key forwarded", "unasked", func(_ *Checker, _ *Exchange, a *Arrival) { a.HasKey = true }},
		{"another body", "unasked", func(_ *Checker, _ *Exchange, a *Arrival) { a.Body = "" }},
		{"executed twice", "at-most-once", func(c *Checker, _ *Exchange, a *Arrival) { c.RecordArrival(*a) }},
		{"refused as not executed", "not-run", func(_ *Checker, e *Exchange, _ *Arrival) { e.Status = 503 }},
		{"another server's response", "whose-answer", func(_ *Checker, e *Exchange, _ *Arrival) { e.Seal = "seal-of-x" }},
		{"another response body", "whose-answer", func(_ *Checker, e *Exchange, _ *Arrival) { e.Response.Body = "no!" }},
		{"a revoked key", "revocation", func(_ *Checker, e *Exchange, _ *Arrival) { e.KeyRevokedAt = sentAt.Add(-6 * time.Second) }},
		{"a key revoked just before", "", func(_ *Checker, e *Exchange, _ *Arrival) { e.KeyRevokedAt = sentAt.Add(-4 * time.Second) }},
		{"a draining server", "leaving", func(_ *Checker, _ *Exchange, a *Arrival) { a.DrainingSince = sentAt.Add(-3 * time.Second) }},
		{"a draining server, from a disrupted node", "", func(c *Checker, _ *Exchange, a *Arrival) {
			a.DrainingSince = sentAt.Add(-3 * time.Second)
			c.RecordDisruption(0, sentAt.Add(-8*time.Second), sentAt.Add(-6*time.Second), false)
		}},
		{"an old configuration version", "config", func(c *Checker, _ *Exchange, _ *Arrival) {
			c.RecordServiceChange(ServiceChange{Class: "booking", From: "application", To: "new", AcknowledgedAt: sentAt.Add(-4 * time.Second)})
		}},
		{"two configuration versions in a row", "", func(c *Checker, _ *Exchange, _ *Arrival) {
			c.RecordServiceChange(ServiceChange{Class: "booking", From: "application", To: "new", AcknowledgedAt: sentAt.Add(-4 * time.Second)})
			c.RecordServiceChange(ServiceChange{Class: "booking", From: "new", To: "application", AcknowledgedAt: sentAt.Add(-time.Second)})
		}},
		{"a missing event", "order", func(_ *Checker, e *Exchange, _ *Arrival) {
			setStream(e, "id: 1\ndata: piece 1\n\nid: 3\ndata: piece 3\n\n", 3, true)
		}},
		{"a stream ended normally too early", "order", func(_ *Checker, e *Exchange, _ *Arrival) { setStream(e, "id: 1\ndata: piece 1\n\n", 3, true) }},
		{"an interrupted stream", "", func(_ *Checker, e *Exchange, _ *Arrival) { setStream(e, "id: 1\ndata: piece 1\n\nid: 2", 3, false) }},
		{"no complete response", "timeout", func(_ *Checker, e *Exchange, _ *Arrival) {
			e.Complete, e.TimedOut, e.CompletedAt = false, true, sentAt.Add(7*time.Second)
		}},
		{"interrupted by a planned stop", "planned-stop", func(c *Checker, e *Exchange, _ *Arrival) {
			e.Complete = false
			c.RecordStop(0, sentAt.Add(time.Second/2))
		}},
		{"interrupted by a planned stop during a disruption", "", func(c *Checker, e *Exchange, _ *Arrival) {
			e.Complete = false
			c.RecordStop(0, sentAt.Add(time.Second/2))
			c.RecordDisruption(-1, sentAt, sentAt.Add(time.Second), false)
		}},
		{"too many retries", "budget", func(c *Checker, e *Exchange, a *Arrival) {
			e.Class = list
			for i := range 4 {
				retry := *a
				retry.ReceivedAt = a.ReceivedAt.Add(time.Duration(i+1) * time.Millisecond)
				c.RecordArrival(retry)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &Checker{Bounds: bounds}
			e, a := newExchange()
			test.modify(c, &e, &a)
			c.RecordExchange(e)
			c.RecordArrival(a)
			violations := c.Check()
			switch {
			case test.rule == "" && len(violations) > 0:
				t.Errorf("got violations %v, want none", violations)
			case test.rule != "" && (len(violations) == 0 || violations[0].Rule != test.rule):
				t.Errorf("got violations %v, want %s first", violations, test.rule)
			}
		})
	}
}
