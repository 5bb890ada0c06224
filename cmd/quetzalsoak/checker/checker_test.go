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

// newExchange is a booking that ran at server s after a second.
func newExchange() (Exchange, Arrival) {
	e := Exchange{
		Request: requester.Request{ID: "r", Method: "POST", Path: "/booking/", Body: "visit"},
		Answer:  requester.Answer{Status: 200, Seal: "seal-of-s", Body: "ran POST /booking/ visit", Whole: true, Sent: sentAt, Ended: sentAt.Add(time.Second)},
		Class:   booking, Team: "team",
	}
	return e, Arrival{RequestID: "r", Server: "s", Service: "application", ReceivedAt: sentAt.Add(time.Second / 2), Executed: true, Team: "team", RequestLine: "POST /booking/", Body: "visit"}
}

func setStream(e *Exchange, body string, events int, whole bool) {
	e.Events, e.Answer.Body, e.Whole, e.Class = events, body, whole, Class{Name: "draft", Retryable: true}
}

func TestCheckReportsEachViolation(t *testing.T) {
	for _, test := range []struct {
		name   string
		rule   string
		modify func(c *Checker, e *Exchange, a *Arrival)
	}{
		{"as promised", "", func(*Checker, *Exchange, *Arrival) {}},
		{"nobody sent it", "unasked", func(_ *Checker, _ *Exchange, a *Arrival) { a.RequestID = "other" }},
		{"a forged team", "unasked", func(_ *Checker, _ *Exchange, a *Arrival) { a.Team = "forged" }},
		{"the key passed on", "unasked", func(_ *Checker, _ *Exchange, a *Arrival) { a.HasKey = true }},
		{"another body", "unasked", func(_ *Checker, _ *Exchange, a *Arrival) { a.Body = "" }},
		{"run twice", "at-most-once", func(c *Checker, _ *Exchange, a *Arrival) { c.RecordArrival(*a) }},
		{"said not run", "not-run", func(_ *Checker, e *Exchange, _ *Arrival) { e.Status = 503 }},
		{"another's answer", "whose-answer", func(_ *Checker, e *Exchange, _ *Arrival) { e.Seal = "seal-of-x" }},
		{"another body back", "whose-answer", func(_ *Checker, e *Exchange, _ *Arrival) { e.Answer.Body = "no!" }},
		{"a stale key", "revocation", func(_ *Checker, e *Exchange, _ *Arrival) { e.KeyRevokedAt = sentAt.Add(-6 * time.Second) }},
		{"a key just taken", "", func(_ *Checker, e *Exchange, _ *Arrival) { e.KeyRevokedAt = sentAt.Add(-4 * time.Second) }},
		{"a leaving server", "leaving", func(_ *Checker, _ *Exchange, a *Arrival) { a.DrainingSince = sentAt.Add(-3 * time.Second) }},
		{"a leaving server, from a node in trouble", "", func(c *Checker, _ *Exchange, a *Arrival) {
			a.DrainingSince = sentAt.Add(-3 * time.Second)
			c.RecordDisruption(0, sentAt.Add(-8*time.Second), sentAt.Add(-6*time.Second), false)
		}},
		{"an old version", "config", func(c *Checker, _ *Exchange, _ *Arrival) {
			c.RecordServiceChange(ServiceChange{Class: "booking", From: "application", To: "new", AcknowledgedAt: sentAt.Add(-4 * time.Second)})
		}},
		{"two versions in a row", "", func(c *Checker, _ *Exchange, _ *Arrival) {
			c.RecordServiceChange(ServiceChange{Class: "booking", From: "application", To: "new", AcknowledgedAt: sentAt.Add(-4 * time.Second)})
			c.RecordServiceChange(ServiceChange{Class: "booking", From: "new", To: "application", AcknowledgedAt: sentAt.Add(-time.Second)})
		}},
		{"a missing event", "order", func(_ *Checker, e *Exchange, _ *Arrival) {
			setStream(e, "id: 1\ndata: piece 1\n\nid: 3\ndata: piece 3\n\n", 3, true)
		}},
		{"complete too early", "order", func(_ *Checker, e *Exchange, _ *Arrival) { setStream(e, "id: 1\ndata: piece 1\n\n", 3, true) }},
		{"cut and told so", "", func(_ *Checker, e *Exchange, _ *Arrival) { setStream(e, "id: 1\ndata: piece 1\n\nid: 2", 3, false) }},
		{"no final answer", "timeout", func(_ *Checker, e *Exchange, _ *Arrival) {
			e.Whole, e.Waited, e.Ended = false, true, sentAt.Add(7*time.Second)
		}},
		{"cut off by a stop", "planned-stop", func(c *Checker, e *Exchange, _ *Arrival) {
			e.Whole = false
			c.RecordStop(0, sentAt.Add(time.Second/2))
		}},
		{"cut off by a stop beside trouble", "", func(c *Checker, e *Exchange, _ *Arrival) {
			e.Whole = false
			c.RecordStop(0, sentAt.Add(time.Second/2))
			c.RecordDisruption(-1, sentAt, sentAt.Add(time.Second), false)
		}},
		{"too many repeats", "budget", func(c *Checker, e *Exchange, a *Arrival) {
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
				t.Errorf("found %v", violations)
			case test.rule != "" && (len(violations) == 0 || violations[0].Rule != test.rule):
				t.Errorf("found %v, want %s", violations, test.rule)
			}
		})
	}
}
