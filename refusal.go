package quetzalroad

import (
	"errors"
	"fmt"
	"time"
)

// RefusalReason is the kebab-case code of a refusal. The response, the log line and the counter
// use the same code.
type RefusalReason string

// The reasons for refusals.
const (
	ReasonUnauthorized            RefusalReason = "unauthorized"
	ReasonMalformedRequest        RefusalReason = "malformed-request"
	ReasonNotFound                RefusalReason = "not-found"
	ReasonTooManyOpenRequests     RefusalReason = "too-many-open"
	ReasonBodyTooLarge            RefusalReason = "body-too-large"
	ReasonUnknownModel            RefusalReason = "unknown-model"
	ReasonUnknownProfile          RefusalReason = "unknown-profile"
	ReasonUnknownService          RefusalReason = "unknown-service"
	ReasonNotReady                RefusalReason = "not-ready"
	ReasonTargetUnreachable       RefusalReason = "target-unreachable"
	ReasonQueueFull               RefusalReason = "queue-full"
	ReasonTimeout                 RefusalReason = "timeout"
	ReasonTeamRateLimit           RefusalReason = "team-rate-limit"
	ReasonTeamConcurrencyLimit    RefusalReason = "team-concurrency-limit"
	ReasonServiceConcurrencyLimit RefusalReason = "service-concurrency-limit"
	ReasonNoUpstream              RefusalReason = "no-upstream"
	ReasonRetryBudgetSpent        RefusalReason = "retry-budget-spent"
	ReasonUpstreamFailed          RefusalReason = "upstream-failed"
	ReasonUpstreamResponseLost    RefusalReason = "upstream-answer-lost"
	ReasonCallerDisconnected      RefusalReason = "caller-left"
	ReasonClaimUnavailable        RefusalReason = "claim-unavailable"
	ReasonIdempotencyKeyExpired   RefusalReason = "idempotency-key-expired"
	ReasonIdempotencyKeyReused    RefusalReason = "idempotency-key-reused"
	ReasonDuplicateInProgress     RefusalReason = "duplicate-in-progress"
	ReasonUpstreamRejected        RefusalReason = "upstream-rejected"
	ReasonStreamInterrupted       RefusalReason = "stream-cut"
	ReasonUnknownRoute            RefusalReason = "unknown-route"
	ReasonStaleState              RefusalReason = "stale-state"
	ReasonQuarantined             RefusalReason = "quarantined"
	ReasonUpstreamExited          RefusalReason = "upstream-exited"
	ReasonUpstreamRateLimit       RefusalReason = "upstream-rate-limit"
	ReasonTooManyConnections      RefusalReason = "too-many-connections"
	ReasonTooManyHeaderLines      RefusalReason = "too-many-header-lines"
	ReasonHeaderTooLarge          RefusalReason = "header-too-large"
	ReasonRequestMemoryFull       RefusalReason = "request-memory-full"
	ReasonStreamOriginUnknown     RefusalReason = "stream-origin-unknown"
	ReasonNoUpstreamOfVersion     RefusalReason = "no-upstream-of-version"
	ReasonVersionNotOpen          RefusalReason = "version-not-open"
)

// Refusal is the error of a request that the router does not complete.
type Refusal struct {
	// Reason is the code.
	Reason RefusalReason
	// Message describes in a sentence what happened.
	Message string
	// RetryAfter is the delay after which a retry may succeed; zero if waiting does not help.
	RetryAfter time.Duration
	// Outcome reports whether the request may have run.
	Outcome Outcome
	// Cause is the underlying error, if any.
	Cause error
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Cause == nil {
		return fmt.Sprintf("%s: %s", r.Reason, r.Message)
	}
	return fmt.Sprintf("%s: %s: %v", r.Reason, r.Message, r.Cause)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error {
	return r.Cause
}

// NewRefusal returns a refusal of a request that was not run.
func NewRefusal(reason RefusalReason, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{Reason: reason, Message: message, RetryAfter: retryAfter, Outcome: OutcomeNotRun}
}

// AsRefusal returns the Refusal in an error's chain. Any other error becomes a refusal with
// unknown outcome.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Reason: ReasonUpstreamFailed, Message: "the request failed", Outcome: OutcomeUnknown, Cause: err}
}

// AttemptError is the failure of one attempt on an upstream.
type AttemptError struct {
	// Upstream is where the attempt was sent.
	Upstream UpstreamName
	// NotRun reports whether the request definitely did not run: no byte of it was written, or
	// the upstream stated that it did not run it.
	NotRun bool
	// Unsent is set if nothing reached the upstream, so that another attempt adds no load to
	// upstreams. It is only set together with NotRun.
	Unsent bool
	// ResponseBegun is set if a part of the response's head has arrived.
	ResponseBegun bool
	// RetryReason is the code under which a retry after this failure is counted.
	RetryReason RetryReason
	// LoadReport is the load report sent by the upstream; nil if there was none.
	LoadReport *LoadReport
	// RateLimit is the limit that the upstream stated; nil if it did not respond, or not clearly.
	RateLimit *RateLimit
	// Leaving reports whether the upstream stated that it leaves.
	Leaving bool
	// RetryAfter is how long the upstream asked to be sent nothing; zero if it didn't.
	RetryAfter time.Duration
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("upstream %s: %s: %v", e.Upstream, e.RetryReason, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error {
	return e.Cause
}

// RetryReason is the kebab-case code of why another attempt is made.
type RetryReason string

// The reasons for retries.
const (
	RetryDialFailed         RetryReason = "dial-failed"
	RetryNotRun             RetryReason = "upstream-not-run"
	RetryErrorStatus        RetryReason = "upstream-error-status"
	RetryConnectionLost     RetryReason = "connection-lost"
	RetryReadTimeout        RetryReason = "connection-silent"
	RetryPreempted          RetryReason = "paused"
	RetryHedge              RetryReason = "hedged"
	RetryMalformedResponse  RetryReason = "malformed-answer"
	RetryMismatchedResponse RetryReason = "foreign-answer"
	RetryInstanceReplaced   RetryReason = "instance-replaced"
	RetryBuffersFull        RetryReason = "buffers-full"
)

// RejectedError reports that the upstream rejected the request itself as invalid. Retrying does
// not help.
type RejectedError struct {
	// Status is the HTTP status.
	Status int
	// Body is the upstream's error message.
	Body []byte
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("upstream rejected the call with status %d", e.Status)
}
