// Package dispatcher runs requests from admission to the response: it acquires limits, chooses an
// upstream, and retries, resumes and hedges attempts.
package dispatcher

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotDispatcher, Name: "dispatcher", Default: true,
		New: func() kernel.Component { return new(Dispatcher) },
	})
}

// Dispatcher implements quetzalroad.Dispatcher, quetzalroad.Forwarder and quetzalroad.RouteExplainer.
type Dispatcher struct {
	node   *kernel.Node
	logger *slog.Logger
	// inFlight counts the running requests. idle, which is buffered, is signalled when the count
	// drops to zero.
	inFlight   atomic.Int64
	idle       chan struct{}
	exitChecks exitChecks
	endings    endings
}

// Declare implements kernel.Component.
func (d *Dispatcher) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (d *Dispatcher) Build(n *kernel.Node) error {
	d.node = n
	d.logger = n.Logger
	d.idle = make(chan struct{}, 1)
	n.Dispatcher = d
	n.Forwarder = d
	n.RouteExplainer = d
	n.AddInFlightCounter(d.inFlightCount)
	n.OnStop(d.drain)
	context.AfterFunc(n.Ending(), d.endings.endAll)
	return nil
}

func (d *Dispatcher) inFlightCount() int {
	return int(d.inFlight.Load())
}

// trackRequest counts a request as running and returns the function to call when it has ended.
func (d *Dispatcher) trackRequest() func() {
	d.inFlight.Add(1)
	return d.finishRequest
}

func (d *Dispatcher) finishRequest() {
	if d.inFlight.Add(-1) > 0 {
		return
	}
	select {
	case d.idle <- struct{}{}:
	default:
	}
}

// drain waits until no request is running or ctx ends. It runs at a planned stop.
func (d *Dispatcher) drain(ctx context.Context) {
	for d.inFlight.Load() > 0 {
		select {
		case <-d.idle:
		case <-ctx.Done():
			return
		}
	}
}

// reservation holds the permit and the admission acquired by a running request.
type reservation struct {
	permit    quetzalroad.Permit
	admission quetzalroad.Admission
	// remoteUpstreams lists the upstreams in another data centre that the request was admitted to; it
	// is empty for a request admitted locally.
	remoteUpstreams []quetzalroad.Upstream
}

// admit acquires a permit from the limiter and waits for admission.
func (d *Dispatcher) admit(ctx context.Context, r *quetzalroad.Request) (reservation, error) {
	permit, err := d.node.Limiter.Acquire(time.Now(), r)
	if err != nil {
		return reservation{}, err
	}
	admission, err := d.node.Admitter.Admit(ctx, r)
	if err == nil {
		return reservation{permit: permit, admission: admission}, nil
	}
	if held, ok := d.admitRemote(r, err); ok {
		held.permit = permit
		return held, nil
	}
	permit.Release(time.Now(), 0)
	if ctx.Err() != nil && d.isEnding() {
		return reservation{}, d.contextRefusal(ctx, quetzalroad.OutcomeNotRun)
	}
	return reservation{}, err
}

// admitRemote requests admission to another data centre if the local one refused the request because
// the request's target can't be met there.
func (d *Dispatcher) admitRemote(r *quetzalroad.Request, localErr error) (reservation, bool) {
	var refusal *quetzalroad.Refusal
	if !errors.As(localErr, &refusal) || refusal.Reason != quetzalroad.ReasonTargetUnreachable {
		return reservation{}, false
	}
	remoteUpstreams, admission := d.node.Spiller.Spill(time.Now(), r)
	if admission == nil {
		return reservation{}, false
	}
	return reservation{admission: admission, remoteUpstreams: remoteUpstreams}, true
}

// release returns the admission and the permit and records the tokens used.
func (r reservation) release(tokens int) {
	r.admission.Release(tokens)
	r.permit.Release(time.Now(), tokens)
}

