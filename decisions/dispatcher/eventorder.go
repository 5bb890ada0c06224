package dispatcher

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// The ids of a stream's events rise by a constant step, which is one in most services. Others number an event by the
// tokens so far. A larger rise is a hole. Only the last event of a stream may follow with a smaller one.

// mustHold reports whether an event is held until the next one tells the step: it is the first of a response,
// and would leave a hole if the step were one.
func (r *forwardRun) mustHold(event quetzalroad.BodyChunk) bool {
	return r.request.Route.Streaming && r.eventStep == 0 && r.attempt.lastEventID == 0 && r.attempt.held == nil && event.EventID > r.lastEventID+1
}

// hold holds a copy of an event.
func (r *forwardRun) hold(event quetzalroad.BodyChunk) {
	event.Data = slices.Clone(event.Data)
	r.attempt.held = &event
}

// takeHeld returns the held event, if any, once the next one shows that it leaves no hole.
func (r *forwardRun) takeHeld(u quetzalroad.Upstream, next quetzalroad.BodyChunk) (*quetzalroad.BodyChunk, error) {
	held := r.attempt.held
	if held == nil {
		return nil, nil
	}
	step := next.EventID - held.EventID
	if step <= 1 || held.EventID != r.lastEventID+step {
		return nil, r.gapError(u, held.EventID)
	}
	r.attempt.held, r.eventStep = nil, step
	return held, nil
}

// acceptEvent records the last event of the response. On a streaming route it returns an error instead if the event
// does not follow the one before it, or is the first and would leave a gap behind the last one that the caller has.
func (r *forwardRun) acceptEvent(u quetzalroad.Upstream, event quetzalroad.BodyChunk) error {
	id, before := event.EventID, r.attempt.lastEventID
	if !r.request.Route.Streaming {
		return nil
	}
	if before > 0 && before < id && id <= r.lastEventID && r.eventStep == 0 {
		// The response repeats events that the caller has.
		r.eventStep = id - before
	}
	step := max(1, r.eventStep)
	switch {
	case id == 0:
		return malformedEventError(u, errors.Newf("event without an id after event %d", max(before, r.lastEventID)))
	case before > 0 && (id <= before || id > before+step || r.attempt.mustEnd):
		return malformedEventError(u, errors.Newf("event %d received after event %d", id, before))
	case before == 0 && id > r.lastEventID+step:
		return r.gapError(u, id)
	}
	if id > r.lastEventID {
		r.eventStep = step
	}
	r.attempt.mustEnd = before > 0 && id < before+step
	r.attempt.lastEventID = id
	return nil
}

// gapError returns the error of a response whose first event would leave a gap behind the last one that the
// caller has.
func (r *forwardRun) gapError(u quetzalroad.Upstream, first int64) error {
	return malformedEventError(u, errors.Newf("the response begins with event %d, and the caller has event %d", first, r.lastEventID))
}

func malformedEventError(u quetzalroad.Upstream, cause error) error {
	return &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryMalformedResponse, Cause: cause}
}
