package dispatcher

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

const (
	// resultBufferSize is how many results an attempt may read ahead of the sink.
	resultBufferSize = 16
	// largeEventBytes is the size beyond which an event is not read ahead.
	largeEventBytes = 1 << 10
)

// streamResult is an event or error read from an attempt's stream.
type streamResult struct {
	event quetzalroad.ChatEvent
	err   error
	// handled is closed once the sink has taken a large event; nil for others.
	handled chan struct{}
}

// chatAttempt is one attempt on one upstream. A separate goroutine reads the stream, so that the run
// can react to a preemption, a hedge or a disconnect meanwhile.
type chatAttempt struct {
	dispatcher *Dispatcher
	upstream   quetzalroad.Upstream
	// tokensBefore is the number of tokens delivered before this attempt started.
	tokensBefore int
	startedAt    time.Time
	// lastTokenAt is when the latest token arrived; zero before the first.
	lastTokenAt time.Time
	results     chan streamResult
	// upstreamFailed is set if the upstream caused the attempt to fail.
	upstreamFailed bool
	cancel         context.CancelFunc
	// done is closed after the reading goroutine has closed the stream.
	done chan struct{}
}

// startAttempt starts an attempt and its reading goroutine.
func (r *chatRun) startAttempt(ctx context.Context, u quetzalroad.Upstream) *chatAttempt {
	d := r.dispatcher
	ctx, cancel := context.WithCancel(ctx)
	a := &chatAttempt{
		dispatcher: d, upstream: u, tokensBefore: r.deliveredTokens, startedAt: time.Now(),
		results: make(chan streamResult, resultBufferSize), cancel: cancel, done: make(chan struct{}),
	}
	d.node.Recorder.CountAttempt()
	d.node.LoadTracker.BeginAttempt(u.Name, a.startedAt)
	resumePoint := r.resumePoint()
	go a.readStream(ctx, r.chat, resumePoint)
	return a
}

// readStream sends the stream's results to the channel until the stream ends or the attempt is
// cancelled.
func (a *chatAttempt) readStream(ctx context.Context, c *quetzalroad.ChatRequest, resumePoint *quetzalroad.ResumePoint) {
	defer close(a.done)
	stream, err := a.dispatcher.node.ChatClient.Start(ctx, a.upstream, c, resumePoint)
	if err != nil {
		a.send(ctx, streamResult{err: err})
		return
	}
	for {
		event, err := stream.Next()
		result := streamResult{event: event, err: err}
		if len(event.Chunk)+len(event.Text) > largeEventBytes {
			result.handled = make(chan struct{})
		}
		if !a.send(ctx, result) || err != nil {
			break
		}
	}
	if err := stream.Close(); err != nil {
		a.dispatcher.logger.Warn("failed to close the stream", "upstream", string(a.upstream.Name), "error", err)
	}
}

// send passes a result on, and waits until it is handled if it is large. It reports whether the attempt goes on.
func (a *chatAttempt) send(ctx context.Context, result streamResult) bool {
	select {
	case a.results <- result:
	case <-ctx.Done():
		return false
	}
	if result.handled == nil {
		return true
	}
	select {
	case <-result.handled:
		return true
	case <-ctx.Done():
		return false
	}
}

// failure returns the error of an attempt whose stream ended with err before the response was complete.
func (a *chatAttempt) failure(err error) *quetzalroad.AttemptError {
	if errors.Is(err, io.EOF) {
		return &quetzalroad.AttemptError{Upstream: a.upstream.Name, RetryReason: quetzalroad.RetryMalformedResponse, Cause: errors.New("the stream ended without a finish reason")}
	}
	return asAttemptError(a.upstream.Name, err)
}

// stop cancels an attempt, waits until its stream is closed and reports its end to the load tracker.
func (a *chatAttempt) stop() {
	a.cancel()
	<-a.done
	a.dispatcher.node.LoadTracker.EndAttempt(a.upstream.Name, time.Now(), a.upstreamFailed)
}

// drainResults empties the channel and returns the number of tokens in it.
func (a *chatAttempt) drainResults() int {
	tokens := 0
	for {
		select {
		case result := <-a.results:
			tokens += result.event.Tokens
		default:
			return tokens
		}
	}
}