// begin returns a context that ends at the request's deadline, or when the node's planned stop is nearly over.
func (d *Dispatcher) begin(ctx context.Context, r *quetzalroad.Request) (context.Context, context.CancelFunc) {
	var cancel context.CancelFunc
	if deadline := r.Deadline(); !deadline.IsZero() {
		ctx, cancel = context.WithDeadline(ctx, deadline)
	} else {
		ctx, cancel = context.WithCancel(ctx)
	}
	return ctx, d.endings.add(cancel)
}

// chooseUpstream chooses an upstream that has not been tried, or any upstream if all have been. The
// first attempt of a request admitted to another data centre is restricted to its remoteUpstreams. It
// returns a refusal if there is no upstream, or none whose rate limit allows another request.
func (d *Dispatcher) chooseUpstream(r *quetzalroad.Request, held reservation, tried []quetzalroad.UpstreamName) (quetzalroad.Upstream, *quetzalroad.Refusal) {
	now := time.Now()
	candidates := d.findCandidates(now, r, held, tried)
	if len(candidates) == 0 {
		return quetzalroad.Upstream{}, d.noCandidateRefusal(now, r)
	}
	return d.acquireUpstream(now, r, candidates)
}

// findCandidates returns the upstreams among which chooseUpstream chooses.
func (d *Dispatcher) findCandidates(now time.Time, r *quetzalroad.Request, held reservation, tried []quetzalroad.UpstreamName) []quetzalroad.Upstream {
	candidates := held.remoteUpstreams
	if len(tried) > 0 || len(candidates) == 0 {
		candidates = d.node.CapacityEstimator.Candidates(now, r.Service.Name, tried)
	}
	candidates = d.ofVersion(r, candidates)
	if len(candidates) == 0 {
		candidates = d.ofVersion(r, d.node.CapacityEstimator.Candidates(now, r.Service.Name, nil))
	}
	if len(candidates) == 0 && r.HasVersion {
		candidates = d.remainingOfVersion(r)
	}
	return candidates
}

// noUpstreamRetryAfter is the retry delay suggested to callers when a service has no usable upstream.
const noUpstreamRetryAfter = 2 * time.Second

// versionOpensAfter is the retry delay suggested to callers whose streams wait for a software version to be open.
const versionOpensAfter = 500 * time.Millisecond

func noUpstreamRefusal() *quetzalroad.Refusal {
	return quetzalroad.NewRefusal(quetzalroad.ReasonNoUpstream, "no upstream of the service can take work", noUpstreamRetryAfter)
}

// noCandidateRefusal returns the refusal of a request that no upstream can run now.
func (d *Dispatcher) noCandidateRefusal(now time.Time, r *quetzalroad.Request) *quetzalroad.Refusal {
	switch {
	case r.HasVersion:
		return quetzalroad.NewRefusal(quetzalroad.ReasonNoUpstreamOfVersion, "no upstream of the software version that began the stream can take work", noUpstreamRetryAfter)
	case r.BeginsStream && len(d.node.CapacityEstimator.Candidates(now, r.Service.Name, nil)) > 0:
		return quetzalroad.NewRefusal(quetzalroad.ReasonVersionNotOpen, "streams may not begin yet at the software versions that can take work", versionOpensAfter)
	}
	return noUpstreamRefusal()
}

// contextRefusal returns the refusal for a request whose context has ended.
func (d *Dispatcher) contextRefusal(ctx context.Context, outcome quetzalroad.Outcome) *quetzalroad.Refusal {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonTimeout, Message: "the request ran out of time", Outcome: outcome}
	case d.isEnding():
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonNotReady, Message: "the node stops", RetryAfter: noUpstreamRetryAfter, Outcome: outcome, Cause: context.Cause(d.node.Ending())}
	}
	return &quetzalroad.Refusal{Reason: quetzalroad.ReasonCallerDisconnected, Message: "the caller left", Outcome: outcome}
}

// attemptHistory records the attempts of one request.
type attemptHistory struct {
	// attempts counts the attempts including the current one, but not preempted ones.
	attempts int
	// failedUpstreams lists the upstreams of failed attempts.
	failedUpstreams []quetzalroad.UpstreamName
	// mayHaveRun is set once an ended attempt or the current one may have run the request.
	mayHaveRun bool
	// retryGranted is set if the retry policy has already allowed the next attempt.
	retryGranted bool
	// possibleRuns counts the ended attempts that may have run the request.
	possibleRuns int
}

