package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// Forward implements quetzalroad.Forwarder.
func (d *Dispatcher) Forward(ctx context.Context, f *quetzalroad.ForwardRequest, sink quetzalroad.ForwardSink) error {
	defer d.trackRequest()()
	if refusal := d.checkTimeLeft(&f.Request); refusal != nil {
		return refusal
	}
	deadlineCtx, cancel := d.begin(ctx, &f.Request)
	defer cancel()
	service, ok := d.node.Directory.Service(pickService(f.Route.TrafficSplit))
	if !ok {
		return noUpstreamRefusal()
	}
	f.Service = service
	f.BeginsStream = f.Route.Streaming && f.Route.Resumable
	if refusal := d.findOrigin(deadlineCtx, f); refusal != nil {
		return refusal
	}
	d.beginDemand(f)
	err := d.forwardToService(ctx, deadlineCtx, f, sink)
	d.endDemand(f, err)
	return err
}

// forwardToService runs a request until deadlineCtx ends. ctx ends when the caller disconnects.
func (d *Dispatcher) forwardToService(ctx, deadlineCtx context.Context, f *quetzalroad.ForwardRequest, sink quetzalroad.ForwardSink) error {
	suspects := suspectsOf(f)
	if refusal := d.checkQuarantine(f, suspects); refusal != nil {
		return refusal
	}
	held, err := d.admit(deadlineCtx, &f.Request)
	if err != nil {
		return err
	}
	run := &forwardRun{dispatcher: d, request: f, suspects: suspects, reservation: held, sink: sink, callerCtx: ctx, lastEventID: f.LastEventID}
	defer func() { held.release(run.eventCount) }()
	runCtx := deadlineCtx
	if !f.Idempotent && !f.Route.Streaming {
		// A non-idempotent request keeps running if its caller disconnects, because cancelling it
		// would leave its outcome unknown.
		var cancelRun context.CancelFunc
		runCtx, cancelRun = d.begin(context.WithoutCancel(ctx), &f.Request)
		defer cancelRun()
	}
	err = run.runAttempts(runCtx)
	run.recordStreamEnd(err)
	return err
}

// pickService chooses one of a route's services at random, by weight.
func pickService(services []quetzalroad.WeightedService) quetzalroad.ServiceName {
	totalWeight := 0
	for _, s := range services {
		totalWeight += s.Weight
	}
	if totalWeight <= 0 {
		return ""
	}
	draw := rand.IntN(totalWeight)
	for _, s := range services {
		if draw < s.Weight {
			return s.Service
		}
		draw -= s.Weight
	}
	return ""
}

// forwardRun is the state of one forwarded request across all its attempts.
type forwardRun struct {
	dispatcher *Dispatcher
	request    *quetzalroad.ForwardRequest
	// suspects are what of the request may crash upstreams.
	suspects    []quetzalroad.PromptSegment
	reservation reservation
	sink        quetzalroad.ForwardSink
	// callerCtx ends when the caller disconnects.
	callerCtx context.Context
	history   attemptHistory
	// responseStarted is set once a part of the response was passed to the sink.
	responseStarted bool
	// lastEventID is the id of the last event that the caller has received.
	lastEventID int64
	// eventStep is the rise between the ids of two events of the stream; zero until it is known.
	eventStep int64
	// eventCount counts the events relayed; each is charged to the team as one token.
	eventCount int
	// streamRecorded is set once it was recorded at which software version the stream began.
	streamRecorded bool
	// unnumberedEvents counts the relayed events that have no id.
	unnumberedEvents int
	// head is that of the last response that was received.
	head quetzalroad.ResponseHead
	// status is the response's HTTP status, and timeToFirstByte the time from the request's arrival
	// to the first data; both are zero before that.
	status          int
	timeToFirstByte time.Duration
	// longestGap is the longest time between two events that the caller received.
	longestGap time.Duration
	// rateLimit is what the last response stated; nil if there was none, or no clear statement.
	rateLimit *quetzalroad.RateLimit
	// usageCounted is set once the request was counted for its team.
	usageCounted bool
	// attempt is the progress of the current attempt.
	attempt attemptProgress
}

func (r *forwardRun) runAttempts(ctx context.Context) error {
	d := r.dispatcher
	d.node.RetryPolicy.RecordFirstAttempt(time.Now(), r.request.Service.Name)
	for {
		if refusal := d.checkQuarantine(r.request, r.suspects); refusal != nil {
			return r.withOutcome(refusal)
		}
		u, refusal := d.chooseUpstream(&r.request.Request, r.reservation, r.history.failedUpstreams)
		if refusal != nil {
			return r.withOutcome(refusal)
		}
		r.history.attempts++
		r.logUpstreamChosen(u)
		err := r.runAttempt(ctx, u)
		if err == nil {
			r.logAnswered(u)
			return nil
		}
		if errors.As(err, &refusal) {
			return r.withOutcome(refusal)
		}
		if err := r.prepareRetry(ctx, asAttemptError(u.Name, err)); err != nil {
			return err
		}
	}
}

