package dispatcher

import (
	"context"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// stepsAhead is how many steps an attempt may be ahead of its caller.
const stepsAhead = 16

// step is what an attempt's stream gave.
type step struct {
	event quetzalroad.ChatEvent
	err   error
}

// attempt is one try on one upstream. A goroutine of its own reads the stream,
// so that a pause, a hedge or the caller's leaving is noticed meanwhile.
type attempt struct {
	dispatcher *Dispatcher
	upstream   quetzalroad.Upstream
	// before is the number of tokens that the answer had when it began.
	before int
	began  time.Time
	// last is when the last token came; zero before the first.
	last  time.Time
	steps chan step
	// failed tells that the upstream is to blame for its end.
	failed bool
	cancel context.CancelFunc
	// ended is closed when the reading goroutine has closed the stream.
	ended chan struct{}
}

// begin starts an attempt.
func (r *chatRun) begin(ctx context.Context, u quetzalroad.Upstream) *attempt {
	d := r.dispatcher
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{
		dispatcher: d, upstream: u, before: r.tokens, began: time.Now(),
		steps: make(chan step, stepsAhead), cancel: cancel, ended: make(chan struct{}),
	}
	d.node.Recorder.CountAttempt()
	d.node.LoadTracker.BeginAttempt(u.Name, a.began)
	from := r.from()
	go a.read(ctx, r.chat, from)
	return a
}

// read hands the stream's steps to the channel until it ends or the attempt is
// given up.
func (a *attempt) read(ctx context.Context, c *quetzalroad.ChatRequest, from *quetzalroad.ResumePoint) {
	defer close(a.ended)
	stream, err := a.dispatcher.node.ChatClient.Start(ctx, a.upstream, c, from)
	if err != nil {
		a.hand(ctx, step{err: err})
		return
	}
	for {
		event, err := stream.Next()
		if !a.hand(ctx, step{event: event, err: err}) || err != nil {
			break
		}
	}
	if err := stream.Close(); err != nil {
		a.dispatcher.logger.Warn("stream not closed", "upstream", string(a.upstream.Name), "error", err)
	}
}

func (a *attempt) hand(ctx context.Context, s step) bool {
	select {
	case a.steps <- s:
		return true
	case <-ctx.Done():
		return false
	}
}

// stop ends an attempt and waits until its connection is closed.
func (a *attempt) stop() {
	a.cancel()
	<-a.ended
	a.dispatcher.node.LoadTracker.EndAttempt(a.upstream.Name, time.Now(), a.failed)
}

// waste counts the tokens that a given up attempt had ready.
func (a *attempt) waste() int {
	tokens := 0
	for {
		select {
		case s := <-a.steps:
			tokens += s.event.Tokens
		default:
			return tokens
		}
	}
}

// race waits for the first step of an attempt. If none comes in time, a second
// attempt is begun elsewhere, and the first that gives a token wins; the loser
// is cancelled.
func (r *chatRun) race(ctx context.Context, u quetzalroad.Upstream) (*attempt, error) {
	first := r.begin(ctx, u)
	hedge := r.hedgeTimer()
	defer hedge.Stop()
	select {
	case s := <-first.steps:
		return r.won(ctx, first, s, nil)
	case <-r.place.admission.Preempted():
		first.stop()
		r.discard(first)
		return nil, errPaused
	case <-ctx.Done():
		first.stop()
		r.tries.ran = true
		return nil, ended(ctx, quetzalroad.OutcomeUnknown)
	case <-hedge.C:
	}
	second := r.hedge(ctx, u)
	if second == nil {
		return first, nil
	}
	return r.raceTwo(ctx, first, second)
}

// hedgeTimer fires when a hedge is worth it, which may be never.
func (r *chatRun) hedgeTimer() *time.Timer {
	after := r.dispatcher.node.RetryPolicy.HedgeDelay(&r.chat.Request)
	timer := time.NewTimer(max(after-time.Since(r.chat.Arrived), 0))
	if after <= 0 || r.tokens > 0 {
		timer.Stop()
	}
	return timer
}

// hedge begins a second attempt elsewhere, where the budget and the load allow.
func (r *chatRun) hedge(ctx context.Context, u quetzalroad.Upstream) *attempt {
	d := r.dispatcher
	now := time.Now()
	others := d.node.CapacityEstimator.Candidates(now, r.chat.Service.Name, append(r.tries.tried, u.Name))
	if len(others) == 0 {
		return nil
	}
	other := d.node.Balancer.Choose(now, &r.chat.Request, others)
	if d.node.LoadTracker.Estimate(other.Name, now).Running >= other.MaxConcurrency {
		return nil
	}
	if !d.node.RetryPolicy.AllowHedge(now, r.chat.Service.Name) {
		return nil
	}
	d.node.Recorder.CountRetry(quetzalroad.RetryHedge)
	return r.begin(ctx, other)
}

// raceTwo gives the attempt whose first step comes first.
func (r *chatRun) raceTwo(ctx context.Context, first, second *attempt) (*attempt, error) {
	select {
	case s := <-first.steps:
		return r.won(ctx, first, s, second)
	case s := <-second.steps:
		return r.won(ctx, second, s, first)
	case <-ctx.Done():
		first.stop()
		second.stop()
		r.tries.ran = true
		return nil, ended(ctx, quetzalroad.OutcomeUnknown)
	}
}

// won handles the first step of an attempt. If it is a failure and another
// attempt runs, that one goes on alone.
func (r *chatRun) won(ctx context.Context, a *attempt, s step, loser *attempt) (*attempt, error) {
	if s.err != nil && loser != nil {
		a.failed = true
		a.stop()
		r.tries.tried = append(r.tries.tried, a.upstream.Name)
		return loser, nil
	}
	if loser != nil {
		loser.stop()
		r.discard(loser)
	}
	if _, err := r.take(ctx, a, s); err != nil {
		a.stop()
		return nil, err
	}
	return a, nil
}

// discard counts what a given up attempt had generated.
func (r *chatRun) discard(a *attempt) {
	tokens := a.waste()
	r.generated += tokens
	r.wasted += tokens
}
