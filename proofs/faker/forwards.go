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

// Forwards is the way to upstreams that follow a script. The zero value answers
// each request with 200 and an empty body.
type Forwards struct {
	// Script says what becomes of an attempt; it is called after the attempt
	// was allowed. Nil stands for an empty answer.
	Script func(ctx context.Context, a *quetzalroad.Attempt) (*ScriptedAnswer, error)

	mu sync.Mutex
	// sent holds the attempts that were sent, guarded by mu.
	sent []quetzalroad.Attempt
}

// Declare implements kernel.Component.
func (*Forwards) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (p *Forwards) Build(n *kernel.Node) error {
	n.ForwardClient = p
	return nil
}

// Sent lists the attempts that were sent.
func (p *Forwards) Sent() []quetzalroad.Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]quetzalroad.Attempt(nil), p.sent...)
}

// Send implements quetzalroad.ForwardClient.
func (p *Forwards) Send(ctx context.Context, a *quetzalroad.Attempt) (quetzalroad.ForwardResponse, error) {
	if a.BeforeSend != nil {
		if err := a.BeforeSend(); err != nil {
			return nil, &quetzalroad.AttemptError{Upstream: a.Upstream.Name, NotRun: true, RetryReason: quetzalroad.RetryNotRun, Cause: err}
		}
	}
	p.mu.Lock()
	p.sent = append(p.sent, *a)
	p.mu.Unlock()
	if p.Script == nil {
		return &ScriptedAnswer{}, nil
	}
	answer, err := p.Script(ctx, a)
	if err != nil {
		return nil, err
	}
	answer.ctx = ctx
	answer.upstream = a.Upstream.Name
	return answer, nil
}

// ScriptedAnswer is an answer that a script gives.
type ScriptedAnswer struct {
	// Status is 200 where it is zero.
	Status int
	Header http.Header
	// Events tells that the pieces are events.
	Events bool
	Pieces []quetzalroad.BodyChunk
	// Wait is called before each piece; nil for no wait.
	Wait func(ctx context.Context) error
	// Broken ends the answer with a failure instead of its end.
	Broken bool
	// Closed tells that the router closed it.
	Closed bool

	ctx      context.Context
	upstream quetzalroad.UpstreamName
	next     int
}

// Head implements quetzalroad.ForwardResponse.
func (s *ScriptedAnswer) Head() quetzalroad.ResponseHead {
	h := quetzalroad.ResponseHead{Status: s.Status, Header: s.Header, ContentLength: -1, EventStream: s.Events}
	if h.Status == 0 {
		h.Status = http.StatusOK
	}
	return h
}

// Next implements quetzalroad.ForwardResponse.
func (s *ScriptedAnswer) Next() (quetzalroad.BodyChunk, error) {
	if s.Wait != nil {
		if err := s.Wait(s.ctx); err != nil {
			return quetzalroad.BodyChunk{}, &quetzalroad.AttemptError{Upstream: s.upstream, RetryReason: quetzalroad.RetryConnectionLost, Cause: err}
		}
	}
	if s.next < len(s.Pieces) {
		s.next++
		return s.Pieces[s.next-1], nil
	}
	if s.Broken {
		return quetzalroad.BodyChunk{}, &quetzalroad.AttemptError{Upstream: s.upstream, RetryReason: quetzalroad.RetryConnectionLost, Cause: io.ErrUnexpectedEOF}
	}
	return quetzalroad.BodyChunk{}, io.EOF
}

// Close implements quetzalroad.ForwardResponse.
func (s *ScriptedAnswer) Close() { s.Closed = true }

// Sink takes an answer in memory.
type Sink struct {
	// Heads holds each head that was sent.
	Heads []quetzalroad.ResponseHead
	Body  []byte
	// Fails makes each write fail.
	Fails error
}

// WriteHead implements quetzalroad.ForwardSink.
func (s *Sink) WriteHead(h quetzalroad.ResponseHead) error {
	s.Heads = append(s.Heads, h)
	return nil
}

// Write implements quetzalroad.ForwardSink.
func (s *Sink) Write(data []byte) error {
	if s.Fails != nil {
		return s.Fails
	}
	s.Body = append(s.Body, data...)
	return nil
}
