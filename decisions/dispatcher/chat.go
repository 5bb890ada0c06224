package dispatcher

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/bufferer"
)

// errPreempted is the error of an attempt that was preempted by a higher tier.
var errPreempted = errors.New("preempted by a higher tier")

// chatRun is the state of one chat request across all its attempts.
type chatRun struct {
	dispatcher  *Dispatcher
	chat        *quetzalroad.ChatRequest
	sink        quetzalroad.ChatSink
	reservation reservation
	history     attemptHistory
	// deliveredText is the text written to the sink so far, deliveredTokens its number of tokens.
	deliveredText   strings.Builder
	deliveredTokens int
	// textReservation is for the text, here and where the sink collects it.
	textReservation bufferer.Reservation
	// generatedTokens counts the tokens of all attempts; wastedTokens counts those that were not
	// written to the sink, or all of them if the request fails.
	generatedTokens int
	wastedTokens    int
	// finished is set once the event with the finish reason was written.
	finished bool
}

const (
	// textCopies is how often the text of a completion may be in memory.
	textCopies = 2
	// freeTextBytes is the length of a text up to which it takes nothing from the budget for buffers.
	freeTextBytes = 16 << 10
)

// Chat implements quetzalroad.Dispatcher.
func (d *Dispatcher) Chat(ctx context.Context, c *quetzalroad.ChatRequest, sink quetzalroad.ChatSink) error {
	defer d.trackRequest()()
	if refusal := d.checkTimeLeft(&c.Request); refusal != nil {
		return refusal
	}
	ctx, cancel := d.begin(ctx, &c.Request)
	defer cancel()
	held, err := d.admit(ctx, &c.Request)
	if err != nil {
		return err
	}
	run := &chatRun{dispatcher: d, chat: c, sink: sink, reservation: held, textReservation: bufferer.Reservation{Budget: d.node.BufferBudget, Free: textCopies * freeTextBytes}}
	defer run.textReservation.Release()
	err = run.runAttempts(ctx)
	held.release(run.deliveredTokens)
	if err != nil {
		run.wastedTokens = run.generatedTokens
	} else {
		d.node.LengthEstimator.Observe(&c.Request, run.deliveredTokens)
	}
	d.node.Recorder.CountTokens(run.generatedTokens, run.wastedTokens)
	return err
}

// runAttempts repeats attempts until the response is complete or the request is refused.
func (r *chatRun) runAttempts(ctx context.Context) error {
	d := r.dispatcher
	d.node.RetryPolicy.RecordFirstAttempt(time.Now(), r.chat.Service.Name)
	for {
		u, refusal := d.chooseUpstream(&r.chat.Request, r.reservation, r.history.failedUpstreams)
		if refusal != nil {
			refusal.Outcome = r.history.outcome()
			return r.withOutcome(refusal)
		}
		r.history.attempts++
		err := r.runAttempt(ctx, u)
		if err == nil {
			return nil
		}
		if errors.Is(err, errPreempted) {
			if err := r.awaitResume(ctx); err != nil {
				return r.withOutcome(quetzalroad.AsRefusal(err))
			}
			continue
		}
		if err := r.prepareRetry(ctx, asAttemptError(u.Name, err)); err != nil {
			return r.withOutcome(quetzalroad.AsRefusal(err))
		}
	}
}

// awaitResume waits for a new admission after a preemption. The preempted attempt is not counted.
func (r *chatRun) awaitResume(ctx context.Context) error {
	r.dispatcher.node.Recorder.CountRetry(quetzalroad.RetryPreempted)
	r.history.mayHaveRun = true
	r.history.attempts--
	if err := r.reservation.admission.Resume(ctx); err != nil {
		refusal := quetzalroad.AsRefusal(err)
		refusal.Outcome = quetzalroad.OutcomeUnknown
		return refusal
	}
	return nil
}

// prepareRetry decides whether to retry after a failed attempt. A response that has started is
// continued only if it can be resumed from its text.
func (r *chatRun) prepareRetry(ctx context.Context, failure *quetzalroad.AttemptError) error {
	var refusal *quetzalroad.Refusal
	if r.deliveredTokens > 0 && !r.chat.Resumable && !errors.As(failure.Cause, &refusal) {
		r.dispatcher.logFailure(&r.chat.Request, failure)
		r.history.mayHaveRun = true
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonStreamInterrupted, Message: "the answer broke off and can't be resumed", Outcome: quetzalroad.OutcomeUnknown, Cause: failure}
	}
	return r.dispatcher.prepareRetry(ctx, &r.chat.Request, &r.history, failure)
}

// withOutcome sets the outcome to unknown if an attempt may have run, so that the refusal does not
// claim otherwise.
func (r *chatRun) withOutcome(refusal *quetzalroad.Refusal) error {
	if r.deliveredTokens > 0 || r.generatedTokens > 0 || r.history.mayHaveRun {
		refusal.Outcome = quetzalroad.OutcomeUnknown
	}
	return refusal
}

