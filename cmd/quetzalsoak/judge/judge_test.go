package judge

import (
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalemu/requester"
)

var (
	begin   = time.Unix(1000, 0)
	bounds  = Bounds{Leave: 3 * time.Second, Apply: 3 * time.Second, Revoke: 5 * time.Second, Stable: 4 * time.Second, Late: time.Second, Grace: 8 * time.Second, Slack: 200 * time.Millisecond, BudgetShare: 0.2, BudgetExtra: 2, BudgetWindow: 10 * time.Second}
	booking = Class{Name: "booking", Timeout: 5 * time.Second}
	list    = Class{Name: "list", Repeatable: true, Timeout: 5 * time.Second}
)

// sent is a booking that ran at server s after a second.
func sent() (Sent, Arrived) {
	s := Sent{
		Request:  requester.Request{ID: "r", Method: "POST", Path: "/booking/", Body: "visit"},
		Response: requester.Response{Status: 200, Seal: "seal-of-s", Body: "ran POST /booking/ visit", Complete: true, SentAt: begin, CompletedAt: begin.Add(time.Second)},
		Class:    booking, Team: "team",
	}
	return s, Arrived{ID: "r", Server: "s", Service: "application", At: begin.Add(time.Second / 2), Ran: true, Team: "team", Line: "POST /booking/", Body: "visit"}
}

func stream(s *Sent, body string, events int, whole bool) {
	s.Events, s.Response.Body, s.Complete, s.Class = events, body, whole, Class{Name: "draft", Repeatable: true}
}

func TestEachBrokenPromiseIsFoundAndNothingElse(t *testing.T) {
	for _, c := range []struct {
		name string
		rule string
		set  func(j *Judge, s *Sent, a *Arrived)
	}{
		{"as promised", "", func(*Judge, *Sent, *Arrived) {}},
		{"nobody sent it", "unasked", func(_ *Judge, _ *Sent, a *Arrived) { a.ID = "other" }},
		{"a forged team", "unasked", func(_ *Judge, _ *Sent, a *Arrived) { a.Team = "forged" }},
		{"the key passed on", "unasked", func(_ *Judge, _ *Sent, a *Arrived) { a.HasKey = true }},
		{"another body", "unasked", func(_ *Judge, _ *Sent, a *Arrived) { a.Body = "" }},
		{"run twice", "at-most-once", func(j *Judge, _ *Sent, a *Arrived) { j.Arrive(*a) }},
		{"said not run", "not-run", func(_ *Judge, s *Sent, _ *Arrived) { s.Status = 503 }},
		{"another's answer", "whose-answer", func(_ *Judge, s *Sent, _ *Arrived) { s.Seal = "seal-of-x" }},
		{"another body back", "whose-answer", func(_ *Judge, s *Sent, _ *Arrived) { s.Response.Body = "no!" }},
		{"a stale key", "revocation", func(_ *Judge, s *Sent, _ *Arrived) { s.Unkeyed = begin.Add(-6 * time.Second) }},
		{"a key just taken", "", func(_ *Judge, s *Sent, _ *Arrived) { s.Unkeyed = begin.Add(-4 * time.Second) }},
		{"a leaving server", "leaving", func(_ *Judge, _ *Sent, a *Arrived) { a.Left = begin.Add(-3 * time.Second) }},
		{"a leaving server, from a node in trouble", "", func(j *Judge, _ *Sent, a *Arrived) {
			a.Left = begin.Add(-3 * time.Second)
			j.Trouble(0, begin.Add(-8*time.Second), begin.Add(-6*time.Second), false)
		}},
		{"an old version", "config", func(j *Judge, _ *Sent, _ *Arrived) {
			j.Moved(Move{Class: "booking", From: "application", To: "new", Acknowledged: begin.Add(-4 * time.Second)})
		}},
		{"two versions in a row", "", func(j *Judge, _ *Sent, _ *Arrived) {
			j.Moved(Move{Class: "booking", From: "application", To: "new", Acknowledged: begin.Add(-4 * time.Second)})
			j.Moved(Move{Class: "booking", From: "new", To: "application", Acknowledged: begin.Add(-time.Second)})
		}},
		{"a missing event", "order", func(_ *Judge, s *Sent, _ *Arrived) {
			stream(s, "id: 1\ndata: piece 1\n\nid: 3\ndata: piece 3\n\n", 3, true)
		}},
		{"complete too early", "order", func(_ *Judge, s *Sent, _ *Arrived) { stream(s, "id: 1\ndata: piece 1\n\n", 3, true) }},
		{"cut and told so", "", func(_ *Judge, s *Sent, _ *Arrived) { stream(s, "id: 1\ndata: piece 1\n\nid: 2", 3, false) }},
		{"no final answer", "timeout", func(_ *Judge, s *Sent, _ *Arrived) {
			s.Complete, s.TimedOut, s.CompletedAt = false, true, begin.Add(7*time.Second)
		}},
		{"cut off by a stop", "planned-stop", func(j *Judge, s *Sent, _ *Arrived) {
			s.Complete = false
			j.Stop(0, begin.Add(time.Second/2))
		}},
		{"cut off by a stop beside trouble", "", func(j *Judge, s *Sent, _ *Arrived) {
			s.Complete = false
			j.Stop(0, begin.Add(time.Second/2))
			j.Trouble(-1, begin, begin.Add(time.Second), false)
		}},
		{"too many repeats", "budget", func(j *Judge, s *Sent, a *Arrived) {
			s.Class = list
			for i := range 4 {
				again := *a
				again.At = a.At.Add(time.Duration(i+1) * time.Millisecond)
				j.Arrive(again)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := &Judge{Bounds: bounds}
			s, a := sent()
			c.set(j, &s, &a)
			j.Send(s)
			j.Arrive(a)
			found := j.Findings()
			switch {
			case c.rule == "" && len(found) > 0:
				t.Errorf("found %v", found)
			case c.rule != "" && (len(found) == 0 || found[0].Rule != c.rule):
				t.Errorf("found %v, want %s", found, c.rule)
			}
		})
	}
}
