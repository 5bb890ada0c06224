package quetzalroad

import (
	"errors"
	"fmt"
	"time"
)

// Reason is the kebab-case code of a refusal. The same word stands in the
// answer, the log line and the counter.
type Reason string

// The reasons for refusals.
const (
	ReasonUnauthorized       Reason = "unauthorized"
	ReasonMalformed          Reason = "malformed-request"
	ReasonNotFound           Reason = "not-found"
	ReasonTooManyOpen        Reason = "too-many-open"
	ReasonTooLarge           Reason = "body-too-large"
	ReasonUnknownModel       Reason = "unknown-model"
	ReasonUnknownProfile     Reason = "unknown-profile"
	ReasonUnknownService     Reason = "unknown-service"
	ReasonNotReady           Reason = "not-ready"
	ReasonTargetUnreachable  Reason = "target-unreachable"
	ReasonQueueFull          Reason = "queue-full"
	ReasonTimeout            Reason = "timeout"
	ReasonTeamRate           Reason = "team-rate-limit"
	ReasonTeamConcurrency    Reason = "team-concurrency-limit"
	ReasonServiceConcurrency Reason = "service-concurrency-limit"
	ReasonNoUpstream         Reason = "no-upstream"
	ReasonRetryBudget        Reason = "retry-budget-spent"
	ReasonUpstreamFailed     Reason = "upstream-failed"
	ReasonAnswerLost         Reason = "upstream-answer-lost"
	ReasonCallerLeft         Reason = "caller-left"
	ReasonClaimUnavailable   Reason = "claim-unavailable"
	ReasonKeyExpired         Reason = "idempotency-key-expired"
	ReasonKeyReused          Reason = "idempotency-key-reused"
	ReasonDuplicate          Reason = "duplicate-in-progress"
	ReasonRejected           Reason = "upstream-rejected"
	ReasonStreamCut          Reason = "stream-cut"
	ReasonUnknownRoute       Reason = "unknown-route"
	ReasonStaleState         Reason = "stale-state"
)

// Refusal is the error that ends a request which the router does not answer.
type Refusal struct {
	// Reason is the code.
	Reason Reason
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

// Refuse makes a refusal of a request that was not run.
func Refuse(reason Reason, message string, retryAfter time.Duration) *Refusal {
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
	// Kind is the kebab-case reason under which a retry is counted.
	Kind RetryReason
	// Load is what the upstream told of its load; nil where it told nothing.
	Load *LoadReport
	// Cause is the failure.
	Cause error
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("upstream %s: %s: %v", e.Upstream, e.Kind, e.Cause)
}

// Unwrap gives the failure.
func (e *AttemptError) Unwrap() error {
	return e.Cause
}

// RetryReason is the kebab-case reason of a retry.
type RetryReason string

// The reasons for retries.
const (
	RetryDialFailed     RetryReason = "dial-failed"
	RetryNotRun         RetryReason = "upstream-not-run"
	RetryStatus         RetryReason = "upstream-error-status"
	RetryConnectionLost RetryReason = "connection-lost"
	RetrySilent         RetryReason = "connection-silent"
	RetryPaused         RetryReason = "paused"
	RetryHedge          RetryReason = "hedged"
	RetryBadAnswer      RetryReason = "malformed-answer"
	RetryForeignAnswer  RetryReason = "foreign-answer"
	RetryMisdirected    RetryReason = "instance-replaced"
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