// resumePoint returns the point at which the next attempt continues the response.
func (r *chatRun) resumePoint() *quetzalroad.ResumePoint {
	if r.deliveredTokens == 0 {
		return nil
	}
	return &quetzalroad.ResumePoint{Text: r.deliveredText.String(), Tokens: r.deliveredTokens}
}

// runAttempt runs the chat on an upstream, hedged on a second one if the first token is late, and
// relays the events of the attempt that responds first.
func (r *chatRun) runAttempt(ctx context.Context, u quetzalroad.Upstream) error {
	if r.finished {
		return nil
	}
	winner, err := r.race(ctx, u)
	if err != nil {
		return err
	}
	err = r.relayResults(ctx, winner)
	winner.stop()
	r.recordWaste(winner)
	return err
}

// relayResults writes the events of an attempt to the sink.
func (r *chatRun) relayResults(ctx context.Context, a *chatAttempt) error {
	preempted := r.reservation.admission.Preempted()
	for {
		select {
		case result := <-a.results:
			complete, err := r.handleResult(ctx, a, result)
			if complete || err != nil {
				return err
			}
		case <-preempted:
			if r.chat.Resumable || r.deliveredTokens == 0 {
				return errPreempted
			}
			preempted = nil
		case <-ctx.Done():
			if r.finished {
				return nil
			}
			r.history.mayHaveRun = true
			return r.dispatcher.contextRefusal(ctx, quetzalroad.OutcomeUnknown)
		}
	}
}

// handleResult processes one stream result and reports whether the response is complete.
func (r *chatRun) handleResult(ctx context.Context, a *chatAttempt, result streamResult) (bool, error) {
	if result.handled != nil {
		defer close(result.handled)
	}
	if result.err != nil && r.finished {
		r.noteFailedEnd(ctx, a, result.err)
		return true, nil
	}
	if result.err != nil && ctx.Err() != nil {
		r.history.mayHaveRun = true
		return false, r.dispatcher.contextRefusal(ctx, quetzalroad.OutcomeUnknown)
	}
	if result.err != nil {
		a.upstreamFailed = !errors.Is(result.err, quetzalroad.ErrBuffersFull)
		return false, a.failure(result.err)
	}
	e := result.event
	if e.CompletionTokens > 0 {
		e.CompletionTokens += a.tokensBefore
	}
	r.generatedTokens += e.Tokens
	r.recordTiming(a, e)
	r.history.mayHaveRun = r.history.mayHaveRun || e.Tokens > 0
	if !r.textReservation.Resize(textCopies * (r.deliveredText.Len() + len(e.Text))) {
		return false, &quetzalroad.AttemptError{Upstream: a.upstream.Name, RetryReason: quetzalroad.RetryBuffersFull, Cause: quetzalroad.ErrBuffersFull}
	}
	if err := r.sink.Write(e); err != nil {
		return false, &quetzalroad.Refusal{Reason: quetzalroad.ReasonCallerDisconnected, Message: "the caller left", Outcome: quetzalroad.OutcomeUnknown, Cause: err}
	}
	if len(r.reservation.remoteUpstreams) > 0 {
		r.dispatcher.node.Recorder.CountCrossDataCentre(quetzalroad.CrossDataCentreSpill, len(e.Chunk))
	}
	r.deliveredText.WriteString(e.Text)
	r.deliveredTokens += e.Tokens
	r.finished = r.finished || e.FinishReason != ""
	return false, nil
}

// noteFailedEnd counts and logs a stream that broke off after the finish reason. The response is complete.
func (r *chatRun) noteFailedEnd(ctx context.Context, a *chatAttempt, err error) {
	if errors.Is(err, io.EOF) || ctx.Err() != nil {
		return
	}
	a.upstreamFailed = true
	r.dispatcher.logFailure(&r.chat.Request, asAttemptError(a.upstream.Name, err))
}

// recordTiming records the latency of a token for the upstream's load estimate and, for the first
// token of the response, whether it met the first-token target.
func (r *chatRun) recordTiming(a *chatAttempt, e quetzalroad.ChatEvent) {
	if e.Tokens == 0 {
		return
	}
	now := time.Now()
	tracker := r.dispatcher.node.LoadTracker
	if a.lastTokenAt.IsZero() {
		tracker.ObserveFirstToken(a.upstream.Name, now, now.Sub(a.startedAt))
	} else {
		tracker.ObserveInterToken(a.upstream.Name, now, now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
	if r.deliveredTokens == 0 {
		elapsed := now.Sub(r.chat.Arrived)
		r.dispatcher.node.Recorder.ObserveFirstToken(r.chat.Profile.Class, elapsed, elapsed <= r.chat.Profile.FirstTokenTarget)
	}
}
