package forwardclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/headerfilter"
)

// exchange is one request and its answer. It implements
// quetzalroad.ForwardResponse.
type exchange struct {
	relayer   *Relayer
	attempt   *quetzalroad.Attempt
	conn      *conn
	stopWatch func() bool

	head     quetzalroad.ResponseHead
	response *http.Response
	word     quetzalroad.ResponseMetadata
	events   *eventReader
	piece    []byte
	// written tells that a byte of the request may have been written, and sent
	// that all of it was.
	written atomic.Bool
	sent    atomic.Bool
	// whole tells that the answer was read to its end.
	whole  bool
	closed bool
}

// inlineBytes is the size up to which a request is written in one go. A longer
// one is written beside the reading, as its answer may come before its end.
const inlineBytes = 8 << 10

// send writes the request. The time left and the permission are looked at when
// the connection stands, as its making may have taken a while.
func (x *exchange) send(ctx context.Context) error {
	a := x.attempt
	if deadline, ok := ctx.Deadline(); ok {
		a.Timeout = time.Until(deadline)
	}
	if a.BeforeSend != nil {
		if err := a.BeforeSend(); err != nil {
			return x.fail(ctx, quetzalroad.RetryNotRun, err)
		}
	}
	data := x.encode()
	if len(data) > inlineBytes {
		x.written.Store(true)
		go x.writeRest(data)
		return nil
	}
	n, err := x.conn.Write(data)
	x.written.Store(n > 0)
	if err != nil {
		return x.fail(ctx, quetzalroad.RetryConnectionLost, err)
	}
	x.sent.Store(true)
	return nil
}

func (x *exchange) writeRest(data []byte) {
	if _, err := x.conn.Write(data); err == nil {
		x.sent.Store(true)
	}
	// The reader meets the failure of a connection too, and tells it.
}

// encode gives the request as it goes over the wire.
func (x *exchange) encode() []byte {
	f := x.attempt.Request
	header := f.Header.Clone()
	x.relayer.codec.Encode(header, x.attempt)
	var b bytes.Buffer
	b.Grow(len(f.Body) + 1024)
	b.WriteString(f.Method + " " + f.RequestTarget + " HTTP/1.1\r\nHost: " + f.Host + "\r\n")
	if len(f.Body) > 0 || (f.Method != http.MethodGet && f.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(f.Body)) + "\r\n")
	}
	// A buffer takes all that is written to it.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	b.Write(f.Body)
	return b.Bytes()
}

// maxForeign is how many answers to other requests are passed over before the
// connection is given up.
const maxForeign = 2

// receive reads the head of the answer. Answers to other requests, which may
// come late on a kept connection, are passed over.
func (x *exchange) receive(ctx context.Context) error {
	for range maxForeign + 1 {
		response, err := x.readHead()
		if err != nil {
			return x.fail(ctx, kindOf(err), err)
		}
		x.response = response
		x.word = x.relayer.codec.Decode(time.Now(), response.StatusCode, response.Header)
		if x.word.CallerRequestID == x.attempt.Request.CallerRequestID || (x.word.CallerRequestID == "" && x.word.NotRun) {
			return x.accept()
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxPassedOver)); err != nil {
			return x.fail(ctx, kindOf(err), err)
		}
	}
	return x.fail(ctx, quetzalroad.RetryMismatchedResponse, errors.Newf("the answer belongs to request %q", x.word.CallerRequestID))
}

// maxPassedOver bounds the body of an answer that is passed over.
const maxPassedOver = 1 << 20

