package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	method, path, body string
	key                string
	header             map[string]string
	timeout            time.Duration
}

// newAttemptID returns the id of an attempt.
func newAttemptID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// newClient returns an HTTP client. Without keep-alive it opens a new channel for each request.
func newClient(keepAlive bool) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: !keepAlive, DisableCompression: true, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 0}}
}

// send sends an attempt to a node and returns the response.
func send(ctx context.Context, client *http.Client, n *node, id string, q request) (*http.Response, error) {
	var body io.Reader
	if q.body != "" {
		body = strings.NewReader(q.body)
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+n.front()+q.path, body)
	if err != nil {
		return nil, err
	}
	r.Host = host
	r.Header.Set("Request-Attempt-Id", id)
	r.Header.Set("Deadline-Remaining", strconv.FormatInt(q.timeout.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	return client.Do(r)
}

// event is an event of a stream.
type event struct {
	id   int
	data string
}

var errBroken = errors.New("the stream broke off")

// readEvents calls f with each whole event. It returns nil at the end of a complete stream.
func readEvents(body io.Reader, f func(event)) error {
	scanner := bufio.NewScanner(body)
	var e event
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case line == "":
			f(e)
			e = event{}
		case strings.HasPrefix(line, "id: "):
			e.id, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			e.data = line[len("data: "):]
		}
	}
	if scanner.Err() != nil {
		return errBroken
	}
	return nil
}
