package dispatcher

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// errPaused ends an attempt whose place was asked back.
var errPaused = errors.New("paused for a higher tier")

// chatRun is the state of one chat over all its attempts.
type chatRun struct {
	dispatcher *Dispatcher
	chat       *quetzalroad.ChatRequest
	sink       quetzalroad.ChatSink
	place      place
	tries      tries
	// text and tokens are the answer so far, as handed to the sink.
	text   strings.Builder
	tokens int
	// generated counts the tokens of all attempts; wasted is what of it did
	// not reach the sink.
	generated int
	wasted    int
	// finished tells that the step with the reason for the end was handed on.
	finished bool
}

// Chat implements quetzalroad.Dispatcher.
func (d *Dispatcher) Chat(ctx context.Context, c *quetzalroad.ChatRequest, sink quetzalroad.ChatSink) error {
	defer d.begin()()
	ctx, cancel := bound(ctx, &c.Request)
	defer cancel()
	p, err := d.enter(ctx, &c.Request)
	if err != nil {
		return err
	}
	run := &chatRun{dispatcher: d, chat: c, sink: sink, place: p}
	err = run.loop(ctx)
	p.leave(run.tokens)
	if err != nil {
		run.wasted = run.generated
	} else {
		d.node.LengthEstimator.Observe(&c.Request, run.tokens)
	}
	d.node.Recorder.CountTokens(run.generated, run.wasted)
	return err
}

// loop makes attempts until the answer is whole or can't become so.
func (r *chatRun) loop(ctx context.Context) error {
	d := r.dispatcher
	d.node.RetryPolicy.RecordFirstAttempt(time.Now(), r.chat.Service.Name)
	for {
		u, ok := d.choose(&r.chat.Request, r.place, r.tries.tried)
		if !ok {
			refusal := noUpstream()
			refusal.Outcome = r.tries.outcome()
			return r.cut(refusal)
		}
		r.tries.count++
		err := r.attempt(ctx, u)
		if err == nil {
			return nil
		}
		if errors.Is(err, errPaused) {
			if err := r.resume(ctx); err != nil {
				return r.cut(quetzalroad.AsRefusal(err))
			}
			continue
		}
		if err := r.failed(ctx, attemptError(u.Name, err)); err != nil {
			return r.cut(quetzalroad.AsRefusal(err))
		}
	}
}

// resume waits for another place after a pause.
func (r *chatRun) resume(ctx context.Context) error {
	r.dispatcher.node.Recorder.CountRetry(quetzalroad.RetryPreempted)
	r.tries.ran = true
	r.tries.count--
	if err := r.place.admission.Resume(ctx); err != nil {
		refusal := quetzalroad.AsRefusal(err)
		refusal.Outcome = quetzalroad.OutcomeUnknown
		return refusal
	}
	return nil
}

// failed decides on a failed attempt. An answer that was begun goes on only if
// it can be resumed from its text.
func (r *chatRun) failed(ctx context.Context, failure *quetzalroad.AttemptError) error {
	if r.tokens > 0 && !r.chat.Resumable {
		r.tries.ran = true
		return &quetzalroad.Refusal{Reason: quetzalroad.ReasonStreamInterrupted, Message: "the answer broke off and can't be resumed", Outcome: quetzalroad.OutcomeUnknown, Cause: failure}
	}
	return r.dispatcher.again(ctx, &r.chat.Request, &r.tries, failure)
}

// cut makes sure that a refusal of an answer that was begun does not claim
// that nothing was run.
func (r *chatRun) cut(refusal *quetzalroad.Refusal) error {
	if r.tokens > 0 || r.generated > 0 || r.tries.ran {
		refusal.Outcome = quetzalroad.OutcomeUnknown
	}
	return refusal
}

// from tells the next attempt where to take up the answer.
func (r *chatRun) from() *quetzalroad.ResumePoint {
	if r.tokens == 0 {
		return nil
	}
	return &quetzalroad.ResumePoint{Text: r.text.String(), Tokens: r.tokens}
}

// attempt runs the chat on an upstream, with a hedge on another one where the
// first token is late, and hands on the steps of whichever is first.
func (r *chatRun) attempt(ctx context.Context, u quetzalroad.Upstream) error {
	if r.finished {
		return nil
	}
	winner, err := r.race(ctx, u)
	if err != nil {
		return err
	}
	err = r.follow(ctx, winner)
	winner.stop()
	r.discard(winner)
	return err
}

// follow hands on the steps of an attempt.
func (r *chatRun) follow(ctx context.Context, a *attempt) error {
	paused := r.place.admission.Preempted()
	for {
		select {
		case s := <-a.steps:
			done, err := r.take(ctx, a, s)
			if done || err != nil {
				return err
			}
		case <-paused:
			if r.chat.Resumable || r.tokens == 0 {
				return errPaused
			}
			paused = nil
		case <-ctx.Done():
			r.tries.ran = true
			return ended(ctx, quetzalroad.OutcomeUnknown)
		}
	}
}

// take handles one step. It tells whether the answer is whole.
func (r *chatRun) take(ctx context.Context, a *attempt, s step) (bool, error) {
	if s.err != nil && r.finished {
		return true, nil
	}
	if s.err != nil && ctx.Err() != nil {
		r.tries.ran = true
		return false, ended(ctx, quetzalroad.OutcomeUnknown)
	}
	if s.err != nil {
		if errors.Is(s.err, io.EOF) {
			s.err = errors.New("the stream ended without a reason for its end")
		}
		a.failed = true
		return false, attemptError(a.upstream.Name, s.err)
	}
	e := s.event
	if e.CompletionTokens > 0 {
		e.CompletionTokens += a.before
	}
	r.generated += e.Tokens
	r.observe(a, e)
	r.tries.ran = r.tries.ran || e.Tokens > 0
	if err := r.sink.Write(e); err != nil {
		return false, &quetzalroad.Refusal{Reason: quetzalroad.ReasonCallerDisconnected, Message: "the caller left", Outcome: quetzalroad.OutcomeUnknown, Cause: err}
	}
	if len(r.place.far) > 0 {
		r.dispatcher.node.Recorder.CountCrossDataCentre(quetzalroad.CrossDataCentreSpill, len(e.Chunk))
	}
	r.text.WriteString(e.Text)
	r.tokens += e.Tokens
	r.finished = r.finished || e.FinishReason != ""
	return false, nil
}

// observe tells what a token's time shows about its upstream and about the
// caller's target.
func (r *chatRun) observe(a *attempt, e quetzalroad.ChatEvent) {
	if e.Tokens == 0 {
		return
	}
	now := time.Now()
	load := r.dispatcher.node.LoadTracker
	if a.last.IsZero() {
		load.ObserveFirstToken(a.upstream.Name, now, now.Sub(a.began))
	} else {
		load.ObserveInterToken(a.upstream.Name, now, now.Sub(a.last))
	}
	a.last = now
	if r.tokens == 0 {
		took := now.Sub(r.chat.Arrived)
		r.dispatcher.node.Recorder.ObserveFirstToken(r.chat.Profile.Class, took, took <= r.chat.Profile.FirstTokenTarget)
	}
}
