// Package caller calls the admin API of the nodes.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad/support/commander"
)

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 64 << 20

// Caller calls the first node that answers, and goes to the next one when a
// node dies.
type Caller struct {
	// Nodes are the admin addresses, in the order in which they are tried.
	Nodes []netip.AddrPort
	// Key is the operators' key.
	Key string
	// Author is written into the log with each change.
	Author string
	// Timeout bounds a call to one node; zero stands for 15 seconds.
	Timeout time.Duration
	// HTTP is the client; the zero value will do.
	HTTP http.Client
}

// ParseNodes reads addresses separated by commas.
func ParseNodes(text string) ([]netip.AddrPort, error) {
	var nodes []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		a, err := netip.ParseAddrPort(part)
		if err != nil {
			return nil, &commander.UsageError{Problem: fmt.Sprintf("%q is not an IP address with a port", part)}
		}
		nodes = append(nodes, a)
	}
	if len(nodes) == 0 {
		return nil, &commander.UsageError{Problem: "no node is named: give -nodes or set QUETZALCTL_NODES"}
	}
	return nodes, nil
}

// Answer is the answer of a node.
type Answer struct {
	Status int
	Body   []byte
	// Revision is that of the ETag, without its quotes; empty where there is
	// none.
	Revision string
	// Node is the address that answered.
	Node netip.AddrPort
}

// RefusedError is an answer that is not a success.
type RefusedError struct {
	Status   int
	Code     string    `json:"code"`
	Message  string    `json:"message"`
	Findings []Finding `json:"findings"`
	Current  int64     `json:"current-revision"`
}

// Finding is one thing that is wrong with what was sent.
type Finding struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
}

// Error gives the refusal with all its findings.
func (e *RefusedError) Error() string {
	if len(e.Findings) == 0 {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.Path + ": " + f.Problem
	}
	return e.Code + ":\n  " + strings.Join(lines, "\n  ")
}

// usualTimeout bounds a call where the caller has no timeout.
const usualTimeout = 15 * time.Second

// Do calls a path below /admin/v1/. A revision is sent as If-Match; "new"
// stands for an object that must not exist. A change is sent to another node
// only where the first could not be reached at all.
func (c *Caller) Do(ctx context.Context, method, path, revision string, body []byte) (Answer, error) {
	var all error
	for _, n := range c.Nodes {
		a, reached, err := c.one(ctx, n, method, path, revision, body)
		if err == nil {
			return a, nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) || reached && method != http.MethodGet {
			return Answer{}, err
		}
		all = errors.CombineErrors(all, errors.Wrap(err, n.String()))
	}
	return Answer{}, errors.Wrap(all, "no node answered")
}

func (c *Caller) one(ctx context.Context, n netip.AddrPort, method, path, revision string, body []byte) (a Answer, reached bool, err error) {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = usualTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.String()+"/admin/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, false, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if c.Author != "" {
		request.Header.Set("Quetzalroad-Author", c.Author)
	}
	switch revision {
	case "":
	case "new":
		request.Header.Set("If-None-Match", "*")
	default:
		request.Header.Set("If-Match", `"`+revision+`"`)
	}
	answer, err := c.HTTP.Do(request)
	if err != nil {
		return Answer{}, !isDial(err), err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, true, err
	}
	if answer.StatusCode/100 != 2 {
		return Answer{}, true, refusal(answer.StatusCode, data)
	}
	return Answer{Status: answer.StatusCode, Body: data, Revision: strings.Trim(answer.Header.Get("ETag"), `"`), Node: n}, true, nil
}

// isDial tells that no connection was made.
func isDial(err error) bool {
	var u *url.Error
	return errors.As(err, &u) && strings.Contains(u.Err.Error(), "dial ")
}

func refusal(status int, data []byte) error {
	e := &RefusedError{Status: status}
	if json.Unmarshal(data, e) != nil || e.Code == "" {
		e.Code = http.StatusText(status)
		e.Message = strings.TrimSpace(string(data))
	}
	return e
}

// Page is a page of objects.
type Page struct {
	Items []json.RawMessage `json:"items"`
	Next  string            `json:"next"`
}

// List reads all objects of a kind, page by page.
func (c *Caller) List(ctx context.Context, kind string) ([]json.RawMessage, error) {
	var all []json.RawMessage
	after := ""
	for {
		a, err := c.Do(ctx, http.MethodGet, kind+"?limit=500&after="+url.QueryEscape(after), "", nil)
		if err != nil {
			return nil, err
		}
		var page Page
		if err := json.Unmarshal(a.Body, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Items...)
		if page.Next == "" {
			return all, nil
		}
		after = page.Next
	}
}

// Node is a node as another sees it.
type Node struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Offset     int64  `json:"offset"`
	HeardAgo   string `json:"heard-ago"`
	Stopping   bool   `json:"stopping"`
}

// ListNodes reads the nodes as one of them sees them.
func (c *Caller) ListNodes(ctx context.Context) ([]Node, error) {
	a, err := c.Do(ctx, http.MethodGet, "nodes", "", nil)
	if err != nil {
		return nil, err
	}
	var j struct {
		Nodes []Node `json:"nodes"`
	}
	return j.Nodes, errors.Wrap(json.Unmarshal(a.Body, &j), "list of nodes")
}
