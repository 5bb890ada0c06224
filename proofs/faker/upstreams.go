package faker

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

var (
	errConnectionRefused = errors.New("connection refused")
	errConnectionReset   = errors.New("connection reset")
	errReadTimeout       = errors.New("read timeout")
)

// readTimeout is the time after which a read from a stalled stream fails.
const readTimeout = 3 * time.Second

// FaultyEngine is an engine with fault injection.
type FaultyEngine struct {
	Engine

	mu sync.Mutex
	// The fields below are guarded by mu. stalled is closed by StallStreams.
	slowdown float64
	down     bool
	stalled  chan struct{}
}

// SetSlowdown multiplies the duration of the engine's steps by a factor; zero
// and one leave it as it is.
func (e *FaultyEngine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

func (e *FaultyEngine) scaleStepTime(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slowdown > 0 {
		return time.Duration(float64(d) * e.slowdown)
	}
	return d
}

// SetDown takes the engine down, which aborts its requests, or up again.
func (e *FaultyEngine) SetDown(down bool) {
	e.mu.Lock()
	e.down = down
	e.mu.Unlock()
	if down {
		e.Crash()
	}
}

// StallStreams makes the open streams deliver nothing more, so that a read fails after readTimeout.
func (e *FaultyEngine) StallStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stalled != nil {
		close(e.stalled)
		e.stalled = nil
	}
}

func (e *FaultyEngine) faults() (down bool, stalled <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stalled == nil {
		e.stalled = make(chan struct{})
	}
	return e.down, e.stalled
}

// ChatClient is a client of fake engines. Its exported fields must be set before it is used.
type ChatClient struct {
	// Engines holds the engines by the upstream's name.
	Engines map[quetzalroad.UpstreamName]*FaultyEngine
	// ReportLag is the minimum age of the load in a load report.
	ReportLag time.Duration
	// ResponseLength returns the number of tokens of a chat's response before its
	// MaxTokens applies; if nil, the length follows from the prompt.
	ResponseLength func(c *quetzalroad.ChatRequest) int
}

// Declare implements kernel.Component.
func (*ChatClient) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (c *ChatClient) Build(n *kernel.Node) error {
	n.ChatClient = c
	return nil
}

// Run runs the engines until the context is done.
func (c *ChatClient) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, engine := range c.Engines {
		engine.AdjustStepTime = engine.scaleStepTime
		group.Go(func() {
			// Run returns only when the context is done.
			_ = engine.Engine.Run(ctx)
		})
	}
	group.Wait()
}

// Prompt returns the prompt that represents a chat.
func (c *ChatClient) Prompt(r *quetzalroad.ChatRequest) Prompt {
	return Prompt{Seed: xxhash.Sum64String(string(r.ID)), PrefixHash: r.PrefixHash, TokenCount: r.PromptTokens}
}

// ResponseTokens returns the number of tokens of a chat's whole response, at most its MaxTokens.
func (c *ChatClient) ResponseTokens(r *quetzalroad.ChatRequest) int {
	total := c.Prompt(r).ResponseLength()
	if c.ResponseLength != nil {
		total = c.ResponseLength(r)
	}
	if r.MaxTokens > 0 {
		total = min(total, r.MaxTokens)
	}
	return max(1, total)
}

// ExpectedResponse returns the whole response to a chat, for checks.
func (c *ChatClient) ExpectedResponse(r *quetzalroad.ChatRequest) string {
	text := ""
	total := c.ResponseTokens(r)
	for i := range total {
		text += c.Prompt(r).ResponseToken(i, total).Text
	}
	return text
}

// Start implements quetzalroad.ChatClient.
func (c *ChatClient) Start(ctx context.Context, u quetzalroad.Upstream, r *quetzalroad.ChatRequest, from *quetzalroad.ResumePoint) (quetzalroad.ChatStream, error) {
	engine := c.Engines[u.Name]
	down, stalled := engine.faults()
	if down {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, NotRun: true, RetryReason: quetzalroad.RetryDialFailed, Cause: errConnectionRefused}
	}
	sequence := &Sequence{Priority: int(r.Profile.Tier), Prompt: c.Prompt(r), TotalTokens: c.ResponseTokens(r)}
	if from != nil {
		sequence.NextToken = from.Tokens
		sequence.Prompt.TokenCount += from.Tokens
	}
	engine.Submit(sequence)
	return &chatStream{ctx: ctx, engine: engine, upstream: u.Name, sequence: sequence, stalled: stalled}, nil
}

// chatStream is a response being streamed.
type chatStream struct {
	ctx      context.Context
	engine   *FaultyEngine
	upstream quetzalroad.UpstreamName
	sequence *Sequence
	stalled  <-chan struct{}
	done     bool
}