// race starts an attempt on u and waits for its first result. If it is late, a second attempt is
// started on another upstream; the first attempt to respond is returned and the other one cancelled.
func (r *chatRun) race(ctx context.Context, u quetzalroad.Upstream) (*chatAttempt, error) {
	primary := r.startAttempt(ctx, u)
	timer := r.hedgeTimer()
	defer timer.Stop()
	select {
	case result := <-primary.results:
		return r.settleRace(ctx, primary, result, nil)
	case <-r.reservation.admission.Preempted():
		primary.stop()
		r.recordWaste(primary)
		return nil, errPreempted
	case <-ctx.Done():
		primary.stop()
		r.history.mayHaveRun = true
		return nil, r.dispatcher.contextRefusal(ctx, quetzalroad.OutcomeUnknown)
	case <-timer.C:
	}
	hedge := r.startHedge(ctx, u)
	if hedge == nil {
		return primary, nil
	}
	return r.raceHedge(ctx, primary, hedge)
}

// hedgeTimer returns a timer that fires when the request should be hedged, which may be never.
func (r *chatRun) hedgeTimer() *time.Timer {
	hedgeDelay := r.dispatcher.node.RetryPolicy.HedgeDelay(&r.chat.Request)
	timer := time.NewTimer(max(hedgeDelay-time.Since(r.chat.Arrived), 0))
	if hedgeDelay <= 0 || r.deliveredTokens > 0 {
		timer.Stop()
	}
	return timer
}

// startHedge starts an attempt on an upstream other than u if the retry budget and that upstream's
// load allow it, and returns nil otherwise.
func (r *chatRun) startHedge(ctx context.Context, u quetzalroad.Upstream) *chatAttempt {
	d := r.dispatcher
	now := time.Now()
	candidates := d.node.CapacityEstimator.Candidates(now, r.chat.Service.Name, append(r.history.failedUpstreams, u.Name))
	if len(candidates) == 0 {
		return nil
	}
	target := d.node.Balancer.Choose(now, &r.chat.Request, candidates)
	if d.node.LoadTracker.Estimate(target.Name, now).Running >= target.MaxConcurrency {
		return nil
	}
	if !d.node.RetryPolicy.AllowHedge(now, r.chat.Service.Name) {
		return nil
	}
	if !d.node.Throttler.Acquire(now, r.chat.Service.Name, r.chat.Profile.Tier, target.Name) {
		return nil
	}
	d.node.Recorder.CountRetry(quetzalroad.RetryHedge)
	return r.startAttempt(ctx, target)
}

// raceHedge returns the attempt whose first result arrives first.
func (r *chatRun) raceHedge(ctx context.Context, primary, hedge *chatAttempt) (*chatAttempt, error) {
	select {
	case result := <-primary.results:
		return r.settleRace(ctx, primary, result, hedge)
	case result := <-hedge.results:
		return r.settleRace(ctx, hedge, result, primary)
	case <-ctx.Done():
		primary.stop()
		hedge.stop()
		r.history.mayHaveRun = true
		return nil, r.dispatcher.contextRefusal(ctx, quetzalroad.OutcomeUnknown)
	}
}

// settleRace processes the first result of a race, writes its event to the sink and cancels the other
// attempt, if any. If the result is an error, the other attempt continues alone instead.
func (r *chatRun) settleRace(ctx context.Context, a *chatAttempt, result streamResult, other *chatAttempt) (*chatAttempt, error) {
	if result.err != nil && other != nil {
		r.loseRace(ctx, a, result.err)
		return other, nil
	}
	if other != nil {
		other.stop()
		r.recordWaste(other)
	}
	if _, err := r.handleResult(ctx, a, result); err != nil {
		a.stop()
		return nil, err
	}
	return a, nil
}

// loseRace ends an attempt that failed while another one runs.
func (r *chatRun) loseRace(ctx context.Context, a *chatAttempt, err error) {
	a.upstreamFailed = true
	a.stop()
	failure := a.failure(err)
	r.history.failedUpstreams = append(r.history.failedUpstreams, a.upstream.Name)
	r.history.mayHaveRun = r.history.mayHaveRun || !failure.NotRun
	if ctx.Err() == nil {
		r.dispatcher.logFailure(&r.chat.Request, failure)
	}
}

// recordWaste counts the unread tokens of a cancelled attempt as wasted.
func (r *chatRun) recordWaste(a *chatAttempt) {
	tokens := a.drainResults()
	r.generatedTokens += tokens
	r.wastedTokens += tokens
}
