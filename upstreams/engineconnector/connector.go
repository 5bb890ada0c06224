// Package engineconnector speaks the chat API to model engines.
//
// An answer is always asked for as a stream. The request's tier goes along in
// the Priority field, closing the connection cancels, and an answer is resumed
// with its text so far as the last message. An engine's load is read from
// GET /v1/load.
package engineconnector

import (
	"context"
	"io"
	"iter"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/chatmapper"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/upstreams/transporter"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotChatClient, Name: "chat-api", Default: true,
		New: func() kernel.Component { return new(Connector) },
	})
}

const (
	// maxEventBytes bounds one step of an answer.
	maxEventBytes = 1 << 20
	// maxErrorBytes bounds what is read of an answer that is an error.
	maxErrorBytes = 64 << 10
	// doneData is the data of the last event of a whole answer.
	doneData = "[DONE]"
)

// Connector is the part that speaks to engines.
type Connector struct {
	transport transporter.Transporter
	recorder  quetzalroad.Recorder
}

// Declare implements kernel.Component.
func (c *Connector) Declare(s *configloader.Section) {
	s.Duration("dial-timeout", &c.transport.DialTimeout, time.Second, 10*time.Millisecond, time.Minute, "How long a connection to an engine may take.")
	s.Duration("silence", &c.transport.Silence, 3*time.Second, 100*time.Millisecond, 10*time.Minute, "Time without a byte after which a connection is given up.")
}

// Build implements kernel.Component.
func (c *Connector) Build(n *kernel.Node) error {
	c.transport.Open()
	c.recorder = n.Recorder
	n.ChatClient = c
	n.AddTask("close engine connections", func(ctx context.Context) error {
		<-ctx.Done()
		c.transport.Close()
		return nil
	})
	return nil
}

// Start implements quetzalroad.ChatClient.
func (c *Connector) Start(ctx context.Context, u quetzalroad.Upstream, chat *quetzalroad.ChatRequest, from *quetzalroad.ResumePoint) (quetzalroad.ChatStream, error) {
	request, err := newRequest(u, chat, from)
	if err != nil {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, NotRun: true, RetryReason: quetzalroad.RetryMalformedResponse, Cause: err}
	}
	exchange, err := c.transport.Do(ctx, request, !chat.Idempotent)
	if err != nil {
		return nil, c.fail(u.Name, exchange, err)
	}
	if exchange.Response.StatusCode != http.StatusOK {
		defer exchange.Close()
		return nil, refused(u.Name, exchange.Response)
	}
	return newStream(c, u.Name, exchange), nil
}

func newRequest(u quetzalroad.Upstream, chat *quetzalroad.ChatRequest, from *quetzalroad.ResumePoint) (*http.Request, error) {
	data, err := chatmapper.EncodeUpstreamRequest(chat.Body, chat.MaxTokens, from)
	if err != nil {
		return nil, err
	}
	request, err := transporter.NewRequest(http.MethodPost, "http://"+u.Address.String()+"/v1/chat/completions", data)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set("Priority", strconv.Itoa(int(chat.Profile.Tier)))
	request.Header.Set("X-Request-Id", string(chat.ID))
	if d := chat.Deadline(); !d.IsZero() {
		request.Header.Set("Quetzalroad-Deadline", d.UTC().Format(time.RFC3339Nano))
	}
	return request, nil
}

func (c *Connector) fail(u quetzalroad.UpstreamName, e *transporter.Exchange, err error) *quetzalroad.AttemptError {
	failure := transporter.Fail(u, e, err)
	if failure.RetryReason == quetzalroad.RetryReadTimeout {
		c.transport.DropIdle()
	}
	return failure
}

// refused tells an engine's refusals apart.
func refused(u quetzalroad.UpstreamName, r *http.Response) *quetzalroad.AttemptError {
	// A body that can't be read whole explains less, and that is all.
	explanation, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	failure := &quetzalroad.AttemptError{Upstream: u, RetryReason: quetzalroad.RetryErrorStatus, Cause: errors.Newf("status %s", r.Status)}
	switch {
	case transporter.SaysNotRun(r):
		failure.NotRun = true
		failure.RetryReason = quetzalroad.RetryNotRun
	case r.StatusCode >= 400 && r.StatusCode < 500 && r.StatusCode != http.StatusTooManyRequests && r.StatusCode != http.StatusRequestTimeout:
		failure.NotRun = true
		failure.Cause = &quetzalroad.RejectedError{Status: r.StatusCode, Body: explanation}
	}
	return failure
}

// stream is a running answer.
type stream struct {
	connector *Connector
	upstream  quetzalroad.UpstreamName
	exchange  *transporter.Exchange
	next      func() (sse.Event, error, bool)
	stop      func()
}

func newStream(c *Connector, u quetzalroad.UpstreamName, e *transporter.Exchange) *stream {
	s := &stream{connector: c, upstream: u, exchange: e}
	s.next, s.stop = iter.Pull2(sse.Read(e.Response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return s
}

// Next implements quetzalroad.ChatStream.
func (s *stream) Next() (quetzalroad.ChatEvent, error) {
	event, err, ok := s.next()
	if !ok {
		return quetzalroad.ChatEvent{}, s.fail(io.ErrUnexpectedEOF)
	}
	if err != nil {
		return quetzalroad.ChatEvent{}, s.fail(err)
	}
	if event.Data == doneData {
		return quetzalroad.ChatEvent{}, io.EOF
	}
	step, err := chatmapper.DecodeChunk([]byte(event.Data))
	if err != nil {
		return quetzalroad.ChatEvent{}, &quetzalroad.AttemptError{Upstream: s.upstream, RetryReason: quetzalroad.RetryMalformedResponse, Cause: err}
	}
	return step, nil
}

func (s *stream) fail(err error) error {
	return s.connector.fail(s.upstream, s.exchange, err)
}

// Close implements quetzalroad.ChatStream.
func (s *stream) Close() error {
	s.exchange.Close()
	s.stop()
	return nil
}

// FetchLoadReport implements quetzalroad.ChatClient.
func (c *Connector) FetchLoadReport(ctx context.Context, u quetzalroad.Upstream) (quetzalroad.LoadReport, error) {
	return c.transport.AskLoad(ctx, c.recorder, u)
}
