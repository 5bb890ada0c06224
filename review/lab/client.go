package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	status int
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: no answer (%v)", a.id, a.err)
	}
	return fmt.Sprintf("%s: status %d after %d ms", a.id, a.status, time.Since(a.sentAt).Milliseconds())
}

// call is a client's request.
type call struct {
	method, path, key string
	timeLimit         time.Duration
}

// host is the host of all routes.
const host = "orders.example"

func newAttemptID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// send sends a request to a node on a channel of its own and waits for the answer.
func send(n *node, c call) answer {
	a := answer{id: newAttemptID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeLimit)
	defer cancel()
	var body io.Reader
	if c.method == http.MethodPost {
		body = strings.NewReader("order of " + a.id)
	}
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+n.front+c.path, body)
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Header.Set("Request-Attempt-Id", a.id)
	request.Header.Set("Deadline-Remaining", strconv.FormatInt(c.timeLimit.Milliseconds(), 10))
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	_, a.err = io.Copy(io.Discard, response.Body)
	a.status = response.StatusCode
	return a
}
