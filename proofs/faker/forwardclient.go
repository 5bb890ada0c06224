package faker

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// ForwardClient is a fake client whose responses come from a script. The zero value
// responds to each request with status 200 and an empty body.
type ForwardClient struct {
	// Script returns the result of an attempt; it is called after the
	// attempt's BeforeSend hook. Nil stands for an empty response.
	Script func(ctx context.Context, a *quetzalroad.Attempt) (*ScriptedResponse, error)
	// Exited reports whether an upstream's process has exited; nil if none has.
	Exited func(u quetzalroad.Upstream) bool

	mu sync.Mutex
	// sent holds the attempts that were sent and is guarded by mu.
	sent []quetzalroad.Attempt
}

// Declare implements kernel.Component.
func (*ForwardClient) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (c *ForwardClient) Build(n *kernel.Node) error {
	n.ForwardClient = c
	n.UpstreamChecker = c
	return nil
}

// HasExited implements quetzalroad.UpstreamChecker.
func (c *ForwardClient) HasExited(_ context.Context, u quetzalroad.Upstream) bool {
	return c.Exited != nil && c.Exited(u)
}

// Sent returns the attempts that were sent.
func (c *ForwardClient) Sent() []quetzalroad.Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]quetzalroad.Attempt(nil), c.sent...)
}

// Send implements quetzalroad.ForwardClient.
func (c *ForwardClient) Send(ctx context.Context, a *quetzalroad.Attempt) (quetzalroad.ForwardResponse, error) {
	if a.BeforeSend != nil {
		if err := a.BeforeSend(); err != nil {
			return nil, &quetzalroad.AttemptError{Upstream: a.Upstream.Name, NotRun: true, RetryReason: quetzalroad.RetryNotRun, Cause: err}
		}
	}
	// The body of the request is freed once the response has begun.
	sent, request := *a, *a.Request
	sent.Request = &request
	c.mu.Lock()
	c.sent = append(c.sent, sent)
	c.mu.Unlock()
	if c.Script == nil {
		return &ScriptedResponse{}, nil
	}
	response, err := c.Script(ctx, a)
	if err != nil {
		return nil, err
	}
	response.ctx = ctx
	response.upstream = a.Upstream.Name
	response.outlived = func() bool { return !c.HasExited(ctx, a.Upstream) }
	return response, nil
}

// ScriptedResponse is a response returned by a script.
type ScriptedResponse struct {
	// Status is the HTTP status; zero stands for 200.
	Status int
	Header http.Header
	// EventStream reports that each chunk is an event.
	EventStream bool
	Chunks      []quetzalroad.BodyChunk
	// RateLimit is the limit that the response states; nil if its statement can't be understood.
	RateLimit *quetzalroad.RateLimit
	// Unframed makes nothing but the end of the connection end the body.
	Unframed bool
	// Leaving makes the response state that the upstream leaves.
	Leaving bool
	// BeforeChunk, unless nil, is called before each chunk and may block.
	BeforeChunk func(ctx context.Context) error
	// Interrupted makes the body end with a lost connection after the last chunk.
	Interrupted bool
	// Closed is set when the router closes the response.
	Closed bool

	ctx       context.Context
	upstream  quetzalroad.UpstreamName
	outlived  func() bool
	nextChunk int
}

// Head implements quetzalroad.ForwardResponse.
func (s *ScriptedResponse) Head() quetzalroad.ResponseHead {
	h := quetzalroad.ResponseHead{Status: s.Status, Header: s.Header, ContentLength: -1, EventStream: s.EventStream, RateLimit: s.RateLimit, Leaving: s.Leaving, Unframed: s.Unframed}
	if h.Status == 0 {
		h.Status = http.StatusOK
	}
	return h
}

// Next implements quetzalroad.ForwardResponse.
func (s *ScriptedResponse) Next() (quetzalroad.BodyChunk, error) {
	if s.BeforeChunk != nil {
		if err := s.BeforeChunk(s.ctx); err != nil {
			return quetzalroad.BodyChunk{}, &quetzalroad.AttemptError{Upstream: s.upstream, RetryReason: quetzalroad.RetryConnectionLost, Cause: err}
		}
	}
	if s.nextChunk < len(s.Chunks) {
		s.nextChunk++
		return s.Chunks[s.nextChunk-1], nil
	}
	if s.Interrupted {
		return quetzalroad.BodyChunk{}, &quetzalroad.AttemptError{Upstream: s.upstream, RetryReason: quetzalroad.RetryConnectionLost, Cause: io.ErrUnexpectedEOF}
	}
	return quetzalroad.BodyChunk{}, io.EOF
}

// UpstreamOutlived implements quetzalroad.ForwardResponse.
func (s *ScriptedResponse) UpstreamOutlived(context.Context) bool { return s.outlived() }

// Close implements quetzalroad.ForwardResponse.
func (s *ScriptedResponse) Close() { s.Closed = true }

// ForwardSink keeps a response in memory.
type ForwardSink struct {
	// Heads holds each head that was written.
	Heads []quetzalroad.ResponseHead
	Body  []byte
	// WriteError, unless nil, is returned by Write, which then stores nothing; WriteHead ignores it.
	WriteError error
}

// WriteHead implements quetzalroad.ForwardSink.
func (s *ForwardSink) WriteHead(h quetzalroad.ResponseHead) error {
	s.Heads = append(s.Heads, h)
	return nil
}

// Write implements quetzalroad.ForwardSink.
func (s *ForwardSink) Write(data []byte) error {
	if s.WriteError != nil {
		return s.WriteError
	}
	s.Body = append(s.Body, data...)
	return nil
}