// logUpstreamChosen logs the chosen upstream and its load estimate.
func (r *forwardRun) logUpstreamChosen(u quetzalroad.Upstream) {
	d := r.dispatcher
	f := r.request
	estimate := d.node.LoadTracker.Estimate(u.Name, time.Now())
	d.logger.Info("upstream chosen", "request-id", string(f.ID), "attempt", r.history.attempts, "upstream", string(u.Name),
		"route", string(f.Route.Name), "service", string(f.Service.Name), "team", string(f.Team.Name), "tier", int(f.Profile.Tier),
		"prompt-tokens", f.PromptTokens, "running", estimate.Running, "own", estimate.LocalRunning, "report-age", estimate.ReportAge, "suspect", estimate.Suspect,
		"after-event", r.lastEventID, "state-version", d.node.Freshness.Version(), "state-age", d.node.Freshness.Age())
}

func (r *forwardRun) logAnswered(u quetzalroad.Upstream) {
	f := r.request
	attributes := []any{
		"request-id", string(f.ID), "upstream", string(u.Name), "attempts", r.history.attempts,
		"status", r.status, "first-after", r.timeToFirstByte, "took", time.Since(f.Arrived), "events", r.eventCount, "longest-gap", r.longestGap,
		"event-stream", r.head.EventStream, "unnumbered-events", r.unnumberedEvents, "unframed", r.head.Unframed, "reused-connection", r.head.ReusedConnection,
	}
	if r.rateLimit != nil && r.rateLimit.IsSet {
		attributes = append(attributes, "told-rate-limit", r.rateLimit.PerSecond)
	}
	r.dispatcher.logger.Info("request answered", attributes...)
}

// withOutcome sets the outcome to unknown if any attempt may have run the request.
func (r *forwardRun) withOutcome(refusal *quetzalroad.Refusal) *quetzalroad.Refusal {
	if r.history.mayHaveRun {
		refusal.Outcome = quetzalroad.OutcomeUnknown
	}
	return refusal
}

// prepareRetry decides whether to retry. A started stream is continued on another upstream only if
// its route is resumable, and the number of upstreams that may run the request is limited by the
// route.
func (r *forwardRun) prepareRetry(ctx context.Context, failure *quetzalroad.AttemptError) error {
	if r.attempt.exitedUpstream {
		r.history.mayHaveRun = true
		r.dispatcher.logFailure(&r.request.Request, failure)
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonUpstreamExited, Message: "the upstream exited as it began to answer the request, which is therefore not sent to another one", Outcome: quetzalroad.OutcomeUnknown, Cause: failure}
	}
	if r.responseStarted && !r.request.Route.Resumable {
		r.history.mayHaveRun = true
		r.dispatcher.logFailure(&r.request.Request, failure)
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonStreamInterrupted, Message: "the answer broke off and can't be taken up again", Outcome: quetzalroad.OutcomeUnknown, Cause: failure}
	}
	if !failure.NotRun && r.history.possibleRuns+1 >= r.request.Route.MaxExecutions && ctx.Err() == nil {
		r.history.mayHaveRun = true
		r.dispatcher.logFailure(&r.request.Request, failure)
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonUpstreamResponseLost, Message: "the upstream may have run the request, and no other may", Outcome: quetzalroad.OutcomeUnknown, Cause: failure}
	}
	return r.dispatcher.prepareRetry(ctx, &r.request.Request, &r.history, failure)
}

// runAttempt sends the request to one upstream and relays the response.
func (r *forwardRun) runAttempt(ctx context.Context, u quetzalroad.Upstream) error {
	d := r.dispatcher
	d.node.Recorder.CountAttempt()
	start := time.Now()
	r.attempt = attemptProgress{startedAt: start, exposed: d.node.Quarantine.Expose(r.suspects)}
	d.node.LoadTracker.BeginAttempt(u.Name, start)
	err := r.exchange(ctx, u, start)
	d.node.LoadTracker.EndAttempt(u.Name, time.Now(), r.isUpstreamFault(ctx, err))
	r.recordForQuarantine(ctx, u, err)
	return err
}

// isUpstreamFault reports whether the upstream caused an attempt to fail. Declining a request is not
// a fault, and a lack of memory is one of this node.
func (r *forwardRun) isUpstreamFault(ctx context.Context, err error) bool {
	var failure *quetzalroad.AttemptError
	if ctx.Err() != nil || !errors.As(err, &failure) {
		return false
	}
	return failure.RetryReason != quetzalroad.RetryNotRun && failure.RetryReason != quetzalroad.RetryBuffersFull
}

