package quetzalroad

import (
	"net/http"
	"time"
)

// Request describes a caller's request to the admission, balancing and retry decisions.
type Request struct {
	// ID identifies the request.
	ID RequestID
	// Team, Profile and Service are copies of the published objects as of the request's
	// arrival.
	Team    Team
	Profile Profile
	Service Service
	// Version is the only software version that may run the request; valid only if HasVersion is set.
	Version    SoftwareVersion
	HasVersion bool
	// BeginsStream is set if callers may resume the stream that the request begins or goes on with, so that the
	// node has to know at which software version it began.
	BeginsStream bool
	// Model is the requested model; empty for plain services.
	Model ModelName
	// Arrived is when the node had read the request's header.
	Arrived time.Time
	// CallerDeadline is when the caller stops waiting; zero if unknown.
	CallerDeadline time.Time
	// PromptTokens is estimated from the prompt's size, or stated by the caller.
	PromptTokens int
	// SharedPromptTokens is the length of the prompt segments that other requests may share;
	// zero if the caller named none.
	SharedPromptTokens int
	// MaxTokens bounds the generated tokens; zero if there is no bound.
	MaxTokens int
	// PrefixHash identifies the beginning of the prompt for prefix-cache affinity; zero means
	// that there is none.
	PrefixHash uint64
	// Idempotent reports whether running the request twice does no harm.
	Idempotent bool
	// IdempotencyKey is the caller's key; empty if not sent.
	IdempotencyKey string
}

// Deadline returns the time after which a response is useless: the end of the profile's
// timeout, or the caller's deadline if that is earlier. Zero means no deadline.
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

// ChatRequest is a request for a chat completion.
type ChatRequest struct {
	Request
	// Body is the request in the format of the chat API.
	Body []byte
	// Resumable reports whether a response can be resumed from its text alone.
	Resumable bool
}

// ResumePoint is where an engine continues a response that another engine began.
type ResumePoint struct {
	// Text is the response so far.
	Text string
	// Tokens is the number of tokens in Text.
	Tokens int
}

// ChatEvent is one event of a chat response.
type ChatEvent struct {
	// Chunk is the event in the format of the chat API.
	Chunk []byte
	// Text is what the event appends to the response.
	Text string
	// Tokens is the number of tokens in the event.
	Tokens int
	// FinishReason is why the response ended; empty before the last event.
	FinishReason string
	// CompletionTokens is the number of generated tokens that the engine reports at the end;
	// zero before.
	CompletionTokens int
}

// ServiceRequest is a request to a plain service.
type ServiceRequest struct {
	Request
	// Method, Path, Query and Header are the caller's, without hop-by-hop fields and without
	// the caller's credentials.
	Method string
	Path   string
	Query  string
	Header http.Header
	// Body is the whole body; the caller-facing server bounds its size.
	Body []byte
}

// ServiceResponse is the whole response of a plain service.
type ServiceResponse struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end fields.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Release returns what Body holds of the BufferBudget, and is called once it was sent; nil if it holds nothing.
	Release func()
}

// Outcome reports to the caller whether its request was run.
type Outcome string

// The outcomes.
const (
	// OutcomeCompleted means that the response is complete.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun means that no upstream ran any part of the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that an upstream may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// LoadReport is what an upstream reports about its own load.
type LoadReport struct {
	// MeasuredAt is the upstream's time of the figures, or when they arrived if it sends none.
	MeasuredAt time.Time
	// Running and Waiting count requests at that time.
	Running int
	Waiting int
	// Leaving reports whether the upstream no longer accepts new work.
	Leaving bool
	// SlowdownFactor is how long work takes there now relative to normal; zero if not reported.
	SlowdownFactor float64
}

// RateLimit is the rate of requests that an upstream accepts from all nodes together, as it states it.
// The zero value means that it states none.
type RateLimit struct {
	// PerSecond is valid only if IsSet is set; it is finite and not negative.
	PerSecond float64
	IsSet     bool
}

// UpstreamReport is a load report and the upstream that sent it.
type UpstreamReport struct {
	Upstream UpstreamName
	Report   LoadReport
}

// UpstreamLoad is the load that one node puts on an upstream.
type UpstreamLoad struct {
	Upstream UpstreamName
	// Running counts the node's requests there.
	Running int
	// InterTokenLatency is the time between two tokens that the node recently measured there;
	// zero if it measured none.
	InterTokenLatency time.Duration
}

// LoadEstimate is a node's estimate of the load of an upstream.
type LoadEstimate struct {
	// Running is the estimated number of requests there, over all nodes.
	Running int
	// LocalRunning is the number of this node's own requests.
	LocalRunning int
	// PeerRunning is the number of requests reported by peers; ReportingPeers is how many peers
	// recently reported any load.
	PeerRunning    int
	ReportingPeers int
	// InterTokenLatency is the recent time between two tokens, or the time since the last
	// progress of this node's requests there if that is much longer; zero if there are no
	// recent measurements.
	InterTokenLatency time.Duration
	// FirstTokenLatency is the recent time to a first token; zero if this node has no recent
	// measurements.
	FirstTokenLatency time.Duration
	// ReportAge is the age of the upstream's last report; zero before the first.
	ReportAge time.Duration
	// Occupancy is the number of running and waiting requests in the last report that is not too old to tell a
	// full upstream from others; zero if there is none. Unlike Running it is not corrected for later changes.
	Occupancy int
	// Suspect is set if recent attempts failed and new work should go elsewhere if possible.
	Suspect bool
	// Leaving is set if the upstream must not get any new work.
	Leaving bool
}
