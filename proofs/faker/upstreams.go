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
	errDown    = errors.New("connection refused")
	errCrashed = errors.New("connection reset")
	errSilent  = errors.New("connection silent")
)

// silenceBound is the time after which a silent connection is given up.
const silenceBound = 3 * time.Second

// Machine is an engine with its faults.
type Machine struct {
	Engine

	mu sync.Mutex
	// The fields below are guarded by mu.
	slow   float64
	down   bool
	silent chan struct{}
}

// SetSlow stretches the engine's steps by a factor; zero and one are none.
func (m *Machine) SetSlow(factor float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slow = factor
}

func (m *Machine) slowed(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.slow > 0 {
		return time.Duration(float64(d) * m.slow)
	}
	return d
}

// SetDown takes the engine away, with all it runs, or brings it back.
func (m *Machine) SetDown(down bool) {
	m.mu.Lock()
	m.down = down
	m.mu.Unlock()
	if down {
		m.Crash()
	}
}

// Silence makes the streams that are open go silent for good.
func (m *Machine) Silence() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.silent != nil {
		close(m.silent)
		m.silent = nil
	}
}

func (m *Machine) state() (down bool, silent <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.silent == nil {
		m.silent = make(chan struct{})
	}
	return m.down, m.silent
}

// Engines is the engines' protocol over fakes. Its exported fields are set
// before it is used.
type Engines struct {
	// Machines are the engines by the upstream's name.
	Machines map[quetzalroad.UpstreamName]*Machine
	// ReportLag is how late load reports are.
	ReportLag time.Duration
	// Length gives the tokens of a chat's whole answer; nil leaves it to the
	// prompt.
	Length func(c *quetzalroad.ChatRequest) int
}

// Declare implements kernel.Component.
func (*Engines) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (e *Engines) Build(n *kernel.Node) error {
	n.ChatClient = e
	return nil
}

// Run runs the engines until the context ends.
func (e *Engines) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, m := range e.Machines {
		m.Slowed = m.slowed
		group.Go(func() {
			// It ends with the context and in no other way.
			_ = m.Engine.Run(ctx)
		})
	}
	group.Wait()
}

// Prompt gives the prompt that stands for a chat.
func (e *Engines) Prompt(c *quetzalroad.ChatRequest) Prompt {
	return Prompt{Seed: xxhash.Sum64String(string(c.ID)), Prefix: c.PrefixHash, Tokens: c.PromptTokens}
}

// Total gives the tokens of a chat's whole answer.
func (e *Engines) Total(c *quetzalroad.ChatRequest) int {
	total := e.Prompt(c).Length()
	if e.Length != nil {
		total = e.Length(c)
	}
	if c.MaxTokens > 0 {
		total = min(total, c.MaxTokens)
	}
	return max(1, total)
}

// Answer gives the whole answer of a chat, for checks.
func (e *Engines) Answer(c *quetzalroad.ChatRequest) string {
	text := ""
	total := e.Total(c)
	for i := range total {
		text += e.Prompt(c).Word(i, total).Text
	}
	return text
}

// Start implements quetzalroad.ChatClient.
func (e *Engines) Start(ctx context.Context, u quetzalroad.Upstream, c *quetzalroad.ChatRequest, from *quetzalroad.ResumePoint) (quetzalroad.ChatStream, error) {
	m := e.Machines[u.Name]
	down, silent := m.state()
	if down {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, NotRun: true, RetryReason: quetzalroad.RetryDialFailed, Cause: errDown}
	}
	s := &Sequence{Priority: int(c.Profile.Tier), Prompt: e.Prompt(c), Total: e.Total(c)}
	if from != nil {
		s.Next = from.Tokens
		s.Prompt.Tokens += from.Tokens
	}
	m.Submit(s)
	return &chatStream{ctx: ctx, machine: m, upstream: u.Name, sequence: s, silent: silent}, nil
}

// chatStream is a running answer.
type chatStream struct {
	ctx      context.Context
	machine  *Machine
	upstream quetzalroad.UpstreamName
	sequence *Sequence
	silent   <-chan struct{}
	done     bool
}

