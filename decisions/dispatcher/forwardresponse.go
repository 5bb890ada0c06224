package dispatcher

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/bufferer"
)

// maxBufferedBytes is the largest response that is relayed only once it is complete.
const maxBufferedBytes = 256 << 10

// relayBuffered relays a response once it is complete, so that a truncated one can be retried. A
// response larger than maxBufferedBytes, or than the budget for buffers allows, is relayed as it arrives.
func (r *forwardRun) relayBuffered(ctx context.Context, u quetzalroad.Upstream, start time.Time, response quetzalroad.ForwardResponse) error {
	head := response.Head()
	reservation := bufferer.Reservation{Budget: r.dispatcher.node.BufferBudget}
	defer reservation.Release()
	var buffered []byte
	for {
		chunk, err := response.Next()
		r.attempt.countChunk(chunk)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		grown, ok := reservation.Append(buffered, chunk.Data)
		if !ok || len(grown) > maxBufferedBytes {
			if err := r.write(head, buffered, chunk.Data); err != nil {
				return err
			}
			reservation.Release()
			return r.relayUnbuffered(ctx, u, response)
		}
		buffered = grown
	}
	if err := r.checkEnd(ctx, u, response); err != nil {
		return err
	}
	now := time.Now()
	r.recordFirstByte(u, now, start)
	head.ContentLength = int64(len(buffered))
	return r.write(head, buffered)
}

func (r *forwardRun) recordFirstByte(u quetzalroad.Upstream, now, start time.Time) {
	d := r.dispatcher
	profile := r.request.Profile
	d.node.LoadTracker.ObserveFirstToken(u.Name, now, now.Sub(start))
	if r.responseStarted {
		return
	}
	elapsed := now.Sub(r.request.Arrived)
	r.timeToFirstByte = elapsed
	d.node.Recorder.ObserveFirstToken(profile.Class, elapsed, elapsed <= profile.FirstTokenTarget)
	r.recordLate(now, elapsed <= profile.FirstTokenTarget)
}

// write sends the head to the caller, unless already sent, and then the parts of the body.
func (r *forwardRun) write(head quetzalroad.ResponseHead, parts ...[]byte) error {
	if !r.responseStarted {
		r.responseStarted = true
		r.status = head.Status
		if err := r.sink.WriteHead(head); err != nil {
			return r.callerDisconnectedRefusal(err)
		}
	}
	for _, data := range parts {
		if len(data) == 0 {
			continue
		}
		if err := r.sink.Write(data); err != nil {
			return r.callerDisconnectedRefusal(err)
		}
	}
	return nil
}

func (r *forwardRun) callerDisconnectedRefusal(err error) error {
	r.history.mayHaveRun = true
	return &quetzalroad.Refusal{Reason: quetzalroad.ReasonCallerDisconnected, Message: "the caller took no more of the answer", Outcome: quetzalroad.OutcomeUnknown, Cause: err}
}

// relayUnbuffered relays the rest of a response as it arrives.
func (r *forwardRun) relayUnbuffered(ctx context.Context, u quetzalroad.Upstream, response quetzalroad.ForwardResponse) error {
	head := response.Head()
	for {
		chunk, err := response.Next()
		r.attempt.countChunk(chunk)
		if len(chunk.Data) > 0 {
			if err := r.write(head, chunk.Data); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return r.checkEnd(ctx, u, response)
		}
		if err != nil {
			return err
		}
	}
}

// relayEvents relays whole events as they arrive. On streaming routes their ids rise by one step across
// attempts, and an event that the caller already has is dropped.
func (r *forwardRun) relayEvents(ctx context.Context, u quetzalroad.Upstream, start time.Time, response quetzalroad.ForwardResponse) error {
	head := response.Head()
	head.ContentLength = -1
	var lastEventAt time.Time
	for {
		chunk, err := response.Next()
		if errors.Is(err, io.EOF) {
			if err := r.checkStreamEnd(ctx, u, response); err != nil {
				return err
			}
			return r.write(head, nil)
		}
		if err != nil {
			return err
		}
		if chunk.IsComment && r.request.Route.Streaming {
			if err := r.relayComment(head, chunk); err != nil {
				return err
			}
			continue
		}
		r.attempt.countChunk(chunk)
		now := time.Now()
		r.countRun()
		if lastEventAt.IsZero() {
			r.recordFirstByte(u, now, start)
		} else {
			gap := now.Sub(lastEventAt)
			r.longestGap = max(r.longestGap, gap)
			r.dispatcher.node.LoadTracker.ObserveInterToken(u.Name, now, gap)
		}
		lastEventAt = now
		if err := r.relayEvent(u, head, chunk); err != nil {
			return err
		}
	}
}

// relayEvent relays one event, with the one that is held before it, or holds it.
func (r *forwardRun) relayEvent(u quetzalroad.Upstream, head quetzalroad.ResponseHead, event quetzalroad.BodyChunk) error {
	if r.mustHold(event) {
		r.hold(event)
		return nil
	}
	held, err := r.takeHeld(u, event)
	if err != nil {
		return err
	}
	if held != nil {
		if err := r.passEvent(u, head, *held); err != nil {
			return err
		}
	}
	return r.passEvent(u, head, event)
}

// passEvent passes one event to the caller, unless the caller has it already.
func (r *forwardRun) passEvent(u quetzalroad.Upstream, head quetzalroad.ResponseHead, event quetzalroad.BodyChunk) error {
	if err := r.acceptEvent(u, event); err != nil {
		return err
	}
	if r.request.Route.Streaming && event.EventID <= r.lastEventID {
		return nil
	}
	if event.EventID == 0 {
		r.unnumberedEvents++
	}
	r.recordStream(u)
	r.lastEventID = max(r.lastEventID, event.EventID)
	r.eventCount++
	return r.write(head, event.Data)
}

// relayComment relays a comment, unless the caller has no event yet: until then the request may still be sent to
// another upstream.
func (r *forwardRun) relayComment(head quetzalroad.ResponseHead, comment quetzalroad.BodyChunk) error {
	if !r.responseStarted {
		return nil
	}
	return r.write(head, comment.Data)
}

// checkStreamEnd returns an error if the stream may have broken off, or is shorter than what the caller has of it.
func (r *forwardRun) checkStreamEnd(ctx context.Context, u quetzalroad.Upstream, response quetzalroad.ForwardResponse) error {
	if r.attempt.held != nil {
		return r.gapError(u, r.attempt.held.EventID)
	}
	if last := r.attempt.lastEventID; last > 0 && last < r.lastEventID {
		return malformedEventError(u, errors.Newf("the response ends with event %d, and the caller has event %d", last, r.lastEventID))
	}
	return r.checkEnd(ctx, u, response)
}

// checkEnd returns an error if the body may have broken off, although its end looks like that of a whole one. That an
// upstream drains, or is not listed, doesn't show that its process has closed the connection.
func (r *forwardRun) checkEnd(ctx context.Context, u quetzalroad.Upstream, response quetzalroad.ForwardResponse) error {
	if !response.Head().Unframed || response.UpstreamOutlived(ctx) {
		return nil
	}
	return &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryConnectionLost, Cause: errUnframedBreak}
}

// errUnframedBreak is the cause of an attempt whose response may have broken off.
var errUnframedBreak = errors.New("the unframed response ended, and the upstream is not known to have run on")
