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

func TestCheckReportsWhatIsNoEventOfAStream(t *testing.T) {
	const one, two, three = "id: 1\ndata: piece 1\n\n", "id: 2\ndata: piece 2\n\n", "id: 3\ndata: piece 3\n\n"
	for _, test := range []struct {
		name, rule, body string
		resumedAfter     int
		complete         bool
	}{
		{"all events", "", one + two + three, 0, true},
		{"comments among all events", "", ": begin\n\n" + one + ": x\n\n" + two + ": x\n" + three + ": end\n", 0, true},
		{"a comment in place of an event", "order", one + ": x\n\n" + three, 0, true},
		{"comments alone", "order", ": x\n\n: x\n\n", 0, true},
		{"an event without an id", "order", one + "data: piece 2\n\n", 0, false},
		{"an id without its field", "order", one + "2\ndata: piece 2\n\n", 0, false},
		{"an id with a sign", "order", "id: +1\ndata: piece 1\n\n", 0, false},
		{"text before the first event", "order", "service unavailable\n\n" + one, 0, false},
		{"text at the end of a broken stream", "order", one + "service unav", 0, false},
		{"text after all events", "order", one + two + three + "service unavailable", 0, true},
		{"the beginning of another event at the end", "order", one + "id: 3", 0, false},
		{"the rest of a stream", "", two + three, 1, true},
		{"a part of the rest of a stream", "", two + "id: 3\nda", 1, false},
		{"nothing after all events", "", "", 3, true},
		{"an event that the caller has", "order", one + two + three, 1, true},
		{"a gap after the caller's last event", "order", three, 1, true},
		{"a rest that ended too early", "order", two, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkViolations(t, test.rule, func(_ *Checker, e *Exchange, _ *Arrival) {
				setStream(e, test.body, 3, test.complete)
				e.LastEventID = test.resumedAfter
			})
		})
	}
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
		{"a part of the response body", "whose-answer", func(_ *Checker, e *Exchange, _ *Arrival) { e.Response.Body = e.Request.Body }},
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
		t.Run(test.name, func(t *testing.T) { checkViolations(t, test.rule, test.modify) })
	}
}

// checkViolations checks that a modified exchange violates a rule first, or none if it is empty.
func checkViolations(t *testing.T, rule string, modify func(c *Checker, e *Exchange, a *Arrival)) {
	t.Helper()
	c := &Checker{Bounds: bounds}
	e, a := newExchange()
	modify(c, &e, &a)
	c.RecordExchange(e)
	c.RecordArrival(a)
	violations := c.Check()
	switch {
	case rule == "" && len(violations) > 0:
		t.Errorf("got violations %v, want none", violations)
	case rule != "" && (len(violations) == 0 || violations[0].Rule != rule):
		t.Errorf("got violations %v, want %s first", violations, rule)
	}
}

// recordPassedOn records that node 0 passed on, some time before sentAt, that server s leaves.
func recordPassedOn(c *Checker, before time.Duration) {
	e, _ := newExchange()
	e.ID, e.Class, e.Leaving = "earlier", list, true
	e.Response.SentAt, e.CompletedAt = sentAt.Add(-before), sentAt.Add(-before)
	c.RecordExchange(e)
	c.RecordArrival(Arrival{RequestID: "earlier", Server: "s", Executed: true, Team: "team", RequestLine: "POST /booking/", Body: "visit", ReceivedAt: sentAt.Add(-before), LeavingSince: sentAt.Add(-before)})
}

// recordDeadly records crashes, and arrivals of deadly requests some time after the last one.
func recordDeadly(c *Checker, crashes, arrivals int, after time.Duration) {
	for i := range crashes {
		c.RecordDeadlyCrash(sentAt.Add(-time.Duration(i)*time.Second), sentAt)
	}
	for range arrivals {
		c.RecordArrival(Arrival{RequestID: "r", Server: "s", Team: "team", RequestLine: "POST /booking/", Body: "visit", ReceivedAt: sentAt.Add(after), Deadly: true})
	}
}

