package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// Forward implements quetzalroad.Forwarder.
func (d *Dispatcher) Forward(ctx context.Context, f *quetzalroad.ForwardRequest, sink quetzalroad.ForwardSink) error {
	defer d.begin()()
	bounded, cancel := bound(ctx, &f.Request)
	defer cancel()
	service, ok := d.node.Directory.Service(pick(f.Route.TrafficSplit))
	if !ok {
		return noUpstream()
	}
	f.Service = service
	p, err := d.enter(bounded, &f.Request)
	if err != nil {
		return err
	}
	r := &forwardRun{dispatcher: d, forwarding: f, place: p, sink: sink, caller: ctx, last: f.LastEventID}
	defer func() { p.leave(r.pieces) }()
	run := bounded
	if !f.Idempotent && !f.Route.Streaming {
		// The work of a request that can't be repeated goes on when its caller
		// leaves, as breaking it off would leave its outcome open.
		var stop context.CancelFunc
		run, stop = bound(context.WithoutCancel(ctx), &f.Request)
		defer stop()
	}
	return r.serve(run)
}

// pick draws one of a route's services by weight.
func pick(shares []quetzalroad.WeightedService) quetzalroad.ServiceName {
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	drawn := rand.IntN(total)
	for _, s := range shares {
		if drawn < s.Weight {
			return s.Service
		}
		drawn -= s.Weight
	}
	return ""
}

// forwardRun is the run of one forwarding over its attempts.
type forwardRun struct {
	dispatcher *Dispatcher
	forwarding *quetzalroad.ForwardRequest
	place      place
	sink       quetzalroad.ForwardSink
	// caller ends when the caller leaves.
	caller context.Context
	tries  tries
	// begun tells that the caller got a part of the answer.
	begun bool
	// last is the id of the last event that the caller has.
	last int64
	// pieces counts the events passed on.
	pieces int
	// status is that of the answer, and firstAfter the time from the request's
	// arrival to the first piece; both are zero before.
	status     int
	firstAfter time.Duration
}

func (r *forwardRun) serve(ctx context.Context) error {
	d := r.dispatcher
	d.node.RetryPolicy.RecordFirstAttempt(time.Now(), r.forwarding.Service.Name)
	for {
		u, ok := d.choose(&r.forwarding.Request, r.place, r.tries.tried)
		if !ok {
			return r.settle(noUpstream())
		}
		r.tries.count++
		r.logChoice(u)
		err := r.attempt(ctx, u)
		if err == nil {
			r.logAnswer(u)
			return nil
		}
		var refusal *quetzalroad.Refusal
		if errors.As(err, &refusal) {
			return r.settle(refusal)
		}
		if err := r.again(ctx, attemptError(u.Name, err)); err != nil {
			return err
		}
	}
}

// logChoice tells which upstream was chosen and what was believed of it.
func (r *forwardRun) logChoice(u quetzalroad.Upstream) {
	d := r.dispatcher
	f := r.forwarding
	e := d.node.LoadTracker.Estimate(u.Name, time.Now())
	d.logger.Info("upstream chosen", "request-id", string(f.ID), "attempt", r.tries.count, "upstream", string(u.Name),
		"route", string(f.Route.Name), "service", string(f.Service.Name), "team", string(f.Team.Name), "tier", int(f.Profile.Tier),
		"prompt-tokens", f.PromptTokens, "running", e.Running, "own", e.LocalRunning, "report-age", e.ReportAge, "suspect", e.Suspect,
		"after-event", r.last, "state-version", d.node.Freshness.Version(), "state-age", d.node.Freshness.Age())
}

// logAnswer tells how a request was answered.
func (r *forwardRun) logAnswer(u quetzalroad.Upstream) {
	f := r.forwarding
	r.dispatcher.logger.Info("request answered", "request-id", string(f.ID), "upstream", string(u.Name), "attempts", r.tries.count,
		"status", r.status, "first-after", r.firstAfter, "took", time.Since(f.Arrived), "events", r.pieces)
}

// settle gives a refusal the outcome of all attempts.
func (r *forwardRun) settle(refusal *quetzalroad.Refusal) *quetzalroad.Refusal {
	if r.tries.ran {
		refusal.Outcome = quetzalroad.OutcomeUnknown
	}
	return refusal
}

