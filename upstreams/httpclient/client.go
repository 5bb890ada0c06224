// Package httpclient sends HTTP/1.1 requests to upstreams and reports whether a
// failed request may have been written and whether it hit the read timeout.
//
// A client has two transports. The pooled one reuses connections and is for
// idempotent requests only. The unpooled one opens a connection for each
// request, as an idle connection may be dead without notice, and as net/http
// resends a request by itself when a reused connection turns out to be closed.
package httpclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// idleConnTimeout is how long an idle connection stays open.
	idleConnTimeout = 30 * time.Second
	// maxIdleConnsPerHost limits the idle connections to one upstream.
	maxIdleConnsPerHost = 256
)

// MaxResponseHeadBytes limits the size of a response head. The default of net/http allows a few
// servers in trouble to use up the memory of a small VM.
const MaxResponseHeadBytes = 16 << 10

// ErrReadTimeout is the cause of a failure after no data arrived for Client.ReadTimeout.
var ErrReadTimeout = errors.New("no data received within the read timeout")

// Client sends requests. Its exported fields must be set before Open.
type Client struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// ReadTimeout limits the time until the head arrives and between two chunks of the body; zero means no limit.
	ReadTimeout time.Duration

	pooled   *http.Transport
	unpooled *http.Transport
}

// Open creates the transports.
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
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, Protocols: protocols, MaxResponseHeaderBytes: MaxResponseHeadBytes}
}

// CloseIdleConnections closes the pooled idle connections. Callers use it after a
// failure such as a read timeout, as the idle connections may be dead too.
func (c *Client) CloseIdleConnections() {
	c.pooled.CloseIdleConnections()
}

// Close closes the idle connections of both transports.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// NewRequest returns a request that net/http can't resend by itself: without
// GetBody, its body can't be rewound once any of it was read.
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

// RequestIDHeader names a request. An upstream that repeats it in its response shows which request it
// responds to. Some set an id of their own instead, so that another id shows nothing.
const RequestIDHeader = "X-Request-Id"

// Exchange is one request and its response.
type Exchange struct {
	// Response is nil until the response head has arrived.
	Response    *http.Response
	cancel      context.CancelCauseFunc
	readTimeout time.Duration
	readTimer   *time.Timer
	// written is set once any byte of the request may have been written.
	written atomic.Bool
	// reused is set if the connection had carried another request before.
	reused atomic.Bool
	// requestID is the request's RequestIDHeader.
	requestID string
	// sent is closed once the whole request was written.
	sent     chan struct{}
	sentOnce sync.Once
}

// Do sends a request on a new connection if unpooled is set, else on a pooled
// one. The exchange is never nil; the caller must close it if err is nil.
func (c *Client) Do(ctx context.Context, request *http.Request, unpooled bool) (*Exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	e := &Exchange{cancel: cancel, readTimeout: c.ReadTimeout, requestID: request.Header.Get(RequestIDHeader), sent: make(chan struct{})}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			e.written.Store(true)
			e.reused.Store(info.Reused)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				e.sentOnce.Do(func() { close(e.sent) })
			}
		},
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
	if !IsStatus(response.StatusCode) {
		// The body is not read: the connection is of no further use.
		_ = response.Body.Close()
		e.Close()
		return e, errors.Wrapf(ErrInvalidStatus, "status %q", response.Status)
	}
	e.Response = response
	response.Body = &timedBody{ReadCloser: response.Body, exchange: e, ctx: ctx}
	e.resetReadTimer()
	return e, nil
}

// Unsent reports whether it is certain that no byte of the request was written.
func (e *Exchange) Unsent() bool {
	return !e.written.Load()
}

// Close ends the exchange. It closes the connection of an incomplete response,
// which makes the upstream cancel the request.
func (e *Exchange) Close() {
	if e.readTimer != nil {
		e.readTimer.Stop()
	}
	if e.Response != nil {
		// The response is no longer needed, so an error here changes nothing.
		_ = e.Response.Body.Close()
	}
	e.cancel(context.Canceled)
}

func (e *Exchange) resetReadTimer() {
	if e.readTimer != nil {
		e.readTimer.Reset(e.readTimeout)
	}
}

// withContextCause returns the cause of the context's cancellation with err
// attached, or err itself if the context is still active.
func (e *Exchange) withContextCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && ctx.Err() != nil {
		return errors.WithSecondaryError(cause, err)
	}
	return err
}

// maxSendDelay bounds how much later than the end of the response it may be known that the request was sent.
const maxSendDelay = time.Second

// isSent reports whether the whole request was written, also if that becomes known only now.
func (e *Exchange) isSent() bool {
	timer := time.NewTimer(maxSendDelay)
	defer timer.Stop()
	select {
	case <-e.sent:
		return true
	case <-timer.C:
		return false
	}
}

// IsUnframed reports whether nothing but the end of the connection ends the body. A response to HEAD has none.
func (e *Exchange) IsUnframed() bool {
	return e.Response.Request.Method != http.MethodHead && e.Response.ContentLength < 0 && len(e.Response.TransferEncoding) == 0
}

// timedBody is a response body that resets the read timer whenever data arrives. The end of an unframed one is
// unexpected if the request was not sent: a reset of the connection is reported once, and if the write of the
// request has seen it, the read finds an ordinary end.
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
	if errors.Is(err, io.EOF) && b.exchange.IsUnframed() && !b.exchange.isSent() {
		err = io.ErrUnexpectedEOF
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.exchange.withContextCause(b.ctx, err)
	}
	return n, err
}

// NewAttemptError returns err, a failure of e, with the reason for a retry and
// whether the upstream can't have run the request.
func NewAttemptError(u quetzalroad.UpstreamName, e *Exchange, err error) *quetzalroad.AttemptError {
	failure := &quetzalroad.AttemptError{Upstream: u, NotRun: e.Unsent(), RetryReason: quetzalroad.RetryConnectionLost, Cause: err}
	switch {
	case errors.Is(err, ErrReadTimeout):
		failure.RetryReason = quetzalroad.RetryReadTimeout
	case errors.Is(err, ErrInvalidStatus):
		failure.RetryReason = quetzalroad.RetryMalformedResponse
	case failure.NotRun:
		failure.RetryReason = quetzalroad.RetryDialFailed
	}
	return failure
}

// OutcomeHeader is the header field in which an upstream or this router states
// the outcome of a request.
const OutcomeHeader = "Quetzalroad-Outcome"

// ReportsNotRun reports whether the upstream refused the request with status 429 or 503 and stated that it
// did not run it.
func (e *Exchange) ReportsNotRun() bool {
	r := e.Response
	refused := r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests
	return refused && hasOnly(r.Header, OutcomeHeader, string(quetzalroad.OutcomeNotRun)) && e.IsOwnResponse()
}

// IsOwnResponse reports whether the response is certainly that to the request: it names the request, or is
// the first one on its connection.
func (e *Exchange) IsOwnResponse() bool {
	return !e.reused.Load() || hasOnly(e.Response.Header, RequestIDHeader, e.requestID)
}

// hasOnly reports whether each line of a field has a value.
func hasOnly(h http.Header, name, value string) bool {
	lines := h.Values(name)
	return len(lines) > 0 && !slices.ContainsFunc(lines, func(line string) bool { return line != value })
}
