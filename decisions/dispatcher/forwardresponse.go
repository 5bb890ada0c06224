package dispatcher

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// maxBufferedBytes is the largest response that is relayed only once it is complete.
const maxBufferedBytes = 256 << 10

// relayBuffered relays a response once it is complete, so that a truncated one can be retried. A
// response larger than maxBufferedBytes is relayed as it arrives.
func (r *forwardRun) relayBuffered(u quetzalroad.Upstream, start time.Time, response quetzalroad.ForwardResponse) error {
	head := response.Head()
	var buffered []byte
	for {
		chunk, err := response.Next()
		r.attempt.countChunk(chunk)
		buffered = append(buffered, chunk.Data...)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if len(buffered) > maxBufferedBytes {
			return r.relayUnbuffered(response, head, buffered)
		}
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
}

// write sends the head to the caller, unless already sent, and then data.
func (r *forwardRun) write(head quetzalroad.ResponseHead, data []byte) error {
	if !r.responseStarted {
		r.responseStarted = true
		r.status = head.Status
		if err := r.sink.WriteHead(head); err != nil {
			return r.callerDisconnectedRefusal(err)
		}
	}
	if len(data) == 0 {
		return nil
	}
	if err := r.sink.Write(data); err != nil {
		return r.callerDisconnectedRefusal(err)
	}
	return nil
}

func (r *forwardRun) callerDisconnectedRefusal(err error) error {
	r.history.mayHaveRun = true
	return &quetzalroad.Refusal{Reason: quetzalroad.ReasonCallerDisconnected, Message: "the caller took no more of the answer", Outcome: quetzalroad.OutcomeUnknown, Cause: err}
}

// relayUnbuffered relays the buffered data and then the rest as it arrives.
func (r *forwardRun) relayUnbuffered(response quetzalroad.ForwardResponse, head quetzalroad.ResponseHead, buffered []byte) error {
	if err := r.write(head, buffered); err != nil {
		return err
	}
	for {
		chunk, err := response.Next()
		r.attempt.countChunk(chunk)
		if len(chunk.Data) > 0 {
			if err := r.write(head, chunk.Data); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// relayEvents relays whole events as they arrive. Event ids are consecutive across attempts; an event
// that the caller already has is dropped.
func (r *forwardRun) relayEvents(u quetzalroad.Upstream, start time.Time, response quetzalroad.ForwardResponse) error {
	head := response.Head()
	head.ContentLength = -1
	var lastEventAt time.Time
	for {
		chunk, err := response.Next()
		if errors.Is(err, io.EOF) {
			return r.write(head, nil)
		}
		if err != nil {
			return err
		}
		r.attempt.countChunk(chunk)
		now := time.Now()
		if lastEventAt.IsZero() {
			r.recordFirstByte(u, now, start)
		} else {
			gap := now.Sub(lastEventAt)
			r.longestGap = max(r.longestGap, gap)
			r.dispatcher.node.LoadTracker.ObserveInterToken(u.Name, now, gap)
		}
		lastEventAt = now
		if chunk.EventID > 0 {
			if chunk.EventID <= r.lastEventID {
				continue
			}
			if r.responseStarted && chunk.EventID != r.lastEventID+1 {
				return &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryMalformedResponse, Cause: errors.Newf("event %d received after event %d", chunk.EventID, r.lastEventID)}
			}
			r.lastEventID = chunk.EventID
		}
		r.eventCount++
		if err := r.write(head, chunk.Data); err != nil {
			return err
		}
	}
}
