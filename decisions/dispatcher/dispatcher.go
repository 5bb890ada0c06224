// Package dispatcher takes requests from the limits over admission and the
// choice of an upstream to their answer, with retries, resumptions and hedges.
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

// Dispatcher is the part that carries requests.
type Dispatcher struct {
	node   *kernel.Node
	logger *slog.Logger
	// inFlight counts the requests under way. ended gets a word, which may wait there,
	// when the last one has ended.
	inFlight atomic.Int64
	idle     chan struct{}
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
	n.AddInFlightCounter(d.inFlightCount)
	n.OnStop(d.drain)
	return nil
}

func (d *Dispatcher) inFlightCount() int {
	return int(d.inFlight.Load())
}

// trackRequest notes that a request is under way; the function it gives notes its
// end.
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

// drain waits for the last request, however long, for a planned stop.
func (d *Dispatcher) drain(ctx context.Context) {
	for d.inFlight.Load() > 0 {
		select {
		case <-d.idle:
		case <-ctx.Done():
			return
		}
	}
}

// reservation is what a running request holds.
type reservation struct {
	permit    quetzalroad.Permit
	admission quetzalroad.Admission
	// far lists the upstreams of another data centre that the request was
	// admitted to; empty for the usual ones.
	remoteUpstreams []quetzalroad.Upstream
}

// admit takes a request through the limits and the queue.
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
	return reservation{}, err
}

// admitRemote looks for room in another data centre where a request's own has none
// within its target.
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

// release gives back what a request held.
func (r reservation) release(tokens int) {
	r.admission.Release(tokens)
	r.permit.Release(time.Now(), tokens)
}

// withDeadline gives a context that ends with the request's deadline.
func withDeadline(ctx context.Context, r *quetzalroad.Request) (context.Context, context.CancelFunc) {
	if deadline := r.Deadline(); !deadline.IsZero() {
		return context.WithDeadline(ctx, deadline)
	}
	return context.WithCancel(ctx)
}

// chooseUpstream picks an upstream that wasn't tried yet, or where all were, any.
func (d *Dispatcher) chooseUpstream(r *quetzalroad.Request, held reservation, tried []quetzalroad.UpstreamName) (quetzalroad.Upstream, bool) {
	now := time.Now()
	candidates := held.remoteUpstreams
	if len(tried) > 0 || len(candidates) == 0 {
		candidates = d.node.CapacityEstimator.Candidates(now, r.Service.Name, tried)
	}
	if len(candidates) == 0 {
		candidates = d.node.CapacityEstimator.Candidates(now, r.Service.Name, nil)
	}
	if len(candidates) == 0 {
		return quetzalroad.Upstream{}, false
	}
	return d.node.Balancer.Choose(now, r, candidates), true
}

// noUpstreamRetryAfter is the pause suggested when a service has no usable
// upstream.
const noUpstreamRetryAfter = 2 * time.Second

func noUpstreamRefusal() *quetzalroad.Refusal {
	return quetzalroad.NewRefusal(quetzalroad.ReasonNoUpstream, "no upstream of the service can take work", noUpstreamRetryAfter)
}

// contextRefusal turns the end of a request's context into a refusal.
func contextRefusal(ctx context.Context, outcome quetzalroad.Outcome) *quetzalroad.Refusal {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonTimeout, Message: "the request ran out of time", Outcome: outcome}
	}
	return &quetzalroad.Refusal{Reason: quetzalroad.ReasonCallerDisconnected, Message: "the caller left", Outcome: outcome}
}

// attemptHistory follows the attempts of one request.
type attemptHistory struct {
	attempts int
	// failedUpstreams lists the upstreams of failed attempts.
	failedUpstreams []quetzalroad.UpstreamName
	// ran tells that some of it may have been run, by an ended attempt or by
	// the current one.
	mayHaveRun bool
	// retryGranted tells that the retry policy allowed the next attempt already.
	retryGranted bool
	// possibleRuns counts the ended attempts that may have been run.
	possibleRuns int
}

// outcome is what a refused request may be told.
func (h *attemptHistory) outcome() quetzalroad.Outcome {
	if h.mayHaveRun {
		return quetzalroad.OutcomeUnknown
	}
	return quetzalroad.OutcomeNotRun
}

// prepareRetry decides after a failed attempt whether another follows, and waits for
// the pause before it. The error is a refusal.
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
		return contextRefusal(ctx, history.outcome())
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

// logFailure tells how an attempt failed, with the load that the upstream told.
func (d *Dispatcher) logFailure(r *quetzalroad.Request, failure *quetzalroad.AttemptError) {
	attributes := []any{
		"request-id", string(r.ID), "upstream", string(failure.Upstream), "reason", string(failure.RetryReason), "not-run", failure.NotRun, "error", failure.Cause,
	}
	if failure.LoadReport != nil {
		attributes = append(attributes, "told-running", failure.LoadReport.Running, "told-waiting", failure.LoadReport.Waiting)
	}
	d.logger.Warn("attempt failed", attributes...)
}

func (d *Dispatcher) waitBackoff(ctx context.Context, backoff time.Duration, outcome quetzalroad.Outcome) error {
	if sleeper.Sleep(ctx, backoff) != nil {
		return contextRefusal(ctx, outcome)
	}
	return nil
}

// maxUnsentAttempts bounds the attempts of a request after failures that reached no
// upstream and so spend no budget.
const maxUnsentAttempts = 4

// asAttemptError gives the failure of an attempt in its own type.
func asAttemptError(u quetzalroad.UpstreamName, err error) *quetzalroad.AttemptError {
	var failure *quetzalroad.AttemptError
	if errors.As(err, &failure) {
		return failure
	}
	return &quetzalroad.AttemptError{Upstream: u, RetryReason: quetzalroad.RetryConnectionLost, Cause: err}
}
