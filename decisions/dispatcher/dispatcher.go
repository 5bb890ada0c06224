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
	// open counts the requests under way. ended gets a word, which may wait there,
	// when the last one has ended.
	open  atomic.Int64
	ended chan struct{}
}

// Declare implements kernel.Component.
func (d *Dispatcher) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (d *Dispatcher) Build(n *kernel.Node) error {
	d.node = n
	d.logger = n.Logger
	d.ended = make(chan struct{}, 1)
	n.Dispatcher = d
	n.Forwarder = d
	n.AddInFlightCounter(d.count)
	n.OnStop(d.drain)
	return nil
}

func (d *Dispatcher) count() int {
	return int(d.open.Load())
}

// begin notes that a request is under way; the function it gives notes its
// end.
func (d *Dispatcher) begin() func() {
	d.open.Add(1)
	return d.end
}

func (d *Dispatcher) end() {
	if d.open.Add(-1) > 0 {
		return
	}
	select {
	case d.ended <- struct{}{}:
	default:
	}
}

// drain waits for the last request, however long, for a planned stop.
func (d *Dispatcher) drain(ctx context.Context) {
	for d.open.Load() > 0 {
		select {
		case <-d.ended:
		case <-ctx.Done():
			return
		}
	}
}

// place is what a running request holds.
type place struct {
	grant     quetzalroad.Permit
	admission quetzalroad.Admission
	// far lists the upstreams of another data centre that the request was
	// admitted to; empty for the usual ones.
	far []quetzalroad.Upstream
}

// enter takes a request through the limits and the queue.
func (d *Dispatcher) enter(ctx context.Context, r *quetzalroad.Request) (place, error) {
	grant, err := d.node.Limiter.Acquire(time.Now(), r)
	if err != nil {
		return place{}, err
	}
	admission, err := d.node.Admitter.Admit(ctx, r)
	if err == nil {
		return place{grant: grant, admission: admission}, nil
	}
	if p, ok := d.spill(r, err); ok {
		p.grant = grant
		return p, nil
	}
	grant.Release(time.Now(), 0)
	return place{}, err
}

// spill looks for room in another data centre where a request's own has none
// within its target.
func (d *Dispatcher) spill(r *quetzalroad.Request, refused error) (place, bool) {
	var refusal *quetzalroad.Refusal
	if !errors.As(refused, &refusal) || refusal.Reason != quetzalroad.ReasonTargetUnreachable {
		return place{}, false
	}
	far, admission := d.node.Spiller.Spill(time.Now(), r)
	if admission == nil {
		return place{}, false
	}
	return place{admission: admission, far: far}, true
}

// leave gives back what a request held.
func (p place) leave(tokens int) {
	p.admission.Release(tokens)
	p.grant.Release(time.Now(), tokens)
}

// bound gives a context that ends with the request's deadline.
func bound(ctx context.Context, r *quetzalroad.Request) (context.Context, context.CancelFunc) {
	if deadline := r.Deadline(); !deadline.IsZero() {
		return context.WithDeadline(ctx, deadline)
	}
	return context.WithCancel(ctx)
}

// choose picks an upstream that wasn't tried yet, or where all were, any.
func (d *Dispatcher) choose(r *quetzalroad.Request, p place, tried []quetzalroad.UpstreamName) (quetzalroad.Upstream, bool) {
	now := time.Now()
	candidates := p.far
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

// noUpstreamRetry is the pause suggested when a service has no usable
// upstream.
const noUpstreamRetry = 2 * time.Second

func noUpstream() *quetzalroad.Refusal {
	return quetzalroad.NewRefusal(quetzalroad.ReasonNoUpstream, "no upstream of the service can take work", noUpstreamRetry)
}

// ended turns the end of a request's context into a refusal.
func ended(ctx context.Context, outcome quetzalroad.Outcome) *quetzalroad.Refusal {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonTimeout, Message: "the request ran out of time", Outcome: outcome}
	}
	return &quetzalroad.Refusal{Reason: quetzalroad.ReasonCallerDisconnected, Message: "the caller left", Outcome: outcome}
}

// tries follows the attempts of one request.
type tries struct {
	count int
	// tried lists the upstreams of failed attempts.
	tried []quetzalroad.UpstreamName
	// ran tells that some of it may have been run, by an ended attempt or by
	// the current one.
	ran bool
	// granted tells that the retry policy allowed the next attempt already.
	granted bool
	// runs counts the ended attempts that may have been run.
	runs int
}

// outcome is what a refused request may be told.
func (t *tries) outcome() quetzalroad.Outcome {
	if t.ran {
		return quetzalroad.OutcomeUnknown
	}
	return quetzalroad.OutcomeNotRun
}

// again decides after a failed attempt whether another follows, and waits for
// the pause before it. The error is a refusal.
func (d *Dispatcher) again(ctx context.Context, r *quetzalroad.Request, t *tries, failure *quetzalroad.AttemptError) error {
	var rejected *quetzalroad.RejectedError
	if errors.As(failure.Cause, &rejected) {
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonUpstreamRejected, Message: "the upstream rejected the call", Outcome: t.outcome(), Cause: rejected}
	}
	var refusal *quetzalroad.Refusal
	if errors.As(failure.Cause, &refusal) {
		refusal.Outcome = t.outcome()
		return refusal
	}
	d.logFailure(r, failure)
	if !failure.NotRun {
		t.runs++
		if t.runs > 1 && !r.Idempotent {
			d.node.Recorder.RecordViolation("at-most-once", "request "+string(r.ID)+" may have run twice")
		}
		t.ran = true
	}
	if ctx.Err() != nil {
		return ended(ctx, t.outcome())
	}
	if t.ran && !r.Idempotent {
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonUpstreamResponseLost, Message: "the upstream may have run the request, and its answer was lost", Outcome: quetzalroad.OutcomeUnknown, Cause: failure}
	}
	pause, ok := time.Duration(0), t.granted || (failure.Unsent && t.count < maxUnsent)
	t.granted = false
	if !ok {
		pause, ok = d.node.RetryPolicy.AllowRetry(time.Now(), r.Service.Name, t.count)
	}
	if !ok {
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonUpstreamFailed, Message: "the attempts on the service's upstreams failed", RetryAfter: time.Second, Outcome: t.outcome(), Cause: failure}
	}
	t.tried = append(t.tried, failure.Upstream)
	d.node.Recorder.CountRetry(failure.RetryReason)
	return d.pause(ctx, pause, t.outcome())
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

func (d *Dispatcher) pause(ctx context.Context, pause time.Duration, outcome quetzalroad.Outcome) error {
	if sleeper.Sleep(ctx, pause) != nil {
		return ended(ctx, outcome)
	}
	return nil
}

// maxUnsent bounds the attempts of a request after failures that reached no
// upstream and so spend no budget.
const maxUnsent = 4

// attemptError gives the failure of an attempt in its own type.
func attemptError(u quetzalroad.UpstreamName, err error) *quetzalroad.AttemptError {
	var failure *quetzalroad.AttemptError
	if errors.As(err, &failure) {
		return failure
	}
	return &quetzalroad.AttemptError{Upstream: u, RetryReason: quetzalroad.RetryConnectionLost, Cause: err}
}