// outcome returns the outcome to report if the request is refused now.
func (h *attemptHistory) outcome() quetzalroad.Outcome {
	if h.mayHaveRun {
		return quetzalroad.OutcomeUnknown
	}
	return quetzalroad.OutcomeNotRun
}

// prepareRetry decides whether to retry after a failed attempt and waits for the backoff. It returns
// a refusal if the request is not retried.
func (d *Dispatcher) prepareRetry(ctx context.Context, r *quetzalroad.Request, history *attemptHistory, failure *quetzalroad.AttemptError) error {
	var rejected *quetzalroad.RejectedError
	if errors.As(failure.Cause, &rejected) {
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonUpstreamRejected, Message: "the upstream rejected the call", Outcome: history.outcome(), Cause: rejected}
	}
	var refusal *quetzalroad.Refusal
	if errors.As(failure.Cause, &refusal) {
		refusal.Outcome = history.outcome()
		return refusal
	}
	d.logFailure(r, failure)
	if !failure.NotRun {
		history.possibleRuns++
		if history.possibleRuns > 1 && !r.Idempotent {
			d.node.Recorder.RecordViolation("at-most-once", "request "+string(r.ID)+" may have run twice")
		}
		history.mayHaveRun = true
	}
	if ctx.Err() != nil {
		return d.contextRefusal(ctx, history.outcome())
	}
	if history.mayHaveRun && !r.Idempotent {
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonUpstreamResponseLost, Message: "the upstream may have run the request, and its answer was lost", Outcome: quetzalroad.OutcomeUnknown, Cause: failure}
	}
	backoff, retry := time.Duration(0), history.retryGranted || (failure.Unsent && history.attempts < maxUnsentAttempts)
	history.retryGranted = false
	if !retry {
		backoff, retry = d.node.RetryPolicy.AllowRetry(time.Now(), r.Service.Name, history.attempts)
	}
	if !retry {
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonUpstreamFailed, Message: "the attempts on the service's upstreams failed", RetryAfter: time.Second, Outcome: history.outcome(), Cause: failure}
	}
	history.failedUpstreams = append(history.failedUpstreams, failure.Upstream)
	d.node.Recorder.CountRetry(failure.RetryReason)
	return d.waitBackoff(ctx, backoff, history.outcome())
}

// logFailure counts and logs a failed attempt, with the upstream's load if it reported one.
func (d *Dispatcher) logFailure(r *quetzalroad.Request, failure *quetzalroad.AttemptError) {
	d.node.Recorder.CountFailure(failure.RetryReason)
	attributes := []any{
		"request-id", string(r.ID), "upstream", string(failure.Upstream), "reason", string(failure.RetryReason), "not-run", failure.NotRun, "error", failure.Cause,
	}
	if failure.LoadReport != nil {
		attributes = append(attributes, "told-running", failure.LoadReport.Running, "told-waiting", failure.LoadReport.Waiting)
	}
	if failure.RateLimit != nil && failure.RateLimit.IsSet {
		attributes = append(attributes, "told-rate-limit", failure.RateLimit.PerSecond)
	}
	d.logger.Warn("attempt failed", attributes...)
}

func (d *Dispatcher) waitBackoff(ctx context.Context, backoff time.Duration, outcome quetzalroad.Outcome) error {
	if sleeper.Sleep(ctx, backoff) != nil {
		return d.contextRefusal(ctx, outcome)
	}
	return nil
}

// maxUnsentAttempts is the number of attempts below which a request is retried without spending retry
// budget if the last attempt sent nothing to an upstream.
const maxUnsentAttempts = 4

// asAttemptError returns err as an AttemptError, treating other errors as a lost connection.
func asAttemptError(u quetzalroad.UpstreamName, err error) *quetzalroad.AttemptError {
	var failure *quetzalroad.AttemptError
	if errors.As(err, &failure) {
		return failure
	}
	return &quetzalroad.AttemptError{Upstream: u, RetryReason: quetzalroad.RetryConnectionLost, Cause: err}
}
