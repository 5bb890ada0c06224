// Package engineconnector is a client of the chat API of model engines.
//
// It always requests a streamed completion, sends the request's tier in the
// Priority header field, cancels by closing the connection, and resumes a
// completion by sending the text generated so far as the last message. It
// fetches an engine's load report with GET /v1/load.
package engineconnector

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/chatmapper"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/bufferer"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/upstreams/httpclient"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotChatClient, Name: "chat-api", Default: true,
		New: func() kernel.Component { return new(Connector) },
	})
}

const (
	// eventCopies is how often an event is in memory while it is decoded.
	eventCopies = 4
	// maxErrorBytes limits how much is read of an error response's body.
	maxErrorBytes = 16 << 10
	// doneData is the data of the event that ends a completion.
	doneData = "[DONE]"
)

// Connector implements quetzalroad.ChatClient.
type Connector struct {
	client       httpclient.Client
	recorder     quetzalroad.Recorder
	bufferBudget quetzalroad.BufferBudget
}

// Declare implements kernel.Component.
func (c *Connector) Declare(s *configloader.Section) {
	s.Duration("dial-timeout", &c.client.DialTimeout, time.Second, 10*time.Millisecond, time.Minute, "Timeout for connecting to an engine.")
	s.Duration("silence", &c.client.ReadTimeout, 3*time.Second, 100*time.Millisecond, 10*time.Minute, "Longest time without receiving data before a request fails.")
}

// Build implements kernel.Component.
func (c *Connector) Build(n *kernel.Node) error {
	c.client.Open()
	c.recorder = n.Recorder
	c.bufferBudget = n.BufferBudget
	n.ChatClient = c
	n.AddTask("close engine connections", func(ctx context.Context) error {
		<-ctx.Done()
		c.client.Close()
		return nil
	})
	return nil
}

// Start implements quetzalroad.ChatClient.
func (c *Connector) Start(ctx context.Context, u quetzalroad.Upstream, chat *quetzalroad.ChatRequest, resume *quetzalroad.ResumePoint) (quetzalroad.ChatStream, error) {
	request, err := newRequest(u, chat, resume)
	if err != nil {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, NotRun: true, RetryReason: quetzalroad.RetryMalformedResponse, Cause: err}
	}
	exchange, err := c.client.Do(ctx, request, !chat.Idempotent)
	if err != nil {
		return nil, c.attemptError(u.Name, exchange, err)
	}
	if exchange.Response.StatusCode != http.StatusOK {
		defer exchange.Close()
		return nil, statusError(u.Name, exchange)
	}
	return newStream(c, u.Name, chat, exchange), nil
}

func newRequest(u quetzalroad.Upstream, chat *quetzalroad.ChatRequest, resume *quetzalroad.ResumePoint) (*http.Request, error) {
	data, err := chatmapper.EncodeUpstreamRequest(chat.Body, chat.MaxTokens, resume)
	if err != nil {
		return nil, err
	}
	request, err := httpclient.NewRequest(http.MethodPost, "http://"+u.Address.String()+"/v1/chat/completions", data)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set("Priority", strconv.Itoa(int(chat.Profile.Tier)))
	request.Header.Set(httpclient.RequestIDHeader, string(chat.ID))
	if d := chat.Deadline(); !d.IsZero() {
		request.Header.Set("Quetzalroad-Deadline", d.UTC().Format(time.RFC3339Nano))
	}
	return request, nil
}

func (c *Connector) attemptError(u quetzalroad.UpstreamName, e *httpclient.Exchange, err error) *quetzalroad.AttemptError {
	failure := httpclient.NewAttemptError(u, e, err)
	if errors.Is(err, quetzalroad.ErrBuffersFull) {
		failure.RetryReason = quetzalroad.RetryBuffersFull
	}
	if failure.RetryReason == quetzalroad.RetryReadTimeout {
		c.client.CloseIdleConnections()
	}
	return failure
}

// statusError returns the error for a response whose status is not 200.
func statusError(u quetzalroad.UpstreamName, e *httpclient.Exchange) *quetzalroad.AttemptError {
	response := e.Response
	// A body that can't be read completely still explains part of the error.
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	failure := &quetzalroad.AttemptError{Upstream: u, RetryReason: quetzalroad.RetryErrorStatus, Cause: errors.Newf("status %s", response.Status)}
	switch {
	case e.ReportsNotRun():
		failure.NotRun = true
		failure.RetryReason = quetzalroad.RetryNotRun
	case response.StatusCode >= 400 && response.StatusCode < 500 && response.StatusCode != http.StatusTooManyRequests && response.StatusCode != http.StatusRequestTimeout:
		failure.NotRun = e.IsOwnResponse()
		failure.Cause = &quetzalroad.RejectedError{Status: response.StatusCode, Body: body}
	}
	return failure
}

// stream is a completion that is being received.
type stream struct {
	connector *Connector
	upstream  quetzalroad.UpstreamName
	exchange  *httpclient.Exchange
	body      *bufferer.BlockReader
	events    *eventReader
	decoder   *chatmapper.ChunkDecoder
}

func newStream(c *Connector, u quetzalroad.UpstreamName, chat *quetzalroad.ChatRequest, e *httpclient.Exchange) *stream {
	body := &bufferer.BlockReader{Src: e.Response.Body, Copies: eventCopies, Reservation: bufferer.Reservation{Budget: c.bufferBudget}}
	return &stream{connector: c, upstream: u, exchange: e, body: body, events: newEventReader(body), decoder: chatmapper.NewChunkDecoder(chat.Body)}
}

// Next implements quetzalroad.ChatStream.
func (s *stream) Next() (quetzalroad.ChatEvent, error) {
	data, err := s.events.next()
	if err != nil {
		return quetzalroad.ChatEvent{}, s.attemptError(err)
	}
	if string(data) == doneData {
		return quetzalroad.ChatEvent{}, io.EOF
	}
	chunk, err := s.decoder.Decode(data)
	if err != nil {
		return quetzalroad.ChatEvent{}, s.malformedError(err)
	}
	return chunk, nil
}

func (s *stream) malformedError(cause error) error {
	return &quetzalroad.AttemptError{Upstream: s.upstream, RetryReason: quetzalroad.RetryMalformedResponse, Cause: cause}
}

func (s *stream) attemptError(err error) error {
	var malformed *malformedEventError
	if errors.As(err, &malformed) {
		return s.malformedError(malformed)
	}
	return s.connector.attemptError(s.upstream, s.exchange, err)
}

// Close implements quetzalroad.ChatStream.
func (s *stream) Close() error {
	s.exchange.Close()
	s.body.Reservation.Release()
	return nil
}

// FetchLoadReport implements quetzalroad.ChatClient.
func (c *Connector) FetchLoadReport(ctx context.Context, u quetzalroad.Upstream) (quetzalroad.LoadReport, error) {
	return c.client.FetchLoadReport(ctx, c.recorder, u)
}
