package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// event is one line of a node's log.
type event struct {
	at     time.Time
	node   string
	what   string
	fields map[string]any
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// read takes the lines of a log that are JSON objects; what stands before the
// object, such as another log's time, is passed over.
func read(r io.Reader, take func(event)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		start := bytes.IndexByte(lines.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(lines.Bytes()[start:], &fields); err != nil {
			continue
		}
		e := event{node: text(fields["node"]), what: text(fields["msg"]), fields: fields}
		e.at, _ = time.Parse(time.RFC3339Nano, text(fields["time"]))
		take(e)
	}
	return lines.Err()
}

func text(v any) string {
	s, _ := v.(string)
	return s
}

// story is what the logs tell of one request.
type story struct {
	id string
	// events are the request's own, and around those that changed what its
	// nodes believed.
	events []event
	around []event
}

// beliefs are the lines that tell of a change of what a node believes.
var beliefs = []string{"log lost", "log regained", "state in force", "stopping", "started", "upstream gone", "upstream changed", "entry lapsed, held", "log lines dropped"}

func (s *story) take(e event) {
	switch {
	case text(e.fields["request-id"]) == s.id:
		s.events = append(s.events, e)
	case slices.Contains(beliefs, e.what):
		s.around = append(s.around, e)
	}
}

// lookBack is how long before a request a change of belief is told with it.
const lookBack = 10 * time.Second

// order gives the request's events, and the changes of belief on its nodes from
// a while before it to its end, in order of time.
func (s *story) order() []event {
	if len(s.events) == 0 {
		return nil
	}
	byTime := func(a, b event) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(s.events, byTime)
	all := slices.Clone(s.events)
	first, last := s.events[0].at, s.events[len(s.events)-1].at
	for _, e := range s.around {
		if e.at.Before(first.Add(-lookBack)) || e.at.After(last) || !s.concerns(e) {
			continue
		}
		all = append(all, e)
	}
	slices.SortStableFunc(all, byTime)
	return all
}

// concerns tells that a change of belief is of one of the request's nodes, and
// of one of its upstreams where it is of any.
func (s *story) concerns(e event) bool {
	upstream := text(e.fields["upstream"])
	here, there := false, upstream == ""
	for _, own := range s.events {
		here = here || own.node == e.node
		there = there || text(own.fields["upstream"]) == upstream
	}
	return here && there
}

// causes says what a reason means to whoever asks why.
var causes = map[string]string{
	"stale-state":          "the node's view of the published state was older than the bound on revocation allows, so it served no keyed work; see when it lost the log",
	"not-ready":            "the node had no published state yet",
	"no-upstream":          "no upstream of the service could take work",
	"upstream-failed":      "the attempts failed, and the budget of repeats or the bound on attempts allowed no other",
	"upstream-answer-lost": "an upstream may have run the request and its answer was lost; it may not be repeated",
	"stream-cut":           "the stream broke off at its upstream and can't be taken up elsewhere",
	"timeout":              "the time of the route or of the caller ran out",
	"caller-left":          "the caller left",
	"unauthorized":         "the key names no team, or was taken away",
	"unknown-route":        "no route leads from the host and path",
	"body-too-large":       "the body is longer than the published bound",
	"malformed-request":    "a field of the head can't be read",
}

// verdict names the cause in the words of the last decision.
func (s *story) verdict() string {
	last := s.events[len(s.events)-1]
	for _, e := range s.events {
		if e.what == "request refused" || e.what == "request answered" {
			last = e
		}
	}
	switch last.what {
	case "request answered":
		return fmt.Sprintf("answered with status %v by %s after %v", last.fields["status"], text(last.fields["upstream"]), last.fields["took"])
	case "request refused":
		reason := text(last.fields["reason"])
		cause := causes[reason]
		if attempt := s.lastFailure(); attempt != "" && strings.HasPrefix(reason, "upstream") {
			cause += "; " + attempt
		}
		return fmt.Sprintf("refused (%s, %s): %s", reason, text(last.fields["outcome"]), cause)
	}
	return "still under way, or its end was not logged"
}

// lastFailure tells how the last attempt failed.
func (s *story) lastFailure() string {
	for _, e := range slices.Backward(s.events) {
		if e.what != "attempt failed" {
			continue
		}
		told := fmt.Sprintf("the last attempt, on %s, failed as %s (not run: %v)", text(e.fields["upstream"]), text(e.fields["reason"]), e.fields["not-run"])
		if waiting, ok := e.fields["told-waiting"]; ok {
			told += fmt.Sprintf("; the upstream told of %v running and %v waiting", e.fields["told-running"], waiting)
		}
		return told
	}
	return ""
}

// write tells the story, a line an event and the cause at the end.
func (s *story) write(w io.Writer) error {
	for _, e := range s.order() {
		var fields []string
		for key, value := range e.fields {
			switch key {
			case "time", "level", "msg", "node", "request-id":
				continue
			}
			fields = append(fields, fmt.Sprintf("%s=%v", key, value))
		}
		slices.Sort(fields)
		if _, err := fmt.Fprintf(w, "%s  %-16s %-18s %s\n", e.at.Format("15:04:05.000"), e.node, e.what, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, "cause: "+s.verdict())
	return err
}
