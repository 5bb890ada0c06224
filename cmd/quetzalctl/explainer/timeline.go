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

// maxLineBytes limits a line of a log.
const maxLineBytes = 1 << 20

// readLog passes the lines of a log that contain a JSON object to add. A prefix
// before the object, such as the timestamp of a log collector, is skipped.
func readLog(r io.Reader, add func(event)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(scanner.Bytes()[start:], &fields); err != nil {
			continue
		}
		e := event{node: stringValue(fields["node"]), message: stringValue(fields["msg"]), fields: fields}
		e.time, _ = time.Parse(time.RFC3339Nano, stringValue(fields["time"]))
		add(e)
	}
	return scanner.Err()
}

func stringValue(v any) string {
	s, _ := v.(string)
	return s
}

// timeline collects the log lines of one request and of state changes.
type timeline struct {
	requestID string
	// events are the request's own; stateChanges are those that changed a node's
	// view of the published state or of the upstreams.
	events       []event
	stateChanges []event
}

// stateChangeMessages are the log messages of a node's state changes.
var stateChangeMessages = []string{
	"log lost", "log regained", "state in force", "stopping", "started", "upstream gone", "upstream changed", "entry lapsed, held", "log lines dropped", "segment quarantined", "segment released", "upstream announced its drain", "upstream asked for a pause",
	"log restored from an older copy", "log restored from an older copy; reading the latest of every key", "records were dropped from the log; reading the latest of every key",
}

func (t *timeline) add(e event) {
	switch {
	case stringValue(e.fields["request-id"]) == t.requestID:
		t.events = append(t.events, e)
	case slices.Contains(stateChangeMessages, e.message):
		t.stateChanges = append(t.stateChanges, e)
	}
}

// stateChangeLookback is how long before a request state changes are included.
const stateChangeLookback = 10 * time.Second

// orderedEvents returns the request's events, and the state changes of its nodes
// from stateChangeLookback before the request to its end, in order of time.
func (t *timeline) orderedEvents() []event {
	if len(t.events) == 0 {
		return nil
	}
	compareTimes := func(a, b event) int { return a.time.Compare(b.time) }
	slices.SortStableFunc(t.events, compareTimes)
	ordered := slices.Clone(t.events)
	first, last := t.events[0].time, t.events[len(t.events)-1].time
	for _, e := range t.stateChanges {
		if e.time.Before(first.Add(-stateChangeLookback)) || e.time.After(last) || !t.isRelevant(e) {
			continue
		}
		ordered = append(ordered, e)
	}
	slices.SortStableFunc(ordered, compareTimes)
	return ordered
}

// isRelevant reports whether a state change is of one of the request's nodes, and
// of one of its upstreams if the change is of an upstream.
func (t *timeline) isRelevant(e event) bool {
	upstream := stringValue(e.fields["upstream"])
	sameNode, sameUpstream := false, upstream == ""
	for _, requestEvent := range t.events {
		sameNode = sameNode || requestEvent.node == e.node
		sameUpstream = sameUpstream || stringValue(requestEvent.fields["upstream"]) == upstream
	}
	return sameNode && sameUpstream
}

// reasonCauses explains the refusal reasons.
var reasonCauses = map[string]string{
	"stale-state":          "the node's published state was older than the revocation limit allows, so it accepted no requests with a key; see when it lost the log",
	"quarantined":          "a segment of the prompt crashed several upstreams, so requests with it are sent to none; see the line \"segment quarantined\"",
	"upstream-exited":      "the upstream's process exited as it began to respond; the request may be the cause and is sent to no other upstream",
	"upstream-rate-limit":  "all upstreams of the service state a rate limit, and this node's shares were used up, or asked for a pause; see the lines \"rate limit of upstream changed\" and \"upstream asked for a pause\"",
	"not-ready":            "the node had no published state yet",
	"no-upstream":          "no upstream of the service was available",
	"upstream-failed":      "the attempts failed, and the retry budget or the limit on attempts allowed no further retry",
	"upstream-answer-lost": "an upstream may have run the request and its response was lost; the request must not be retried",
	"stream-cut":           "the stream was interrupted at its upstream and can't be resumed on another one",
	"timeout":              "the timeout of the route or of the caller expired",
	"caller-left":          "the caller disconnected",
	"unauthorized":         "the key belongs to no team, or was revoked",
	"unknown-route":        "no route of the node's published state matches the host and path",
	"body-too-large":       "the body exceeds the published limit",
	"malformed-request":    "a header field is malformed",
}

// cause describes the cause of the request's outcome, from its last answered or refused line.
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
		cause := reasonCauses[reason] + t.newerState(lastEvent)
		if failure := t.lastFailure(); failure != "" && strings.HasPrefix(reason, "upstream") {
			cause += "; " + failure
		}
		return fmt.Sprintf("refused (%s, %s): %s", reason, stringValue(lastEvent.fields["outcome"]), cause)
	}
	return "still in progress, or its outcome was not logged"
}

// newerState names another node that had a newer state in force when a request was refused; empty if the
// logs show none.
func (t *timeline) newerState(refused event) string {
	version, _ := refused.fields["state-version"].(float64)
	newest := version
	var first event
	for _, e := range t.stateChanges {
		v, _ := e.fields["version"].(float64)
		if e.message == "state in force" && v > newest && e.time.Before(refused.time) {
			newest, first = v, e
		}
	}
	if newest == version {
		return ""
	}
	return fmt.Sprintf("; this node had version %.0f of the state, and %s had version %.0f %s earlier", version, first.node, newest, refused.time.Sub(first.time).Round(time.Millisecond))
}

// lastFailure describes how the last failed attempt failed; empty if none did.
func (t *timeline) lastFailure() string {
	for _, e := range slices.Backward(t.events) {
		if e.message != "attempt failed" {
			continue
		}
		description := fmt.Sprintf("the last attempt, on %s, failed as %s (not run: %v)", stringValue(e.fields["upstream"]), stringValue(e.fields["reason"]), e.fields["not-run"])
		if waiting, ok := e.fields["told-waiting"]; ok {
			description += fmt.Sprintf("; the upstream reported %v running and %v waiting", e.fields["told-running"], waiting)
		}
		return description
	}
	return ""
}

// write prints one line per event, and the cause at the end.
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
