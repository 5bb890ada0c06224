package quetzalroad

import (
	"net/http"
	"time"
)

// Request is what decisions know about one request of a caller.
type Request struct {
	// ID identifies the request.
	ID RequestID
	// Team, Profile and Service are copies of the published objects as they
	// stood on arrival.
	Team    Team
	Profile Profile
	Service Service
	// Model is the model asked for; empty for plain services.
	Model ModelName
	// Arrived is when the node had read the request.
	Arrived time.Time
	// CallerDeadline is when the caller stops waiting; zero where it didn't say.
	CallerDeadline time.Time
	// PromptTokens is an estimate from the size of the prompt.
	PromptTokens int
	// SharedPromptTokens is the length of the parts of the prompt that other requests
	// may share; zero where none are named.
	SharedPromptTokens int
	// MaxTokens bounds the tokens to generate; zero means no stated bound.
	MaxTokens int
	// PrefixHash identifies the beginning of the prompt for cache affinity;
	// zero means that there is none.
	PrefixHash uint64
	// Idempotent tells that running the request twice does no harm.
	Idempotent bool
	// IdempotencyKey is the caller's key, empty where none was given.
	IdempotencyKey string
}

// Deadline is the moment after which an answer is of no use: the end of the
// profile's timeout, or the caller's own if that is sooner. The zero value
// means that there is none.
func (r *Request) Deadline() time.Time {
	if r.Profile.Timeout <= 0 {
		return r.CallerDeadline
	}
	end := r.Arrived.Add(r.Profile.Timeout)
	if !r.CallerDeadline.IsZero() && r.CallerDeadline.Before(end) {
		return r.CallerDeadline
	}
	return end
}

// ChatRequest is a request for a completion.
type ChatRequest struct {
	Request
	// Body is the call in the form of the chat API.
	Body []byte
	// Resumable tells that the answer can be resumed from its text alone.
	Resumable bool
}

// ResumePoint tells an engine where to take up an answer that was begun
// elsewhere.
type ResumePoint struct {
	// Text is the answer so far.
	Text string
	// Tokens is the number of tokens in Text.
	Tokens int
}

// ChatEvent is one step of an answer.
type ChatEvent struct {
	// Chunk is the step in the form of the chat API.
	Chunk []byte
	// Text is what the step adds to the answer.
	Text string
	// Tokens is the number of tokens that it carries.
	Tokens int
	// FinishReason is the reason for the end; empty before the last step.
	FinishReason string
	// CompletionTokens is the number of generated tokens that the engine states at
	// the end; zero before.
	CompletionTokens int
}

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	Request
	// Method, Path, Query and Header are the caller's, without hop-by-hop
	// fields and without the caller's credentials.
	Method string
	Path   string
	Query  string
	Header http.Header
	// Body is the whole body; its size is bounded by the caller face.
	Body []byte
}

// ServiceResponse is the whole answer of a plain service.
type ServiceResponse struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end fields.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Outcome tells a caller what became of its request.
type Outcome string

// The outcomes.
const (
	// OutcomeCompleted means that the answer is whole.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun means that no upstream ran any of it.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that an upstream may have run it.
	OutcomeUnknown Outcome = "unknown"
)

// LoadReport is what an upstream says about itself.
type LoadReport struct {
	// MeasuredAt is the upstream's time for the figures.
	MeasuredAt time.Time
	// Running and Waiting count requests at that time.
	Running int
	Waiting int
	// Leaving tells that the upstream wants no new work.
	Leaving bool
	// SlowdownFactor is how long work takes there at the moment, relative to the
	// usual; zero where it isn't told.
	SlowdownFactor float64
}

// UpstreamReport is a load report with the upstream that gave it.
type UpstreamReport struct {
	Upstream UpstreamName
	Report   LoadReport
}

// UpstreamLoad is one node's own work on an upstream.
type UpstreamLoad struct {
	Upstream UpstreamName
	// Running counts the node's requests there.
	Running int
	// InterTokenLatency is the time between two tokens that the node saw there lately;
	// zero when it has seen none.
	InterTokenLatency time.Duration
}

// LoadEstimate is what a node believes about an upstream.
type LoadEstimate struct {
	// Running is the estimated number of requests there, over all nodes.
	Running int
	// LocalRunning is the number of this node's own.
	LocalRunning int
	// PeerRunning is the number that peers told of, and Peers how many of them told
	// anything lately.
	PeerRunning    int
	ReportingPeers int
	// InterTokenLatency is the recent time between two tokens; zero where this node
	// has not seen any lately.
	InterTokenLatency time.Duration
	// FirstTokenLatency is the recent time to a first token; zero where this node
	// has not seen any lately.
	FirstTokenLatency time.Duration
	// ReportAge is the age of the upstream's last report; zero before the first.
	ReportAge time.Duration
	// Suspect tells that recent attempts failed and new work should go
	// elsewhere where it can.
	Suspect bool
	// Leaving tells that the upstream gets no new work at all.
	Leaving bool
}