// again decides on another attempt. A stream that has begun goes on elsewhere
// only where it may be resumed, and no more upstreams may run the request than
// its route allows.
func (r *forwardRun) again(ctx context.Context, failure *quetzalroad.AttemptError) error {
	if r.begun && !r.forwarding.Route.Resumable {
		r.tries.ran = true
		r.dispatcher.logFailure(&r.forwarding.Request, failure)
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonStreamInterrupted, Message: "the answer broke off and can't be taken up again", Outcome: quetzalroad.OutcomeUnknown, Cause: failure}
	}
	if !failure.NotRun && r.tries.runs+1 >= r.forwarding.Route.MaxExecutions && ctx.Err() == nil {
		r.tries.ran = true
		r.dispatcher.logFailure(&r.forwarding.Request, failure)
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonUpstreamResponseLost, Message: "the upstream may have run the request, and no other may", Outcome: quetzalroad.OutcomeUnknown, Cause: failure}
	}
	return r.dispatcher.again(ctx, &r.forwarding.Request, &r.tries, failure)
}

// attempt sends the request to one upstream and hands its answer on.
func (r *forwardRun) attempt(ctx context.Context, u quetzalroad.Upstream) error {
	d := r.dispatcher
	d.node.Recorder.CountAttempt()
	began := time.Now()
	d.node.LoadTracker.BeginAttempt(u.Name, began)
	err := r.exchange(ctx, u, began)
	d.node.LoadTracker.EndAttempt(u.Name, time.Now(), r.blames(ctx, err))
	return err
}

// blames tells that an attempt's failure is its upstream's.
func (r *forwardRun) blames(ctx context.Context, err error) bool {
	var failure *quetzalroad.AttemptError
	if ctx.Err() != nil || !errors.As(err, &failure) {
		return false
	}
	return failure.RetryReason != quetzalroad.RetryNotRun
}

func (r *forwardRun) exchange(ctx context.Context, u quetzalroad.Upstream, began time.Time) error {
	d := r.dispatcher
	a := &quetzalroad.Attempt{
		Upstream: u, Request: r.forwarding, ResumeAfter: r.last,
		BeforeSend: func() error { return r.allowed(u) },
	}
	answer, err := d.node.ForwardClient.Send(ctx, a)
	if err != nil {
		r.report(u, attemptError(u.Name, err).LoadReport)
		return err
	}
	defer answer.Close()
	head := answer.Head()
	r.report(u, head.LoadReport)
	if promises(head.Status) {
		return &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryErrorStatus, Cause: errors.Newf("status %d without the word that the request was not run", head.Status)}
	}
	if r.begun && (!head.EventStream || head.Status != r.status) {
		return &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryErrorStatus, Cause: errors.Newf("status %d in place of the rest of a stream", head.Status)}
	}
	if head.Status >= http.StatusInternalServerError && r.repeats() {
		return &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryErrorStatus, Cause: errors.Newf("status %d", head.Status)}
	}
	if head.EventStream {
		return r.stream(u, began, answer)
	}
	return r.whole(u, began, answer)
}

func (r *forwardRun) report(u quetzalroad.Upstream, load *quetzalroad.LoadReport) {
	if load != nil {
		r.dispatcher.node.LoadTracker.UpdateReport(u.Name, load.MeasuredAt, *load)
	}
}

// promises tells that a status states that a request was not run, which a
// caller may only be told where it is known.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// repeats tells that another upstream is asked in place of an answer that tells
// of a failure: the request may be repeated and the retry policy grants it.
func (r *forwardRun) repeats() bool {
	f := r.forwarding
	if !f.Idempotent || r.begun || r.tries.runs+1 >= f.Route.MaxExecutions {
		return false
	}
	_, r.tries.granted = r.dispatcher.node.RetryPolicy.AllowRetry(time.Now(), f.Service.Name, r.tries.count)
	return r.tries.granted
}

var (
	errKeyGone   = errors.New("the key is no longer valid")
	errStaleView = errors.New("the view of the published state is too old")
	errLeft      = errors.New("the caller left before the request was sent")
	errLeaving   = errors.New("the upstream began to leave before the request was sent")
)

// allowed looks again, immediately before sending, at what may have changed
// while the request waited.
func (r *forwardRun) allowed(u quetzalroad.Upstream) error {
	d := r.dispatcher
	f := r.forwarding
	if r.caller.Err() != nil {
		return errLeft
	}
	if f.HasKey {
		if !d.node.Freshness.IsFresh() {
			return &quetzalroad.Refusal{Reason: quetzalroad.ReasonStaleState, Message: errStaleView.Error(), RetryAfter: staleRetry, Outcome: quetzalroad.OutcomeNotRun, Cause: errStaleView}
		}
		if team, ok := d.node.Directory.TeamByKey(f.Key); !ok || team.Name != f.Team.Name {
			return &quetzalroad.Refusal{Reason: quetzalroad.ReasonUnauthorized, Message: errKeyGone.Error(), Outcome: quetzalroad.OutcomeNotRun, Cause: errKeyGone}
		}
	}
	if now, ok := d.node.Directory.Upstream(u.Name); !ok || now.Draining {
		return errLeaving
	}
	return nil
}

// staleRetry is when a caller may try another node after this one found its
// view too old.
const staleRetry = 50 * time.Millisecond
