package forwardclient

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/bufferer"
	"github.com/quetzalroad/quetzalroad/support/headerfilter"
	"github.com/quetzalroad/quetzalroad/upstreams/exitwatcher"
	"github.com/quetzalroad/quetzalroad/upstreams/httpclient"
)

// exchange is one request and its response. It implements quetzalroad.ForwardResponse.
type exchange struct {
	client  *Client
	attempt *quetzalroad.Attempt
	conn    *persistConn
	// stopAbort keeps the end of the context from closing the connection, and reports whether it was in time.
	stopAbort func() bool

	head     quetzalroad.ResponseHead
	response *http.Response
	metadata quetzalroad.ResponseMetadata
	events   *eventReader
	chunkBuf []byte
	// headBegun is set if the connection ended inside a head.
	headBegun bool
	// hasEvents is set once an event was returned.
	hasEvents bool
	// written is set once any byte of the request may have been written, and sent
	// once all of it was.
	written atomic.Bool
	sent    atomic.Bool
	// writeEnded is closed once a request that is written concurrently was written, or could not be; nil for others.
	writeEnded chan struct{}
	// exitWatch watches the upstream's process during an unframed response; nil for others.
	exitWatch *exitwatcher.Watch
	// complete is set once the response was read to its end.
	complete bool
	closed   bool
}

// maxMismatchedResponses is how many responses to other requests are discarded
// before the attempt fails and the connection is closed.
const maxMismatchedResponses = 2

// receive reads the response head. It discards responses to other requests, which
// may arrive late on a reused connection.
func (x *exchange) receive(ctx context.Context) error {
	for range maxMismatchedResponses + 1 {
		response, err := x.readHead()
		if err != nil {
			return x.attemptError(ctx, retryReason(err), err)
		}
		x.response = response
		x.metadata = x.client.codec.Decode(time.Now(), response.StatusCode, response.Header)
		switch {
		case !x.isOwnResponse():
		case x.metadata.Unsigned:
			return x.attemptError(ctx, quetzalroad.RetryMalformedResponse, errUnsigned)
		default:
			return x.accept()
		}
		if err := x.discardBody(); err != nil {
			return x.attemptError(ctx, retryReason(err), err)
		}
	}
	return x.attemptError(ctx, quetzalroad.RetryMismatchedResponse, errors.Newf("response belongs to request %q", x.metadata.CallerRequestID))
}

var errUnsigned = errors.New("success without the upstream's signature")

// isOwnResponse reports whether the response belongs to this request. One that names no request is
// accepted only on a new connection and only if it states that the request was not run: on a reused
// connection it may belong to an earlier request.
func (x *exchange) isOwnResponse() bool {
	if x.metadata.CallerRequestID == "" {
		return x.metadata.NotRun && !x.conn.reused
	}
	return x.metadata.CallerRequestID == x.attempt.Request.CallerRequestID
}

