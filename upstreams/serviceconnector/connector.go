// Package serviceconnector sends requests to plain services over HTTP/1.1.
// Each non-idempotent request uses a new connection.
package serviceconnector

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/bufferer"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/headerfilter"
	"github.com/quetzalroad/quetzalroad/upstreams/exitwatcher"
	"github.com/quetzalroad/quetzalroad/upstreams/httpclient"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotServiceClient, Name: "http", Default: true,
		New: func() kernel.Component { return new(Connector) },
	})
}

// Connector implements quetzalroad.ServiceClient.
type Connector struct {
	client httpclient.Client
	// untimedClient has no read timeout, as a non-idempotent request can't be
	// retried and may use its whole timeout.
	untimedClient    httpclient.Client
	exits            exitwatcher.Watcher
	maxResponseBytes int
	recorder         quetzalroad.Recorder
	bufferBudget     quetzalroad.BufferBudget
}

// Declare implements kernel.Component.
func (c *Connector) Declare(s *configloader.Section) {
	s.Duration("dial-timeout", &c.client.DialTimeout, time.Second, 10*time.Millisecond, time.Minute, "Timeout for connecting to a service.")
	s.Duration("silence", &c.client.ReadTimeout, 3*time.Second, 100*time.Millisecond, 10*time.Minute, "Longest time without receiving data before an idempotent request fails; others wait for their whole timeout.")
	s.Int("max-answer-bytes", &c.maxResponseBytes, 8<<20, 1<<10, 1<<30, "Maximum size of a service's response body.")
}

// Build implements kernel.Component.
func (c *Connector) Build(n *kernel.Node) error {
	c.client.Open()
	c.untimedClient.DialTimeout = c.client.DialTimeout
	c.untimedClient.Open()
	c.exits.Dial = c.dial
	c.recorder = n.Recorder
	c.bufferBudget = n.BufferBudget
	n.ServiceClient = c
	n.AddTask("close service connections", func(ctx context.Context) error {
		<-ctx.Done()
		c.client.Close()
		return nil
	})
	return nil
}

// dial opens a connection to a service to find out whether it runs.
func (c *Connector) dial(ctx context.Context, u quetzalroad.Upstream) (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.client.DialTimeout}
	return dialer.DialContext(ctx, "tcp", u.Address.String())
}

// ForwardableHeader returns a copy of h without its hop-by-hop fields and without
// the router's own fields, whose names start with Quetzalroad-.
func ForwardableHeader(h http.Header) http.Header {
	forwardable := headerfilter.EndToEnd(h)
	for name := range forwardable {
		if strings.HasPrefix(name, "Quetzalroad-") {
			delete(forwardable, name)
		}
	}
	return forwardable
}

// Call implements quetzalroad.ServiceClient.
func (c *Connector) Call(ctx context.Context, u quetzalroad.Upstream, serviceRequest *quetzalroad.ServiceRequest) (*quetzalroad.ServiceResponse, error) {
	request, err := newRequest(u, serviceRequest)
	if err != nil {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, NotRun: true, RetryReason: quetzalroad.RetryMalformedResponse, Cause: err}
	}
	client := &c.client
	if !serviceRequest.Idempotent {
		client = &c.untimedClient
	}
	exchange, err := client.Do(ctx, request, !serviceRequest.Idempotent)
	if err != nil {
		return nil, c.attemptError(u.Name, exchange, err)
	}
	defer exchange.Close()
	return c.readResponse(ctx, u, serviceRequest, exchange)
}

func newRequest(u quetzalroad.Upstream, serviceRequest *quetzalroad.ServiceRequest) (*http.Request, error) {
	target := "http://" + u.Address.String() + serviceRequest.Path
	if serviceRequest.Query != "" {
		target += "?" + serviceRequest.Query
	}
	request, err := httpclient.NewRequest(serviceRequest.Method, target, serviceRequest.Body)
	if err != nil {
		return nil, err
	}
	request.Header = ForwardableHeader(serviceRequest.Header)
	request.Header.Set(httpclient.RequestIDHeader, string(serviceRequest.ID))
	if request.Header.Get("User-Agent") == "" {
		request.Header["User-Agent"] = nil
	}
	return request, nil
}

func (c *Connector) attemptError(u quetzalroad.UpstreamName, e *httpclient.Exchange, err error) *quetzalroad.AttemptError {
	failure := httpclient.NewAttemptError(u, e, err)
	if failure.RetryReason == quetzalroad.RetryReadTimeout {
		c.client.CloseIdleConnections()
	}
	return failure
}

func (c *Connector) readResponse(ctx context.Context, u quetzalroad.Upstream, serviceRequest *quetzalroad.ServiceRequest, e *httpclient.Exchange) (*quetzalroad.ServiceResponse, error) {
	response := e.Response
	if e.ReportsNotRun() {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, NotRun: true, RetryReason: quetzalroad.RetryNotRun, Cause: errors.Newf("status %s", response.Status)}
	}
	if serviceRequest.Idempotent && (response.StatusCode == http.StatusBadGateway || response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusGatewayTimeout) {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryErrorStatus, Cause: errors.Newf("status %s", response.Status)}
	}
	reservation := &bufferer.Reservation{Budget: c.bufferBudget}
	body, err := c.readBody(ctx, u, e, reservation)
	if err != nil {
		reservation.Release()
		return nil, c.bodyError(u.Name, e, err)
	}
	return &quetzalroad.ServiceResponse{Status: response.StatusCode, Header: ForwardableHeader(response.Header), Body: body, Release: reservation.Release}, nil
}

// readBody reads a body. The end of an unframed one is unexpected unless the service ran on after it.
func (c *Connector) readBody(ctx context.Context, u quetzalroad.Upstream, e *httpclient.Exchange, reservation *bufferer.Reservation) ([]byte, error) {
	if !e.IsUnframed() {
		return reservation.ReadAll(e.Response.Body, c.maxResponseBytes)
	}
	watch := c.exits.Watch(u)
	defer watch.Stop()
	body, err := reservation.ReadAll(e.Response.Body, c.maxResponseBytes)
	if err == nil && !watch.OutlivedResponse(ctx, nil) {
		err = errors.Wrap(io.ErrUnexpectedEOF, "the unframed response ended, and the service is not known to have run on")
	}
	return body, err
}

func (c *Connector) bodyError(u quetzalroad.UpstreamName, e *httpclient.Exchange, err error) *quetzalroad.AttemptError {
	switch {
	case errors.Is(err, quetzalroad.ErrBuffersFull):
		return &quetzalroad.AttemptError{Upstream: u, RetryReason: quetzalroad.RetryBuffersFull, Cause: err}
	case errors.Is(err, bufferer.ErrTooLong):
		return &quetzalroad.AttemptError{Upstream: u, RetryReason: quetzalroad.RetryMalformedResponse, Cause: errors.Wrapf(err, "response body of more than %d bytes", c.maxResponseBytes)}
	}
	return c.attemptError(u, e, err)
}

// FetchLoadReport implements quetzalroad.ServiceClient.
func (c *Connector) FetchLoadReport(ctx context.Context, u quetzalroad.Upstream) (quetzalroad.LoadReport, error) {
	return c.client.FetchLoadReport(ctx, c.recorder, u)
}