// Next implements quetzalroad.ChatStream.
func (s *chatStream) Next() (quetzalroad.ChatEvent, error) {
	if s.done {
		return quetzalroad.ChatEvent{}, io.EOF
	}
	select {
	case <-s.silent:
		return s.hang()
	default:
	}
	select {
	case w := <-s.sequence.Words():
		e := quetzalroad.ChatEvent{Text: w.Text, Tokens: 1}
		if w.Last {
			e.FinishReason = "stop"
			s.done = true
		}
		return e, nil
	case <-s.sequence.Lost():
		return quetzalroad.ChatEvent{}, &quetzalroad.AttemptError{Upstream: s.upstream, RetryReason: quetzalroad.RetryConnectionLost, Cause: errCrashed}
	case <-s.silent:
		return s.hang()
	case <-s.ctx.Done():
		return quetzalroad.ChatEvent{}, &quetzalroad.AttemptError{Upstream: s.upstream, RetryReason: quetzalroad.RetryConnectionLost, Cause: s.ctx.Err()}
	}
}

// hang waits until a silent connection is given up.
func (s *chatStream) hang() (quetzalroad.ChatEvent, error) {
	if err := sleeper.Sleep(s.ctx, silenceBound); err != nil {
		return quetzalroad.ChatEvent{}, &quetzalroad.AttemptError{Upstream: s.upstream, RetryReason: quetzalroad.RetryConnectionLost, Cause: err}
	}
	return quetzalroad.ChatEvent{}, &quetzalroad.AttemptError{Upstream: s.upstream, RetryReason: quetzalroad.RetryReadTimeout, Cause: errSilent}
}

// Close implements quetzalroad.ChatStream.
func (s *chatStream) Close() error {
	s.machine.Cancel(s.sequence)
	return nil
}

// FetchLoadReport implements quetzalroad.ChatClient.
func (e *Engines) FetchLoadReport(_ context.Context, u quetzalroad.Upstream) (quetzalroad.LoadReport, error) {
	m := e.Machines[u.Name]
	if down, _ := m.state(); down {
		return quetzalroad.LoadReport{}, errDown
	}
	late := m.Late(time.Now(), e.ReportLag)
	return quetzalroad.LoadReport{MeasuredAt: late.At, Running: late.Running, Waiting: late.Waiting}, nil
}

// Services is the plain services' protocol over a fake that counts its runs.
// The zero value answers at once.
type Services struct {
	// RunTime is how long a run takes.
	RunTime time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.
	byKey  map[string]int
	runs   int
	random *rand.Rand
	// loseShare, refuseShare and dialShare are the shares of calls that run
	// without an answer, are refused as not run, and find no connection.
	loseShare   float64
	refuseShare float64
	dialShare   float64
}

// Declare implements kernel.Component.
func (*Services) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (s *Services) Build(n *kernel.Node) error {
	n.ServiceClient = s
	return nil
}

// SetFaults sets the shares of calls that run without an answer, are refused
// as not run, and find no connection.
func (s *Services) SetFaults(lose, refuse, dial float64, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseShare, s.refuseShare, s.dialShare = lose, refuse, dial
	s.random = rand.New(rand.NewPCG(seed, seed))
}

// Runs gives the number of runs of a key.
func (s *Services) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// Total gives the number of all runs.
func (s *Services) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// fate draws what becomes of a call.
func (s *Services) fate() (lose, refuse, dial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random == nil {
		return false, false, false
	}
	x := s.random.Float64()
	lose = x < s.loseShare
	refuse = !lose && x < s.loseShare+s.refuseShare
	dial = !lose && !refuse && x < s.loseShare+s.refuseShare+s.dialShare
	return lose, refuse, dial
}

// Call implements quetzalroad.ServiceClient.
func (s *Services) Call(ctx context.Context, u quetzalroad.Upstream, c *quetzalroad.ServiceRequest) (*quetzalroad.ServiceResponse, error) {
	lose, refuse, dial := s.fate()
	if dial {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, NotRun: true, RetryReason: quetzalroad.RetryDialFailed, Cause: errDown}
	}
	if refuse {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, NotRun: true, RetryReason: quetzalroad.RetryNotRun, Cause: errDown}
	}
	s.mu.Lock()
	s.runs++
	if s.byKey == nil {
		s.byKey = make(map[string]int)
	}
	s.byKey[c.IdempotencyKey]++
	s.mu.Unlock()
	if err := sleeper.Sleep(ctx, s.RunTime); err != nil || lose {
		return nil, &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryConnectionLost, Cause: errCrashed}
	}
	return &quetzalroad.ServiceResponse{Status: 200, Body: []byte(c.IdempotencyKey)}, nil
}

// FetchLoadReport implements quetzalroad.ServiceClient.
func (s *Services) FetchLoadReport(context.Context, quetzalroad.Upstream) (quetzalroad.LoadReport, error) {
	return quetzalroad.LoadReport{MeasuredAt: time.Now()}, nil
}