// readHead reads a response head and skips the informational responses before it.
func (x *exchange) readHead() (*http.Response, error) {
	x.conn.limiter.begin(x.client.maxHeadBytes)
	defer x.conn.limiter.end()
	request := &http.Request{Method: x.attempt.Request.Method}
	for {
		x.resetReadDeadline()
		x.conn.limiter.received = x.conn.reader.Buffered() > 0
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil && x.conn.limiter.lost != nil {
			// The parser takes the last line of a head that breaks off for a whole one, and may find it malformed.
			x.headBegun = x.conn.limiter.received
			return nil, errors.Wrap(x.conn.limiter.lost, "read the head of the response")
		}
		switch {
		case err != nil:
			return nil, err
		case !httpclient.IsStatus(response.StatusCode):
			return nil, errors.Wrapf(httpclient.ErrInvalidStatus, "status %q", response.Status)
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
}

func (x *exchange) resetReadDeadline() {
	if x.attempt.ReadTimeout > 0 {
		// On a closed connection this fails, and so does the read that follows.
		_ = x.conn.SetReadDeadline(time.Now().Add(x.attempt.ReadTimeout))
	}
}

// accept sets the head, or returns an AttemptError if the upstream states that it did not run the request.
func (x *exchange) accept() error {
	if x.metadata.NotRun {
		reason := quetzalroad.RetryNotRun
		if x.metadata.Misdirected {
			reason = quetzalroad.RetryInstanceReplaced
		}
		x.complete = x.discardBody() == nil
		return &quetzalroad.AttemptError{
			Upstream: x.attempt.Upstream.Name, NotRun: true, RetryReason: reason, LoadReport: x.metadata.LoadReport, RateLimit: x.metadata.RateLimit,
			Leaving: x.metadata.Leaving, RetryAfter: x.metadata.RetryAfter,
			Cause: errors.Newf("upstream responded with status %d and states that it did not run the request", x.response.StatusCode),
		}
	}
	x.head = quetzalroad.ResponseHead{
		Status: x.response.StatusCode, Header: headerfilter.EndToEnd(x.response.Header, "Content-Length"), ContentLength: x.response.ContentLength,
		EventStream: x.isEventStream(), LoadReport: x.metadata.LoadReport,
		RateLimit: x.metadata.RateLimit, Leaving: x.metadata.Leaving, RetryAfter: x.metadata.RetryAfter,
		ReusedConnection: x.conn.reused,
	}
	x.head.Unframed = x.isUnframed()
	if x.head.Unframed {
		x.exitWatch = x.client.exits.Watch(x.attempt.Upstream)
	}
	if x.head.EventStream {
		x.events = &eventReader{src: x.response.Body, codec: x.client.codec, strict: x.attempt.Request.Route.Streaming, reservation: bufferer.Reservation{Budget: x.client.bufferBudget}}
	}
	return nil
}

// discardBody reads the response to its end, within the bounds on what is discarded.
func (x *exchange) discardBody() error {
	if err := x.conn.SetReadDeadline(time.Now().Add(x.client.discardTimeout)); err != nil {
		return err
	}
	maxBytes := int64(x.client.maxDiscardedBytes)
	n, err := io.Copy(io.Discard, io.LimitReader(x.response.Body, maxBytes+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errDiscardTimeout
	case err != nil:
		return err
	case n > maxBytes:
		return errDiscardedBodyTooLong
	}
	return x.conn.SetReadDeadline(time.Time{})
}

// Head implements quetzalroad.ForwardResponse.
func (x *exchange) Head() quetzalroad.ResponseHead {
	return x.head
}

// bodyChunkBytes is the maximum chunk size of a response that is no event stream.
const bodyChunkBytes = 16 << 10

// Next implements quetzalroad.ForwardResponse.
func (x *exchange) Next() (quetzalroad.BodyChunk, error) {
	x.resetReadDeadline()
	if x.events != nil {
		event, err := x.nextEvent()
		return event, x.bodyError(err)
	}
	if x.chunkBuf == nil {
		x.chunkBuf = make([]byte, bodyChunkBytes)
	}
	n, err := x.response.Body.Read(x.chunkBuf)
	if n > 0 && err == nil {
		return quetzalroad.BodyChunk{Data: x.chunkBuf[:n]}, nil
	}
	if n > 0 && errors.Is(err, io.EOF) {
		x.complete = true
		// The next call reads EOF again and returns it.
		return quetzalroad.BodyChunk{Data: x.chunkBuf[:n]}, nil
	}
	return quetzalroad.BodyChunk{Data: x.chunkBuf[:n]}, x.bodyError(err)
}

// bodyError maps a body's read error to the errors specified for ForwardResponse.Next.
func (x *exchange) bodyError(err error) error {
	if errors.Is(err, io.EOF) {
		err = x.checkEnd()
		x.complete = err == nil
		if x.complete {
			return io.EOF
		}
	}
	if err == nil {
		return nil
	}
	return &quetzalroad.AttemptError{Upstream: x.attempt.Upstream.Name, RetryReason: retryReason(err), Cause: err}
}

// UpstreamOutlived implements quetzalroad.ForwardResponse.
func (x *exchange) UpstreamOutlived(ctx context.Context) bool {
	return x.exitWatch != nil && x.exitWatch.OutlivedResponse(ctx, x.conn.Conn)
}

// Close implements quetzalroad.ForwardResponse. It keeps the connection only if the
// request was sent and the response read completely, and no more data was received.
func (x *exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	if x.events != nil {
		x.events.release()
	}
	if x.exitWatch != nil {
		x.exitWatch.Stop()
	}
	pc := x.conn
	reusable := x.stopAbort() && x.complete && x.sent.Load() && !x.response.Close && pc.reader.Buffered() == 0
	if !reusable || pc.SetDeadline(time.Time{}) != nil {
		pc.abort()
		return
	}
	pc.keepAlive = x.metadata.KeepAlive
	c := x.client
	c.shard(x.attempt.Upstream.Name).put(x.attempt.Upstream.Name, pc, c.idleTimeout, c.maxIdlePerUpstream, c.maxIdlePerShard)
}

// attemptError returns the AttemptError for a failure before the response head.
func (x *exchange) attemptError(ctx context.Context, reason quetzalroad.RetryReason, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = errors.WithSecondaryError(cause, err)
	}
	unsent := !x.written.Load()
	return &quetzalroad.AttemptError{Upstream: x.attempt.Upstream.Name, NotRun: unsent, Unsent: unsent, ResponseBegun: x.headBegun, RetryReason: reason, Cause: err}
}

func retryReason(err error) quetzalroad.RetryReason {
	var netErr interface{ Timeout() bool }
	switch {
	case errors.Is(err, quetzalroad.ErrBuffersFull):
		return quetzalroad.RetryBuffersFull
	case errors.Is(err, os.ErrDeadlineExceeded):
		return quetzalroad.RetryReadTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return quetzalroad.RetryConnectionLost
	}
	return quetzalroad.RetryMalformedResponse
}