func TestCheckReportsWhatServersSayOfThemselves(t *testing.T) {
	for _, test := range []struct {
		name   string
		rule   string
		modify func(c *Checker, e *Exchange, a *Arrival)
	}{
		{"a server that said that it leaves", "announced-drain", func(c *Checker, _ *Exchange, a *Arrival) {
			recordPassedOn(c, 4*time.Second)
			a.LeavingSince = sentAt.Add(-4 * time.Second)
		}},
		{"a server that said so just before", "", func(c *Checker, _ *Exchange, a *Arrival) {
			recordPassedOn(c, 2*time.Second)
			a.LeavingSince = sentAt.Add(-2 * time.Second)
		}},
		{"another incarnation said so", "", func(c *Checker, _ *Exchange, _ *Arrival) { recordPassedOn(c, 4*time.Second) }},
		{"a node that was restarted since", "", func(c *Checker, _ *Exchange, a *Arrival) {
			recordPassedOn(c, 4*time.Second)
			a.LeavingSince = sentAt.Add(-4 * time.Second)
			c.RecordDisruption(0, sentAt.Add(-3*time.Second), sentAt.Add(-2*time.Second), false)
		}},
		{"requests in a pause", "pause", func(c *Checker, e *Exchange, a *Arrival) {
			c.Bounds.RetryBudgetBase = 10
			e.Class, a.Executed, a.RetryAfter = list, false, 5*time.Second
			for i := range 3 {
				again := *a
				again.Executed, again.RetryAfter, again.ReceivedAt = true, 0, a.ReceivedAt.Add(time.Duration(i+1)*time.Second)
				c.RecordArrival(again)
			}
		}},
		{"requests in a pause that was asked for over a disrupted link", "", func(c *Checker, e *Exchange, a *Arrival) {
			c.Bounds.RetryBudgetBase = 10
			c.RecordLinkDisruption("s", a.ReceivedAt.Add(-time.Second), a.ReceivedAt.Add(time.Second))
			e.Class, a.Executed, a.RetryAfter = list, false, 5*time.Second
			for i := range 3 {
				again := *a
				again.Executed, again.RetryAfter, again.ReceivedAt = true, 0, a.ReceivedAt.Add(time.Duration(i+1)*time.Second)
				c.RecordArrival(again)
			}
		}},
		{"deadly requests long after the fifth crash", "deadly", func(c *Checker, e *Exchange, _ *Arrival) {
			e.Class = list
			c.Bounds.RetryBudgetBase = 10
			recordDeadly(c, 5, 4, 5*time.Second)
		}},
		{"deadly requests while the store is away", "", func(c *Checker, e *Exchange, _ *Arrival) {
			e.Class = list
			c.Bounds.RetryBudgetBase = 10
			recordDeadly(c, 5, 4, 5*time.Second)
			c.RecordStoreDisruption(sentAt, sentAt.Add(2*time.Second))
		}},
		{"deadly requests soon after it", "", func(c *Checker, e *Exchange, _ *Arrival) {
			e.Class = list
			c.Bounds.RetryBudgetBase = 10
			recordDeadly(c, 5, 4, 3*time.Second)
		}},
		{"a late request that is cut in a planned stop", "planned-stop", func(c *Checker, e *Exchange, _ *Arrival) {
			e.Complete, e.CompletedAt = false, sentAt.Add(2*time.Second)
			c.RecordStop(0, sentAt.Add(-5*time.Second))
		}},
		{"an early one that still runs at the end of the stop", "", func(c *Checker, e *Exchange, _ *Arrival) {
			e.Complete, e.CompletedAt = false, sentAt.Add(7*time.Second)
			c.RecordStop(0, sentAt)
		}},
	} {
		t.Run(test.name, func(t *testing.T) { checkViolations(t, test.rule, test.modify) })
	}
}
