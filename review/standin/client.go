package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// The host and the API key of the deployment.
const (
	host   = "shop.example"
	apiKey = "key-of-tenant-1"
)

// clientRequest is one attempt of a client.
type clientRequest struct {
	method, path, id, key string
	timeout               time.Duration
	// stream asks for events after the last one. resumes is the attempt that brought the stream's first event.
	stream  bool
	after   int
	resumes string
	// onEvent is called with the number of each event; may be nil.
	onEvent func(number int)
}

// event is an event that a client received.
type event struct {
	number int
	data   string
}

// clientResult is what a client received.
type clientResult struct {
	status     int
	seal       string
	retryAfter string
	body       string
	events     []event
	// err is set unless the answer ended as a whole one.
	err error
}

var attemptNumber atomic.Int64

// newAttemptID returns the id of a new attempt.
func newAttemptID() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), attemptNumber.Add(1))
}

// clientTransport opens a connection for each request.
var clientTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxConnsPerHost: 0}

// send sends a request to a node and reads the answer.
func (w *world) send(ctx context.Context, front string, q clientRequest) clientResult {
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	var body io.Reader
	if q.method == http.MethodPost {
		body = strings.NewReader("request " + q.id)
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+front+q.path, body)
	if err != nil {
		return clientResult{err: err}
	}
	r.Host = host
	h := r.Header
	h.Set("Request-Attempt-Id", q.id)
	h.Set("Deadline-Remaining", strconv.FormatInt(q.timeout.Milliseconds(), 10))
	if q.key != "" {
		h.Set("Authorization", "Bearer "+q.key)
	}
	if q.stream {
		h.Set("Model", "m")
		h.Set("Token-Usage", "300,200")
		h.Set("Prompt-Prefix", "5c1e"+q.id[len(q.id)-4:]+":200,"+q.id+":100")
	}
	if q.after > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(q.after))
		h.Set("Resumes", q.resumes)
	}
	w.recordf("client sends %s %s %s after event %d, resumes %q", q.id, q.method, q.path, q.after, q.resumes)
	result := receive(r, q)
	w.recordf("client of %s got status %d, seal %q, retry-after %q, %d events, body %.60q, end %v", q.id, result.status, result.seal, result.retryAfter, len(result.events), result.body, endOf(result.err))
	return result
}

// endOf tells how an answer ended.
func endOf(err error) any {
	if err == nil {
		return "whole"
	}
	return err
}

func receive(r *http.Request, q clientRequest) clientResult {
	response, err := clientTransport.RoundTrip(r)
	if err != nil {
		return clientResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	result := clientResult{status: response.StatusCode, seal: response.Header.Get("Response-Seal"), retryAfter: response.Header.Get("Retry-After")}
	if !q.stream || response.StatusCode != http.StatusOK {
		data, err := io.ReadAll(response.Body)
		result.body, result.err = string(data), err
		return result
	}
	reader := bufio.NewReader(response.Body)
	var current event
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				result.err = err
			}
			return result
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			current.number, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			current.data = line[len("data: "):]
		case line == "" && current.number > 0:
			result.events = append(result.events, current)
			if q.onEvent != nil {
				q.onEvent(current.number)
			}
			current = event{}
		}
	}
}

// awaitReady waits until nodes report themselves as ready.
func (w *world) awaitReady(ctx context.Context, nodes ...*node) error {
	for _, n := range nodes {
		for !isReady(ctx, n) {
			if err := pause(ctx, 20*time.Millisecond); err != nil {
				return fmt.Errorf("%s is not ready: %w", n.name, err)
			}
		}
		w.recordf("%s is ready", n.name)
	}
	return nil
}

func isReady(ctx context.Context, n *node) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/readiness", http.NoBody)
	if err != nil {
		return false
	}
	response, err := clientTransport.RoundTrip(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pause waits for a time, unless the case ends before.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
