package quetzalroad

import (
	"errors"
	"fmt"
	"time"
)

// RefusalReason is the kebab-case code of a refusal. The same word stands in the
// answer, the log line and the counter.
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
)

// Refusal is the error that ends a request which the router does not answer.
type Refusal struct {
	// Reason is the code.
	Reason RefusalReason
	// Message says in a sentence what happened.
	Message string
	// RetryAfter is how long waiting helps; zero where it does not.
	RetryAfter time.Duration
	// Outcome tells whether anything was run.
	Outcome Outcome
	// Cause is the failure behind the refusal, if any.
	Cause error
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Cause == nil {
		return fmt.Sprintf("%s: %s", r.Reason, r.Message)
	}
	return fmt.Sprintf("%s: %s: %v", r.Reason, r.Message, r.Cause)
}

// Unwrap gives the failure behind the refusal.
func (r *Refusal) Unwrap() error {
	return r.Cause
}

// NewRefusal makes a refusal of a request that was not run.
func NewRefusal(reason RefusalReason, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{Reason: reason, Message: message, RetryAfter: retryAfter, Outcome: OutcomeNotRun}
}

// AsRefusal gives an error as a refusal. One that is not is of unknown outcome.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Reason: ReasonUpstreamFailed, Message: "the request failed", Outcome: OutcomeUnknown, Cause: err}
}

// AttemptError is the failure of one attempt on an upstream.
type AttemptError struct {
	// Upstream is where the attempt went.
	Upstream UpstreamName
	// NotRun tells that the request surely did not run: no byte of it was
	// written, or the upstream said so.
	NotRun bool
	// Unsent tells that nothing reached the upstream, so that another attempt
	// adds nothing to what upstreams get. It is set together with NotRun only.
	Unsent bool
	// RetryReason is the kebab-case reason under which a retry is counted.
	RetryReason RetryReason
	// LoadReport is what the upstream told of its load; nil where it told nothing.
	LoadReport *LoadReport
	// Cause is the failure.
	Cause error
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("upstream %s: %s: %v", e.Upstream, e.RetryReason, e.Cause)
}

// Unwrap gives the failure.
func (e *AttemptError) Unwrap() error {
	return e.Cause
}

// RetryReason is the kebab-case reason of a retry.
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
)

// RejectedError is an upstream's answer that the call itself is wrong. It is
// the caller's and repeating it does not help.
type RejectedError struct {
	// Status is the HTTP status.
	Status int
	// Body is the upstream's explanation.
	Body []byte
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("upstream rejected the call with status %d", e.Status)
}
