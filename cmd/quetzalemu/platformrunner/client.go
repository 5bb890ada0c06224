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

// response is what a caller got.
type response struct {
	status int
	header http.Header
	body   string
	// cut tells that the answer broke off.
	truncated bool
}

// request is what a caller asks.
type request struct {
	method, path, id, key, body string
	// events is the number of events asked for; zero for a plain call.
	events int
}

// ask sends a request to a node, on a connection of its own.
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

// checkEvents checks that a stream has each event once, in order.
func (a response) checkEvents(events int) error {
	if a.status != http.StatusOK || a.truncated {
		return fmt.Errorf("status %d, cut %v, body %q", a.status, a.truncated, a.body)
	}
	next := 1
	for lines := bufio.NewScanner(strings.NewReader(a.body)); lines.Scan(); {
		id, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		if id != strconv.Itoa(next) {
			return fmt.Errorf("event %s where %d was due", id, next)
		}
		next++
	}
	if next != events+1 {
		return fmt.Errorf("%d events, want %d", next-1, events)
	}
	return nil
}
