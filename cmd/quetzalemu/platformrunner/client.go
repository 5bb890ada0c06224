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

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// cut tells that the answer broke off.
	cut bool
}

// request is what a caller asks.
type request struct {
	method, path, id, key, body string
	// events is the number of events asked for; zero for a plain call.
	events int
}

// ask sends a request to a node, on a connection of its own.
func ask(ctx context.Context, n node, q request) (answer, error) {
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+n.front.String()+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{}, err
	}
	r.Host = host
	r.Close = true
	r.Header.Set("Request-Attempt-Id", q.id)
	r.Header.Set("Deadline-Remaining", "15000")
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	if q.events > 0 {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Usage", "3000,"+strconv.Itoa(q.events))
		r.Header.Set("Prompt-Prefix", "aa:1000,bb:1000,"+q.id+":1000")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), cut: err != nil}, nil
}

// whole checks that a stream has each event once, in order.
func (a answer) whole(events int) error {
	if a.status != http.StatusOK || a.cut {
		return fmt.Errorf("status %d, cut %v, body %q", a.status, a.cut, a.body)
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
