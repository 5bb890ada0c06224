// Package serviceconnector calls plain services over HTTP/1.1. Calls that are
// not idempotent go on a connection made for them.
package serviceconnector

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/headerfilter"
	"github.com/quetzalroad/quetzalroad/upstreams/httpclient"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotServiceClient, Name: "http", Default: true,
		New: func() kernel.Component { return new(Connector) },
	})
}

// Connector is the part that calls plain services.
type Connector struct {
	transport httpclient.Transporter
	// patient waits without a bound of its own, for calls that can't be
	// repeated.
	patient  httpclient.Transporter
	maxBytes int
	recorder quetzalroad.Recorder
}

// Declare implements kernel.Component.
func (c *Connector) Declare(s *configloader.Section) {
	s.Duration("dial-timeout", &c.transport.DialTimeout, time.Second, 10*time.Millisecond, time.Minute, "How long a connection to a service may take.")
	s.Duration("silence", &c.transport.Silence, 3*time.Second, 100*time.Millisecond, 10*time.Minute, "Time without a byte after which an idempotent call is given up; others wait for their whole timeout.")
	s.Int("max-answer-bytes", &c.maxBytes, 8<<20, 1<<10, 1<<30, "Bound on the answer of a service.")
}

// Build implements kernel.Component.
func (c *Connector) Build(n *kernel.Node) error {
	c.transport.Open()
	c.patient.DialTimeout = c.transport.DialTimeout
	c.patient.Open()
	c.recorder = n.Recorder
	n.ServiceClient = c
	n.AddTask("close service connections", func(ctx context.Context) error {
		<-ctx.Done()
		c.transport.Close()
		return nil
	})
	return nil
}

// EndToEnd gives the header fields that are handed on: without those of one
// connection and without those whose names begin with a prefix of the router.
func EndToEnd(h http.Header) http.Header {
	kept := headerfilter.EndToEnd(h)
	for name := range kept {
		if strings.HasPrefix(name, "Quetzalroad-") {
			delete(kept, name)
		}
	}
	return kept
}

// Call implements quetzalroad.ServiceClient.
func (c *Connector) Call(ctx context.Context, u quetzalroad.Upstream, call *quetzalroad.ServiceRequest) (*quetzalroad.ServiceResponse, error) {
	request, err := newRequest(u, call)
	if err != nil {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, NotRun: true, RetryReason: quetzalroad.RetryMalformedResponse, Cause: err}
	}
	transport := &c.transport
	if !call.Idempotent {
		transport = &c.patient
	}
	exchange, err := transport.Do(ctx, request, !call.Idempotent)
	if err != nil {
		return nil, c.fail(u.Name, exchange, err)
	}
	defer exchange.Close()
	return c.read(u.Name, call, exchange)
}

func newRequest(u quetzalroad.Upstream, call *quetzalroad.ServiceRequest) (*http.Request, error) {
	target := "http://" + u.Address.String() + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	request, err := httpclient.NewRequest(call.Method, target, call.Body)
	if err != nil {
		return nil, err
	}
	request.Header = EndToEnd(call.Header)
	request.Header.Set("X-Request-Id", string(call.ID))
	if request.Header.Get("User-Agent") == "" {
		request.Header["User-Agent"] = nil
	}
	return request, nil
}

func (c *Connector) fail(u quetzalroad.UpstreamName, e *httpclient.Exchange, err error) *quetzalroad.AttemptError {
	failure := httpclient.Fail(u, e, err)
	if failure.RetryReason == quetzalroad.RetryReadTimeout {
		c.transport.DropIdle()
	}
	return failure
}

func (c *Connector) read(u quetzalroad.UpstreamName, call *quetzalroad.ServiceRequest, e *httpclient.Exchange) (*quetzalroad.ServiceResponse, error) {
	r := e.Response
	if httpclient.SaysNotRun(r) {
		return nil, &quetzalroad.AttemptError{Upstream: u, NotRun: true, RetryReason: quetzalroad.RetryNotRun, Cause: errors.Newf("status %s", r.Status)}
	}
	if call.Idempotent && (r.StatusCode == http.StatusBadGateway || r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusGatewayTimeout) {
		return nil, &quetzalroad.AttemptError{Upstream: u, RetryReason: quetzalroad.RetryErrorStatus, Cause: errors.Newf("status %s", r.Status)}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(c.maxBytes)+1))
	if err != nil {
		return nil, c.fail(u, e, err)
	}
	if len(body) > c.maxBytes {
		return nil, &quetzalroad.AttemptError{Upstream: u, RetryReason: quetzalroad.RetryMalformedResponse, Cause: errors.Newf("answer of more than %d bytes", c.maxBytes)}
	}
	return &quetzalroad.ServiceResponse{Status: r.StatusCode, Header: EndToEnd(r.Header), Body: body}, nil
}

// FetchLoadReport implements quetzalroad.ServiceClient.
func (c *Connector) FetchLoadReport(ctx context.Context, u quetzalroad.Upstream) (quetzalroad.LoadReport, error) {
	return c.transport.AskLoad(ctx, c.recorder, u)
}
