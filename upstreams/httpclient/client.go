// Package httpclient sends HTTP/1.1 requests to upstreams and tells what
// became of them: whether any byte was written, and whether the connection
// went silent.
//
// Two transports are kept apart. The pooled one keeps connections and is for
// idempotent work only. The fresh one makes a connection for each request, as
// an old one may be dead without telling, and as net/http sends a request
// again by itself when a kept connection turns out closed.
package httpclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// idleConnTimeout is how long an unused connection is kept.
	idleConnTimeout = 30 * time.Second
	// maxIdleConnsPerHost bounds the unused connections kept to an upstream.
	maxIdleConnsPerHost = 256
)

// ErrReadTimeout marks the failure of a connection on which nothing came for too
// long.
var ErrReadTimeout = errors.New("connection silent for too long")

// Client sends requests. Its fields are set before its first use.
type Client struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// ReadTimeout bounds the time between two bytes of an answer; zero for none.
	ReadTimeout time.Duration

	pooled   *http.Transport
	unpooled *http.Transport
}

// Open makes the transports.
func (c *Client) Open() {
	c.pooled = c.newTransport()
	c.pooled.MaxIdleConnsPerHost = maxIdleConnsPerHost
	c.pooled.IdleConnTimeout = idleConnTimeout
	c.unpooled = c.newTransport()
	c.unpooled.DisableKeepAlives = true
}

func (c *Client) newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: c.DialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, Protocols: protocols}
}

// CloseIdleConnections closes the kept connections, as others like one that went silent
// may be dead too.
func (c *Client) CloseIdleConnections() {
	c.pooled.CloseIdleConnections()
}

// Close closes all unused connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// NewRequest makes a request that net/http can't send again by itself: its body
// can't be rewound once any of it was read.
func NewRequest(method, url string, body []byte) (*http.Request, error) {
	if len(body) == 0 {
		return http.NewRequest(method, url, http.NoBody)
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	return request, nil
}

// Exchange is one request under way.
type Exchange struct {
	// Response is set once the answer's head came.
	Response    *http.Response
	cancel      context.CancelCauseFunc
	readTimeout time.Duration
	readTimer   *time.Timer
	// written tells that a byte of the request may have been written.
	written atomic.Bool
}

// Do sends a request on a fresh or a kept connection. The exchange is never
// nil; after success it must be closed.
func (c *Client) Do(ctx context.Context, request *http.Request, unpooled bool) (*Exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	e := &Exchange{cancel: cancel, readTimeout: c.ReadTimeout}
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { e.written.Store(true) },
	}
	if c.ReadTimeout > 0 {
		e.readTimer = time.AfterFunc(c.ReadTimeout, func() { cancel(ErrReadTimeout) })
	}
	transport := c.pooled
	if unpooled {
		transport = c.unpooled
	}
	response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		err = e.withContextCause(ctx, err)
		e.Close()
		return e, err
	}
	e.Response = response
	response.Body = &timedBody{ReadCloser: response.Body, exchange: e, ctx: ctx}
	e.resetReadTimer()
	return e, nil
}

// Unsent tells that no byte of the request was written.
func (e *Exchange) Unsent() bool {
	return !e.written.Load()
}

// Close ends the exchange. An unfinished answer is cut, which cancels the work
// on the upstream.
func (e *Exchange) Close() {
	if e.readTimer != nil {
		e.readTimer.Stop()
	}
	if e.Response != nil {
		// What is lost by closing was not wanted any more.
		_ = e.Response.Body.Close()
	}
	e.cancel(context.Canceled)
}

func (e *Exchange) resetReadTimer() {
	if e.readTimer != nil {
		e.readTimer.Reset(e.readTimeout)
	}
}

// withContextCause gives the reason for which the exchange's context ended, if it did.
func (e *Exchange) withContextCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && ctx.Err() != nil {
		return errors.WithSecondaryError(cause, err)
	}
	return err
}

// timedBody is an answer's body that tells its exchange of each byte.
type timedBody struct {
	io.ReadCloser
	exchange *Exchange
	ctx      context.Context
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.exchange.resetReadTimer()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.exchange.withContextCause(b.ctx, err)
	}
	return n, err
}

// NewAttemptError gives the failure of an attempt as the dispatcher has to know it.
func NewAttemptError(u quetzalroad.UpstreamName, e *Exchange, err error) *quetzalroad.AttemptError {
	failure := &quetzalroad.AttemptError{Upstream: u, NotRun: e.Unsent(), RetryReason: quetzalroad.RetryConnectionLost, Cause: err}
	switch {
	case errors.Is(err, ErrReadTimeout):
		failure.RetryReason = quetzalroad.RetryReadTimeout
	case failure.NotRun:
		failure.RetryReason = quetzalroad.RetryDialFailed
	}
	return failure
}

// OutcomeHeader is the header field by which an upstream, or this router, says
// what became of a request.
const OutcomeHeader = "Quetzalroad-Outcome"

// ReportsNotRun tells that an upstream refused a request and says that it did
// not run it.
func ReportsNotRun(r *http.Response) bool {
	refused := r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests
	return refused && r.Header.Get(OutcomeHeader) == string(quetzalroad.OutcomeNotRun)
}
