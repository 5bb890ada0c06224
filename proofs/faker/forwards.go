package faker

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configurer"
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

// Declare implements kernel.Part.
func (*Forwards) Declare(*configurer.Section) {}

// Build implements kernel.Part.
func (p *Forwards) Build(n *kernel.Node) error {
	n.Forwards = p
	return nil
}

// Sent lists the attempts that were sent.
func (p *Forwards) Sent() []quetzalroad.Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]quetzalroad.Attempt(nil), p.sent...)
}

// Send implements quetzalroad.ForwardProtocol.
func (p *Forwards) Send(ctx context.Context, a *quetzalroad.Attempt) (quetzalroad.ForwardAnswer, error) {
	if a.Allowed != nil {
		if err := a.Allowed(); err != nil {
			return nil, &quetzalroad.AttemptError{Upstream: a.Upstream.Name, NotRun: true, Kind: quetzalroad.RetryNotRun, Cause: err}
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
	Pieces []quetzalroad.Piece
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

// Head implements quetzalroad.ForwardAnswer.
func (s *ScriptedAnswer) Head() quetzalroad.AnswerHead {
	h := quetzalroad.AnswerHead{Status: s.Status, Header: s.Header, Length: -1, Events: s.Events}
	if h.Status == 0 {
		h.Status = http.StatusOK
	}
	return h
}

// Next implements quetzalroad.ForwardAnswer.
func (s *ScriptedAnswer) Next() (quetzalroad.Piece, error) {
	if s.Wait != nil {
		if err := s.Wait(s.ctx); err != nil {
			return quetzalroad.Piece{}, &quetzalroad.AttemptError{Upstream: s.upstream, Kind: quetzalroad.RetryConnectionLost, Cause: err}
		}
	}
	if s.next < len(s.Pieces) {
		s.next++
		return s.Pieces[s.next-1], nil
	}
	if s.Broken {
		return quetzalroad.Piece{}, &quetzalroad.AttemptError{Upstream: s.upstream, Kind: quetzalroad.RetryConnectionLost, Cause: io.ErrUnexpectedEOF}
	}
	return quetzalroad.Piece{}, io.EOF
}

// Close implements quetzalroad.ForwardAnswer.
func (s *ScriptedAnswer) Close() { s.Closed = true }

// Sink takes an answer in memory.
type Sink struct {
	// Heads holds each head that was sent.
	Heads []quetzalroad.AnswerHead
	Body  []byte
	// Fails makes each write fail.
	Fails error
}

// Begin implements quetzalroad.ForwardSink.
func (s *Sink) Begin(h quetzalroad.AnswerHead) error {
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