// Next implements quetzalroad.ChatStream.
func (s *chatStream) Next() (quetzalroad.ChatEvent, error) {
	if s.done {
		return quetzalroad.ChatEvent{}, io.EOF
	}
	select {
	case <-s.stalled:
		return s.waitReadTimeout()
	default:
	}
	select {
	case token := <-s.sequence.Tokens():
		e := quetzalroad.ChatEvent{Text: token.Text, Tokens: 1}
		if token.Last {
			e.FinishReason = "stop"
			s.done = true
		}
		return e, nil
	case <-s.sequence.Crashed():
		return quetzalroad.ChatEvent{}, &quetzalroad.AttemptError{Upstream: s.upstream, RetryReason: quetzalroad.RetryConnectionLost, Cause: errConnectionReset}
	case <-s.stalled:
		return s.waitReadTimeout()
	case <-s.ctx.Done():
		return quetzalroad.ChatEvent{}, &quetzalroad.AttemptError{Upstream: s.upstream, RetryReason: quetzalroad.RetryConnectionLost, Cause: s.ctx.Err()}
	}
}

// waitReadTimeout waits until the read from a stalled stream times out.
func (s *chatStream) waitReadTimeout() (quetzalroad.ChatEvent, error) {
	if err := sleeper.Sleep(s.ctx, readTimeout); err != nil {
		return quetzalroad.ChatEvent{}, &quetzalroad.AttemptError{Upstream: s.upstream, RetryReason: quetzalroad.RetryConnectionLost, Cause: err}
	}
	return quetzalroad.ChatEvent{}, &quetzalroad.AttemptError{Upstream: s.upstream, RetryReason: quetzalroad.RetryReadTimeout, Cause: errReadTimeout}
}

// Close implements quetzalroad.ChatStream.
func (s *chatStream) Close() error {
	s.engine.Cancel(s.sequence)
	return nil
}

// FetchLoadReport implements quetzalroad.ChatClient.
func (c *ChatClient) FetchLoadReport(_ context.Context, u quetzalroad.Upstream) (quetzalroad.LoadReport, error) {
	engine := c.Engines[u.Name]
	if down, _ := engine.faults(); down {
		return quetzalroad.LoadReport{}, errConnectionRefused
	}
	load := engine.LaggedLoad(time.Now(), c.ReportLag)
	return quetzalroad.LoadReport{MeasuredAt: load.MeasuredAt, Running: load.Running, Waiting: load.Waiting}, nil
}

// ServiceClient is a client of fake plain services that counts executions and
// responds with the idempotency key. The zero value responds immediately.
type ServiceClient struct {
	// ExecutionTime is the duration of an execution.
	ExecutionTime time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.
	executionsByKey map[string]int
	executions      int
	random          *rand.Rand
	// responseLossRate, rejectRate and dialFailureRate are the shares of calls that are executed
	// but lose their response, are rejected as not executed, and fail to connect.
	responseLossRate float64
	rejectRate       float64
	dialFailureRate  float64
}

// Declare implements kernel.Component.
func (*ServiceClient) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (s *ServiceClient) Build(n *kernel.Node) error {
	n.ServiceClient = s
	return nil
}

// SetFaults sets the shares of calls that are executed but lose their response,
// are rejected as not executed, and fail to connect.
func (s *ServiceClient) SetFaults(responseLoss, reject, dialFailure float64, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseLossRate, s.rejectRate, s.dialFailureRate = responseLoss, reject, dialFailure
	s.random = rand.New(rand.NewPCG(seed, seed))
}

// Executions returns the number of executions under an idempotency key.
func (s *ServiceClient) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executionsByKey[key]
}

// TotalExecutions returns the number of all executions.
func (s *ServiceClient) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions
}

// drawFault draws the fault of a call, if any.
func (s *ServiceClient) drawFault() (responseLost, rejected, dialFailed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random == nil {
		return false, false, false
	}
	draw := s.random.Float64()
	responseLost = draw < s.responseLossRate
	rejected = !responseLost && draw < s.responseLossRate+s.rejectRate
	dialFailed = !responseLost && !rejected && draw < s.responseLossRate+s.rejectRate+s.dialFailureRate
	return responseLost, rejected, dialFailed
}

// Call implements quetzalroad.ServiceClient.
func (s *ServiceClient) Call(ctx context.Context, u quetzalroad.Upstream, r *quetzalroad.ServiceRequest) (*quetzalroad.ServiceResponse, error) {
	responseLost, rejected, dialFailed := s.drawFault()
	if dialFailed {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, NotRun: true, RetryReason: quetzalroad.RetryDialFailed, Cause: errConnectionRefused}
	}
	if rejected {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, NotRun: true, RetryReason: quetzalroad.RetryNotRun, Cause: errConnectionRefused}
	}
	s.mu.Lock()
	s.executions++
	if s.executionsByKey == nil {
		s.executionsByKey = make(map[string]int)
	}
	s.executionsByKey[r.IdempotencyKey]++
	s.mu.Unlock()
	if err := sleeper.Sleep(ctx, s.ExecutionTime); err != nil || responseLost {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryConnectionLost, Cause: errConnectionReset}
	}
	return &quetzalroad.ServiceResponse{Status: 200, Body: []byte(r.IdempotencyKey)}, nil
}

// FetchLoadReport implements quetzalroad.ServiceClient.
func (s *ServiceClient) FetchLoadReport(context.Context, quetzalroad.Upstream) (quetzalroad.LoadReport, error) {
	return quetzalroad.LoadReport{MeasuredAt: time.Now()}, nil
}
