// Package requester emulates callers on the users' platform: it sends requests over connections
// that it keeps until the node closes them, and returns exactly what was received.
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

// Request is an HTTP request to a node.
type Request struct {
	ID     string
	Method string
	Path   string
	Host   string
	APIKey string
	Body   string
	// PromptPrefix lists the parts of a stream's prompt; empty for one that all have in common and one of
	// its own.
	PromptPrefix string
	// Events is the number of events to request from a stream; zero sends a plain request.
	Events int
	// LastEventID is the id of the event after which the caller resumes a stream; zero if it begins one.
	LastEventID int
	// Resumes is the id of the request that brought the first event of that stream.
	Resumes string
	// Timeout is how long the caller waits for the response.
	Timeout time.Duration
}

// Response is what the caller received.
type Response struct {
	Status int
	// Seal is the Response-Seal of the server that responded.
	Seal string
	// Leaving reports whether that server stated that it leaves.
	Leaving bool
	Body    string
	// Complete reports whether the whole response was received.
	Complete bool
	// Err is the error that left the response incomplete.
	Err error
	// TimedOut reports whether the caller's timeout expired while it read the response.
	TimedOut bool
	// SentAt is the time just before the request was written, and CompletedAt the time when reading the
	// response ended.
	SentAt, CompletedAt time.Time
}

// Caller sends one request at a time to a node.
type Caller struct {
	Address netip.AddrPort

	conn   net.Conn
	reader *bufio.Reader
}

const dialTimeout = time.Second

// Do sends a request. It returns an error only if no byte of the request was sent.
func (c *Caller) Do(request Request) (Response, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Address.String(), dialTimeout)
		if err != nil {
			return Response{}, err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	response := Response{SentAt: time.Now()}
	if err := c.conn.SetDeadline(response.SentAt.Add(request.Timeout)); err != nil {
		c.Close()
		return response, err
	}
	if n, err := c.conn.Write(encodeRequest(request)); err != nil {
		c.Close()
		if n == 0 {
			return response, err
		}
		response.Err = err
		return response, nil
	}
	c.receive(request, &response)
	response.CompletedAt = time.Now()
	return response, nil
}

// encodeRequest encodes the request in HTTP/1.1 wire format. It adds a forged Tenant header, which the
// router must replace.
func encodeRequest(request Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Attempt-Id: %s\r\nDeadline-Remaining: %d\r\nAuthorization: Bearer %s\r\nTenant: forged\r\n",
		request.Method, request.Path, request.Host, request.ID, request.Timeout.Milliseconds(), request.APIKey)
	if request.Events > 0 {
		prefix := request.PromptPrefix
		if prefix == "" {
			prefix = "aa:2000," + request.ID + ":1000"
		}
		fmt.Fprintf(&b, "Model: m\r\nToken-Usage: 3000,%d\r\nPrompt-Prefix: %s\r\n", request.Events, prefix)
	}
	if request.LastEventID > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\nResumes: %s\r\n", request.LastEventID, request.Resumes)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(request.Body), request.Body)
	return b.Bytes()
}

func (c *Caller) receive(request Request, response *Response) {
	httpResponse, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
	if err != nil {
		c.closeWithError(response, err)
		return
	}
	response.Status, response.Seal = httpResponse.StatusCode, httpResponse.Header.Get("Response-Seal")
	response.Leaving = httpResponse.Header.Get("Server-Leaving") == "1"
	body, err := io.ReadAll(httpResponse.Body)
	response.Body = string(body)
	if err != nil {
		c.closeWithError(response, err)
		return
	}
	response.Complete = true
	if httpResponse.Close {
		c.Close()
	}
}

// closeWithError records the error that ended the response and closes the connection.
func (c *Caller) closeWithError(response *Response, err error) {
	var netErr net.Error
	response.Err = err
	response.TimedOut = errors.As(err, &netErr) && netErr.Timeout()
	c.Close()
}

// Close closes the connection.
func (c *Caller) Close() {
	if c.conn != nil {
		// The node may have closed the connection already.
		_ = c.conn.Close()
	}
	c.conn, c.reader = nil, nil
}

// EventIDs returns the ids of the complete events in a stream, and the text after the last one. It leaves out
// comments, which are no events.
func EventIDs(body string) (ids []int, rest string, err error) {
	rest = withoutComments(body)
	for {
		rest = strings.TrimLeft(rest, "\n")
		event, after, found := strings.Cut(rest, "\n\n")
		if !found {
			return ids, rest, nil
		}
		idLine, _, _ := strings.Cut(event, "\n")
		id, err := strconv.Atoi(strings.TrimPrefix(idLine, "id: "))
		if err != nil || event+"\n\n" != EncodeEvent(id) {
			return ids, rest, errors.Newf("malformed event %q", event)
		}
		ids = append(ids, id)
		rest = after
	}
}

// EncodeEvent returns the event with an id in every stream.
func EncodeEvent(id int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
}

// withoutComments returns a stream without the lines that are comments.
func withoutComments(body string) string {
	var b strings.Builder
	for line := range strings.Lines(body) {
		if !strings.HasPrefix(line, ":") {
			b.WriteString(line)
		}
	}
	return b.String()
}
