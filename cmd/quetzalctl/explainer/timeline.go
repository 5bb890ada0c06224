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
	time    time.Time
	node    string
	message string
	fields  map[string]any
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// readLog takes the lines of a log that are JSON objects; what stands before the
// object, such as another log's time, is passed over.
func readLog(r io.Reader, add func(event)) error {
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
		e := event{node: stringValue(fields["node"]), message: stringValue(fields["msg"]), fields: fields}
		e.time, _ = time.Parse(time.RFC3339Nano, stringValue(fields["time"]))
		add(e)
	}
	return lines.Err()
}

func stringValue(v any) string {
	s, _ := v.(string)
	return s
}

// timeline is what the logs tell of one request.
type timeline struct {
	requestID string
	// events are the request's own, and around those that changed what its
	// nodes believed.
	events       []event
	stateChanges []event
}

// stateChangeMessages are the lines that tell of a change of what a node believes.
var stateChangeMessages = []string{"log lost", "log regained", "state in force", "stopping", "started", "upstream gone", "upstream changed", "entry lapsed, held", "log lines dropped"}

func (t *timeline) add(e event) {
	switch {
	case stringValue(e.fields["request-id"]) == t.requestID:
		t.events = append(t.events, e)
	case slices.Contains(stateChangeMessages, e.message):
		t.stateChanges = append(t.stateChanges, e)
	}
}

// stateChangeLookback is how long before a request a change of belief is told with it.
const stateChangeLookback = 10 * time.Second

// orderedEvents gives the request's events, and the changes of belief on its nodes from
// a while before it to its end, in order of time.
func (t *timeline) orderedEvents() []event {
	if len(t.events) == 0 {
		return nil
	}
	byTime := func(a, b event) int { return a.time.Compare(b.time) }
	slices.SortStableFunc(t.events, byTime)
	all := slices.Clone(t.events)
	first, last := t.events[0].time, t.events[len(t.events)-1].time
	for _, e := range t.stateChanges {
		if e.time.Before(first.Add(-stateChangeLookback)) || e.time.After(last) || !t.isRelevant(e) {
			continue
		}
		all = append(all, e)
	}
	slices.SortStableFunc(all, byTime)
	return all
}

// isRelevant tells that a change of belief is of one of the request's nodes, and
// of one of its upstreams where it is of any.
func (t *timeline) isRelevant(e event) bool {
	upstream := stringValue(e.fields["upstream"])
	sameNode, sameUpstream := false, upstream == ""
	for _, requestEvent := range t.events {
		sameNode = sameNode || requestEvent.node == e.node
		sameUpstream = sameUpstream || stringValue(requestEvent.fields["upstream"]) == upstream
	}
	return sameNode && sameUpstream
}

// reasonCauses says what a reason means to whoever asks why.
var reasonCauses = map[string]string{
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

// cause names the cause in the words of the last decision.
func (t *timeline) cause() string {
	lastEvent := t.events[len(t.events)-1]
	for _, e := range t.events {
		if e.message == "request refused" || e.message == "request answered" {
			lastEvent = e
		}
	}
	switch lastEvent.message {
	case "request answered":
		return fmt.Sprintf("answered with status %v by %s after %v", lastEvent.fields["status"], stringValue(lastEvent.fields["upstream"]), lastEvent.fields["took"])
	case "request refused":
		reason := stringValue(lastEvent.fields["reason"])
		cause := reasonCauses[reason]
		if failure := t.lastFailure(); failure != "" && strings.HasPrefix(reason, "upstream") {
			cause += "; " + failure
		}
		return fmt.Sprintf("refused (%s, %s): %s", reason, stringValue(lastEvent.fields["outcome"]), cause)
	}
	return "still under way, or its end was not logged"
}

// lastFailure tells how the last attempt failed.
func (t *timeline) lastFailure() string {
	for _, e := range slices.Backward(t.events) {
		if e.message != "attempt failed" {
			continue
		}
		description := fmt.Sprintf("the last attempt, on %s, failed as %s (not run: %v)", stringValue(e.fields["upstream"]), stringValue(e.fields["reason"]), e.fields["not-run"])
		if waiting, ok := e.fields["told-waiting"]; ok {
			description += fmt.Sprintf("; the upstream told of %v running and %v waiting", e.fields["told-running"], waiting)
		}
		return description
	}
	return ""
}

// write tells the story, a line an event and the cause at the end.
func (t *timeline) write(w io.Writer) error {
	for _, e := range t.orderedEvents() {
		var fields []string
		for key, value := range e.fields {
			switch key {
			case "time", "level", "msg", "node", "request-id":
				continue
			}
			fields = append(fields, fmt.Sprintf("%s=%v", key, value))
		}
		slices.Sort(fields)
		if _, err := fmt.Fprintf(w, "%s  %-16s %-18s %s\n", e.time.Format("15:04:05.000"), e.node, e.message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, "cause: "+t.cause())
	return err
}
