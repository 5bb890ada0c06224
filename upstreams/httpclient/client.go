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
	// idleLifetime is how long an unused connection is kept.
	idleLifetime = 30 * time.Second
	// idlePerHost bounds the unused connections kept to an upstream.
	idlePerHost = 256
)

// ErrSilent marks the failure of a connection on which nothing came for too
// long.
var ErrSilent = errors.New("connection silent for too long")

// Transporter sends requests. Its fields are set before its first use.
type Transporter struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// Silence bounds the time between two bytes of an answer; zero for none.
	Silence time.Duration

	pooled *http.Transport
	fresh  *http.Transport
}

// Open makes the transports.
func (t *Transporter) Open() {
	t.pooled = t.transport()
	t.pooled.MaxIdleConnsPerHost = idlePerHost
	t.pooled.IdleConnTimeout = idleLifetime
	t.fresh = t.transport()
	t.fresh.DisableKeepAlives = true
}

func (t *Transporter) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: t.DialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, Protocols: protocols}
}

// DropIdle closes the kept connections, as others like one that went silent
// may be dead too.
func (t *Transporter) DropIdle() {
	t.pooled.CloseIdleConnections()
}

// Close closes all unused connections.
func (t *Transporter) Close() {
	t.pooled.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
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
	Response *http.Response
	cancel   context.CancelCauseFunc
	silence  time.Duration
	watch    *time.Timer
	// written tells that a byte of the request may have been written.
	written atomic.Bool
}

// Do sends a request on a fresh or a kept connection. The exchange is never
// nil; after success it must be closed.
func (t *Transporter) Do(ctx context.Context, request *http.Request, fresh bool) (*Exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	e := &Exchange{cancel: cancel, silence: t.Silence}
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { e.written.Store(true) },
	}
	if t.Silence > 0 {
		e.watch = time.AfterFunc(t.Silence, func() { cancel(ErrSilent) })
	}
	transport := t.pooled
	if fresh {
		transport = t.fresh
	}
	response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		err = e.cause(ctx, err)
		e.Close()
		return e, err
	}
	e.Response = response
	response.Body = &body{ReadCloser: response.Body, exchange: e, ctx: ctx}
	e.heard()
	return e, nil
}

// NotRun tells that no byte of the request was written.
func (e *Exchange) NotRun() bool {
	return !e.written.Load()
}

// Close ends the exchange. An unfinished answer is cut, which cancels the work
// on the upstream.
func (e *Exchange) Close() {
	if e.watch != nil {
		e.watch.Stop()
	}
	if e.Response != nil {
		// What is lost by closing was not wanted any more.
		_ = e.Response.Body.Close()
	}
	e.cancel(context.Canceled)
}

func (e *Exchange) heard() {
	if e.watch != nil {
		e.watch.Reset(e.silence)
	}
}

// cause gives the reason for which the exchange's context ended, if it did.
func (e *Exchange) cause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && ctx.Err() != nil {
		return errors.WithSecondaryError(cause, err)
	}
	return err
}

// body is an answer's body that tells its exchange of each byte.
type body struct {
	io.ReadCloser
	exchange *Exchange
	ctx      context.Context
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.exchange.heard()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.exchange.cause(b.ctx, err)
	}
	return n, err
}

// Fail gives the failure of an attempt as the dispatcher has to know it.
func Fail(u quetzalroad.UpstreamName, e *Exchange, err error) *quetzalroad.AttemptError {
	failure := &quetzalroad.AttemptError{Upstream: u, NotRun: e.NotRun(), RetryReason: quetzalroad.RetryConnectionLost, Cause: err}
	switch {
	case errors.Is(err, ErrSilent):
		failure.RetryReason = quetzalroad.RetryReadTimeout
	case failure.NotRun:
		failure.RetryReason = quetzalroad.RetryDialFailed
	}
	return failure
}

// OutcomeField is the header field by which an upstream, or this router, says
// what became of a request.
const OutcomeField = "Quetzalroad-Outcome"

// SaysNotRun tells that an upstream refused a request and says that it did
// not run it.
func SaysNotRun(r *http.Response) bool {
	refused := r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests
	return refused && r.Header.Get(OutcomeField) == string(quetzalroad.OutcomeNotRun)
}
