// Package adminclient is a client of the nodes' admin API.
package adminclient

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

// maxResponseBytes limits a response body.
const maxResponseBytes = 64 << 20

// Client sends each request to the first node that responds.
type Client struct {
	// Nodes are the admin addresses, in the order in which they are tried.
	Nodes []netip.AddrPort
	// Key is the operators' key.
	Key string
	// Author is recorded in the log with each change.
	Author string
	// Timeout limits a request to one node; zero means 15 seconds.
	Timeout time.Duration
	// HTTPClient is ready for use as the zero value.
	HTTPClient http.Client
}

// ParseNodes parses a comma-separated list of addresses.
func ParseNodes(text string) ([]netip.AddrPort, error) {
	var nodes []netip.AddrPort
	for address := range strings.SplitSeq(text, ",") {
		address = strings.TrimSpace(address)
		if address == "" {
			continue
		}
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, &commander.UsageError{Problem: fmt.Sprintf("%q is not an IP address with a port", address)}
		}
		nodes = append(nodes, parsed)
	}
	if len(nodes) == 0 {
		return nil, &commander.UsageError{Problem: "no node is specified: use -nodes or set QUETZALCTL_NODES"}
	}
	return nodes, nil
}

// Response is a successful response of a node.
type Response struct {
	Status int
	Body   []byte
	// Revision is the ETag without its quotes; empty if there is none.
	Revision string
	// Node is the address of the node that responded.
	Node netip.AddrPort
}

// APIError is a response with an error status.
type APIError struct {
	Status          int
	Code            string    `json:"code"`
	Message         string    `json:"message"`
	Findings        []Finding `json:"findings"`
	CurrentRevision int64     `json:"current-revision"`
}

// Finding is a problem with the object that was sent.
type Finding struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
}

// Error formats the error with all its findings.
func (e *APIError) Error() string {
	if len(e.Findings) == 0 {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.Path + ": " + f.Problem
	}
	return e.Code + ":\n  " + strings.Join(lines, "\n  ")
}

// defaultTimeout limits a request if the client has no timeout.
const defaultTimeout = 15 * time.Second

// Do sends a request to a path below /admin/v1/. A revision is sent as If-Match;
// "new" means that the object must not exist. A change is retried on another node
// only if no connection was made, because the first node may have applied it.
func (c *Client) Do(ctx context.Context, method, path, revision string, body []byte) (Response, error) {
	var combined error
	for _, node := range c.Nodes {
		response, reached, err := c.doNode(ctx, node, method, path, revision, body)
		if err == nil {
			return response, nil
		}
		var apiError *APIError
		if errors.As(err, &apiError) || reached && method != http.MethodGet {
			return Response{}, err
		}
		combined = errors.CombineErrors(combined, errors.Wrap(err, node.String()))
	}
	return Response{}, errors.Wrap(combined, "no node responded")
}

// doNode sends a request to one node; reached reports whether the node may have received it.
func (c *Client) doNode(ctx context.Context, node netip.AddrPort, method, path, revision string, body []byte) (result Response, reached bool, err error) {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.String()+"/admin/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return Response{}, false, err
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
	response, err := c.HTTPClient.Do(request)
	if err != nil {
		return Response{}, !isDialError(err), err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return Response{}, true, err
	}
	if response.StatusCode/100 != 2 {
		return Response{}, true, newAPIError(response.StatusCode, data)
	}
	return Response{Status: response.StatusCode, Body: data, Revision: strings.Trim(response.Header.Get("ETag"), `"`), Node: node}, true, nil
}

// isDialError reports whether no connection was made.
func isDialError(err error) bool {
	var urlError *url.Error
	return errors.As(err, &urlError) && strings.Contains(urlError.Err.Error(), "dial ")
}

func newAPIError(status int, data []byte) error {
	e := &APIError{Status: status}
	if json.Unmarshal(data, e) != nil || e.Code == "" {
		e.Code = http.StatusText(status)
		e.Message = strings.TrimSpace(string(data))
	}
	return e
}

// Page is a page of objects. Next is the cursor of the next page, empty on the last.
type Page struct {
	Items []json.RawMessage `json:"items"`
	Next  string            `json:"next"`
}

// List returns all objects of a kind. It reads them page by page.
func (c *Client) List(ctx context.Context, kind string) ([]json.RawMessage, error) {
	var items []json.RawMessage
	after := ""
	for {
		response, err := c.Do(ctx, http.MethodGet, kind+"?limit=500&after="+url.QueryEscape(after), "", nil)
		if err != nil {
			return nil, err
		}
		var page Page
		if err := json.Unmarshal(response.Body, &page); err != nil {
			return nil, err
		}
		items = append(items, page.Items...)
		if page.Next == "" {
			return items, nil
		}
		after = page.Next
	}
}

// Node is the status of a node as observed by the node that responds. Offset is the log
// offset that it has applied, HeardAgo the duration since its last heartbeat.
type Node struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Offset     int64  `json:"offset"`
	LogEpoch   uint64 `json:"log-epoch"`
	HeardAgo   string `json:"heard-ago"`
	Stopping   bool   `json:"stopping"`
}

// ListNodes returns the nodes as observed by one of them.
func (c *Client) ListNodes(ctx context.Context) ([]Node, error) {
	response, err := c.Do(ctx, http.MethodGet, "nodes", "", nil)
	if err != nil {
		return nil, err
	}
	var list struct {
		Nodes []Node `json:"nodes"`
	}
	return list.Nodes, errors.Wrap(json.Unmarshal(response.Body, &list), "decode list of nodes")
}
