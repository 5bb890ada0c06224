package checker

import (
	"testing"
	"time"
)

func TestCheckReportsStreamsOfTwoVersions(t *testing.T) {
	for _, test := range []struct {
		name   string
		rule   string
		modify func(c *Checker, e *Exchange, a *Arrival)
	}{
		{"a stream resumed at another software version", "version", func(c *Checker, e *Exchange, a *Arrival) {
			setStream(e, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", 2, true)
			a.Version = "v1"
			resumed := *a
			resumed.ReceivedAt, resumed.Version, resumed.ResumeAfter = a.ReceivedAt.Add(time.Second/4), "v2", 1
			c.RecordArrival(resumed)
		}},
		{"a stream begun again at another software version", "", func(c *Checker, e *Exchange, a *Arrival) {
			setStream(e, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", 2, true)
			a.Version = "v1"
			again, resumed := *a, *a
			again.ReceivedAt, again.Version = a.ReceivedAt.Add(time.Second/8), "v2"
			resumed.ReceivedAt, resumed.Version, resumed.ResumeAfter = a.ReceivedAt.Add(time.Second/4), "v2", 1
			c.RecordArrival(again)
			c.RecordArrival(resumed)
		}},
		{"a stream resumed by its caller at another software version", "version", func(c *Checker, e *Exchange, a *Arrival) {
			setStream(e, "id: 1\ndata: piece 1\n\n", 2, false)
			a.Version = "v1"
			exchange, resumed := *e, *a
			exchange.ID, exchange.Resumes, exchange.LastEventID = "r2", e.ID, 1
			exchange.Response.Body, exchange.Complete = "id: 2\ndata: piece 2\n\n", true
			resumed.RequestID, resumed.Version, resumed.ResumeAfter = "r2", "v2", 1
			c.RecordExchange(exchange)
			c.RecordArrival(resumed)
		}},
	} {
		t.Run(test.name, func(t *testing.T) { checkViolations(t, test.rule, test.modify) })
	}
}
