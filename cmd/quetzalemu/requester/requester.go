// Package requester stands in for callers on the users' platform: it sends requests over connections that it keeps until their node
// ends them, and tells exactly what came back.
package requester

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is one request.
type Request struct {
	ID     string
	Method string
	Path   string
	Host   string
	Key    string
	Body   string
	// Events is how many events a stream is to have; zero for a plain request.
	Events int
	// Patience is how long the caller waits.
	Patience time.Duration
}

// Answer is what came back.
type Answer struct {
	Status int
	// Seal is the mark of the server that answered.
	Seal string
	Body string
	// Whole tells that the answer came to its end.
	Whole bool
	// Err is why it did not.
	Err error
	// Waited tells that the caller gave up.
	Waited bool
	// Sent is when the request was written, and Ended when the last of the
	// answer came.
	Sent, Ended time.Time
}

// Caller sends one request at a time to a node.
type Caller struct {
	Address netip.AddrPort

	conn   net.Conn
	reader *bufio.Reader
}

const dialTimeout = time.Second

// Do sends a request. The error tells that it was not written at all.
func (c *Caller) Do(q Request) (Answer, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Address.String(), dialTimeout)
		if err != nil {
			return Answer{}, err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	a := Answer{Sent: time.Now()}
	if err := c.conn.SetDeadline(a.Sent.Add(q.Patience)); err != nil {
		c.Close()
		return a, err
	}
	if n, err := c.conn.Write(encode(q)); err != nil {
		c.Close()
		if n == 0 {
			return a, err
		}
		a.Err = err
		return a, nil
	}
	c.receive(q, &a)
	a.Ended = time.Now()
	return a, nil
}

// encode gives the request as it goes over the wire.
func encode(q Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Attempt-Id: %s\r\nDeadline-Remaining: %d\r\nAuthorization: Bearer %s\r\nTenant: forged\r\n",
		q.Method, q.Path, q.Host, q.ID, q.Patience.Milliseconds(), q.Key)
	if q.Events > 0 {
		fmt.Fprintf(&b, "Model: m\r\nToken-Usage: 3000,%d\r\nPrompt-Prefix: aa:2000,%s:1000\r\n", q.Events, q.ID)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.Body), q.Body)
	return b.Bytes()
}

func (c *Caller) receive(q Request, a *Answer) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
	if err != nil {
		c.fail(a, err)
		return
	}
	a.Status, a.Seal = response.StatusCode, response.Header.Get("Response-Seal")
	body, err := io.ReadAll(response.Body)
	a.Body = string(body)
	if err != nil {
		c.fail(a, err)
		return
	}
	a.Whole = true
	if response.Close {
		c.Close()
	}
}

func (c *Caller) fail(a *Answer, err error) {
	var timeout net.Error
	a.Err = err
	a.Waited = errors.As(err, &timeout) && timeout.Timeout()
	c.Close()
}

// Close ends the connection.
func (c *Caller) Close() {
	if c.conn != nil {
		// A connection that its node closed needs no more.
		_ = c.conn.Close()
	}
	c.conn, c.reader = nil, nil
}

// EventIDs gives the ids of the whole events of a stream, and what follows the
// last one.
func EventIDs(body string) (ids []int, rest string, err error) {
	rest = body
	for {
		event, after, found := strings.Cut(rest, "\n\n")
		if !found {
			return ids, rest, nil
		}
		first, data, _ := strings.Cut(event, "\n")
		id, err := strconv.Atoi(strings.TrimPrefix(first, "id: "))
		if err != nil || data != fmt.Sprintf("data: piece %d", id) {
			return ids, rest, errors.Newf("event %q", event)
		}
		ids = append(ids, id)
		rest = after
	}
}