// exchange sends the request and relays the response, unless it must not be relayed or is retried.
func (r *forwardRun) exchange(ctx context.Context, u quetzalroad.Upstream, start time.Time) error {
	d := r.dispatcher
	a := &quetzalroad.Attempt{
		Upstream: u, Request: r.request, ResumeAfter: r.lastEventID, NewConnection: slices.Contains(r.history.failedUpstreams, u.Name),
		BeforeSend: func() error { return r.checkBeforeSend(u) },
	}
	response, err := d.node.ForwardClient.Send(ctx, a)
	if err != nil {
		failure := asAttemptError(u.Name, err)
		r.attempt.responded = failure.ResponseBegun
		r.recordLoad(u, failure.LoadReport)
		r.recordRateLimit(u, failure.RateLimit)
		r.recordAvailability(u, failure.Leaving, failure.RetryAfter)
		if !failure.NotRun && failure.RetryReason == quetzalroad.RetryConnectionLost && ctx.Err() == nil {
			// Most requests whose response is lost were running.
			r.countRun()
		}
		return err
	}
	defer response.Close()
	head := response.Head()
	r.head = head
	r.attempt.responded, r.attempt.eventStream = true, head.EventStream
	r.recordLoad(u, head.LoadReport)
	r.recordRateLimit(u, head.RateLimit)
	r.recordAvailability(u, head.Leaving, head.RetryAfter)
	if impliesNotRun(head.Status) {
		return &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryErrorStatus, Cause: errors.Newf("status %d without confirmation that the request was not run", head.Status)}
	}
	if !head.EventStream {
		r.countRun()
	}
	if r.responseStarted && (!head.EventStream || head.Status != r.status) {
		return &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryErrorStatus, Cause: errors.Newf("status %d instead of the rest of the stream", head.Status)}
	}
	if head.Status >= http.StatusInternalServerError && r.acquireRetry() {
		return &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryErrorStatus, Cause: errors.Newf("status %d", head.Status)}
	}
	if head.EventStream {
		return r.relayEvents(ctx, u, start, response)
	}
	return r.relayBuffered(ctx, u, start, response)
}

func (r *forwardRun) recordLoad(u quetzalroad.Upstream, load *quetzalroad.LoadReport) {
	if load != nil {
		r.dispatcher.node.LoadTracker.UpdateReport(u.Name, load.MeasuredAt, *load)
	}
}

// impliesNotRun reports whether a status states that the request was not run. Such a response is not
// relayed, because callers may be told this only when it is known to be true.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// acquireRetry reports whether a 5xx response is to be discarded and the request retried, and takes
// the retry from the retry policy.
func (r *forwardRun) acquireRetry() bool {
	f := r.request
	if !f.Idempotent || r.responseStarted || r.history.possibleRuns+1 >= f.Route.MaxExecutions {
		return false
	}
	_, r.history.retryGranted = r.dispatcher.node.RetryPolicy.AllowRetry(time.Now(), f.Service.Name, r.history.attempts)
	return r.history.retryGranted
}

var (
	errKeyRevoked         = errors.New("the key is no longer valid")
	errStaleState         = errors.New("the view of the published state is too old")
	errCallerDisconnected = errors.New("the caller disconnected before the request was sent")
	errUpstreamDraining   = errors.New("the upstream started draining or was removed before the request was sent")
)

// checkBeforeSend checks, immediately before sending, the conditions that may have changed while the
// request was queued, and returns an error if the request must not be sent.
func (r *forwardRun) checkBeforeSend(u quetzalroad.Upstream) error {
	d := r.dispatcher
	f := r.request
	if r.callerCtx.Err() != nil {
		return errCallerDisconnected
	}
	if f.HasKey {
		if !d.node.Freshness.IsFresh() {
			return &quetzalroad.Refusal{Reason: quetzalroad.ReasonStaleState, Message: errStaleState.Error(), RetryAfter: staleStateRetryAfter, Outcome: quetzalroad.OutcomeNotRun, Cause: errStaleState}
		}
		if team, ok := d.node.Directory.TeamByKey(f.Key); !ok || team.Name != f.Team.Name {
			return &quetzalroad.Refusal{Reason: quetzalroad.ReasonUnauthorized, Message: errKeyRevoked.Error(), Outcome: quetzalroad.OutcomeNotRun, Cause: errKeyRevoked}
		}
	}
	if current, ok := d.node.Directory.Upstream(u.Name); !ok || current.Draining {
		return errUpstreamDraining
	}
	if refusal := d.checkQuarantine(f, r.suspects); refusal != nil {
		return refusal
	}
	return nil
}

// staleStateRetryAfter is the retry delay suggested when this node's state is stale; the retry may
// reach another node.
const staleStateRetryAfter = 50 * time.Millisecond