func (x *exchange) readHead() (*http.Response, error) {
	request := &http.Request{Method: x.attempt.Request.Method}
	for {
		x.watchSilence()
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

func (x *exchange) watchSilence() {
	if x.attempt.ReadTimeout > 0 {
		// A connection that is closed fails the read that follows.
		_ = x.conn.SetReadDeadline(time.Now().Add(x.attempt.ReadTimeout))
	}
}

// accept takes the head of the answer that belongs to the request.
func (x *exchange) accept() error {
	if x.word.NotRun {
		kind := quetzalroad.RetryNotRun
		if x.word.Misdirected {
			kind = quetzalroad.RetryInstanceReplaced
		}
		x.finishRefused()
		return &quetzalroad.AttemptError{
			Upstream: x.attempt.Upstream.Name, NotRun: true, RetryReason: kind, LoadReport: x.word.LoadReport,
			Cause: errors.Newf("the upstream answered %d and states that it did not run the request", x.response.StatusCode),
		}
	}
	kind, _, _ := strings.Cut(x.response.Header.Get("Content-Type"), ";")
	x.head = quetzalroad.ResponseHead{
		Status: x.response.StatusCode, Header: headerfilter.EndToEnd(x.response.Header, "Content-Length"), ContentLength: x.response.ContentLength,
		EventStream: strings.EqualFold(strings.TrimSpace(kind), "text/event-stream"), LoadReport: x.word.LoadReport,
	}
	if x.head.EventStream {
		x.events = &eventReader{source: x.response.Body, codec: x.relayer.codec}
	}
	return nil
}

// finishRefused reads the rest of a refusal, so that the connection can be used
// again.
func (x *exchange) finishRefused() {
	n, err := io.Copy(io.Discard, io.LimitReader(x.response.Body, maxPassedOver))
	x.whole = err == nil && n < maxPassedOver
}

// Head implements quetzalroad.ForwardResponse.
func (x *exchange) Head() quetzalroad.ResponseHead {
	return x.head
}

// pieceBytes is the size of the pieces of an answer that is no stream.
const pieceBytes = 16 << 10

// Next implements quetzalroad.ForwardResponse.
func (x *exchange) Next() (quetzalroad.BodyChunk, error) {
	x.watchSilence()
	if x.events != nil {
		piece, err := x.events.next()
		return piece, x.end(err)
	}
	if x.piece == nil {
		x.piece = make([]byte, pieceBytes)
	}
	n, err := x.response.Body.Read(x.piece)
	if n > 0 && err == nil {
		return quetzalroad.BodyChunk{Data: x.piece[:n]}, nil
	}
	if n > 0 && errors.Is(err, io.EOF) {
		x.whole = true
		// The end is met again at the next call.
		return quetzalroad.BodyChunk{Data: x.piece[:n]}, nil
	}
	return quetzalroad.BodyChunk{Data: x.piece[:n]}, x.end(err)
}

// end turns the end of a body into what the interface says.
func (x *exchange) end(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		x.whole = true
		return io.EOF
	}
	return &quetzalroad.AttemptError{Upstream: x.attempt.Upstream.Name, RetryReason: kindOf(err), Cause: err}
}

// Close implements quetzalroad.ForwardResponse. The connection is kept only where
// nothing about it is in doubt.
func (x *exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	c := x.conn
	keep := x.stopWatch() && x.whole && x.sent.Load() && !x.response.Close && c.reader.Buffered() == 0
	if !keep || c.SetDeadline(time.Time{}) != nil {
		c.abort()
		return
	}
	c.keep = x.word.KeepAlive
	r := x.relayer
	r.shard(x.attempt.Upstream.Name).put(x.attempt.Upstream.Name, c, r.idle, r.maxIdle)
}

// fail gives a failure before the head of an answer.
func (x *exchange) fail(ctx context.Context, kind quetzalroad.RetryReason, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = errors.WithSecondaryError(cause, err)
	}
	unsent := !x.written.Load()
	return &quetzalroad.AttemptError{Upstream: x.attempt.Upstream.Name, NotRun: unsent, Unsent: unsent, RetryReason: kind, Cause: err}
}

func kindOf(err error) quetzalroad.RetryReason {
	var malformed interface{ Timeout() bool }
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return quetzalroad.RetryReadTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &malformed):
		return quetzalroad.RetryConnectionLost
	}
	return quetzalroad.RetryMalformedResponse
}
