package platformrunner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// response is the response that a caller received.
type response struct {
	status int
	header http.Header
	body   string
	// truncated reports whether reading the body failed before its end.
	truncated bool
}

// request is a caller's request.
type request struct {
	method, path, id, key, body string
	// events is the number of events to request; zero sends a plain request.
	events int
}

// sendRequest sends a request to a node over a new connection.
func sendRequest(ctx context.Context, target node, params request) (response, error) {
	r, err := http.NewRequestWithContext(ctx, params.method, "http://"+target.callerAddress.String()+params.path, strings.NewReader(params.body))
	if err != nil {
		return response{}, err
	}
	r.Host = host
	r.Close = true
	r.Header.Set("Request-Attempt-Id", params.id)
	r.Header.Set("Deadline-Remaining", "15000")
	if params.key != "" {
		r.Header.Set("Authorization", "Bearer "+params.key)
	}
	if params.events > 0 {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Usage", "3000,"+strconv.Itoa(params.events))
		r.Header.Set("Prompt-Prefix", "aa:1000,bb:1000,"+params.id+":1000")
	}
	httpResponse, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	body, err := io.ReadAll(httpResponse.Body)
	return response{status: httpResponse.StatusCode, header: httpResponse.Header, body: string(body), truncated: err != nil}, nil
}

// checkEvents checks that a stream contains each event once and in order.
func (r response) checkEvents(events int) error {
	if r.status != http.StatusOK || r.truncated {
		return fmt.Errorf("status %d, truncated %v, body %q", r.status, r.truncated, r.body)
	}
	next := 1
	for lines := bufio.NewScanner(strings.NewReader(r.body)); lines.Scan(); {
		id, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		if id != strconv.Itoa(next) {
			return fmt.Errorf("got event %s, want event %d", id, next)
		}
		next++
	}
	if next != events+1 {
		return fmt.Errorf("got %d events, want %d", next-1, events)
	}
	return nil
}
