package dispatcher

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// maxBufferedBytes is the largest response that is relayed only once it is complete.
const maxBufferedBytes = 256 << 10

// relayBuffered relays a response once it is complete, so that a truncated one can be retried. A
// response larger than maxBufferedBytes is relayed as it arrives.
func (r *forwardRun) relayBuffered(ctx context.Context, u quetzalroad.Upstream, start time.Time, response quetzalroad.ForwardResponse) error {
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
			return r.relayUnbuffered(ctx, u, response, head, buffered)
		}
	}
	if err := r.checkEnd(ctx, u, head); err != nil {
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
func (r *forwardRun) relayUnbuffered(ctx context.Context, u quetzalroad.Upstream, response quetzalroad.ForwardResponse, head quetzalroad.ResponseHead, buffered []byte) error {
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
			return r.checkEnd(ctx, u, head)
		}
		if err != nil {
			return err
		}
	}
}

// relayEvents relays whole events as they arrive. Event ids are consecutive across attempts; an event
// that the caller already has is dropped.
func (r *forwardRun) relayEvents(ctx context.Context, u quetzalroad.Upstream, start time.Time, response quetzalroad.ForwardResponse) error {
	head := response.Head()
	head.ContentLength = -1
	var lastEventAt time.Time
	for {
		chunk, err := response.Next()
		if errors.Is(err, io.EOF) {
			if err := r.checkEnd(ctx, u, head); err != nil {
				return err
			}
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
		if chunk.EventID > 0 && chunk.EventID <= r.lastEventID {
			continue
		}
		if err := r.checkOrder(u, chunk); err != nil {
			return err
		}
		if chunk.EventID == 0 {
			r.unnumberedEvents++
		}
		r.lastEventID = max(r.lastEventID, chunk.EventID)
		r.eventCount++
		if err := r.write(head, chunk.Data); err != nil {
			return err
		}
	}
}

// checkEnd returns an error if the body may have broken off, although its end looks like that of a whole one.
// The connections of a process that exits end like those of one that closes them.
func (r *forwardRun) checkEnd(ctx context.Context, u quetzalroad.Upstream, head quetzalroad.ResponseHead) error {
	if !head.Unframed || !r.dispatcher.hasExited(ctx, u) {
		return nil
	}
	return &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryConnectionLost, Cause: errUnframedBreak}
}

// errUnframedBreak is the cause of an attempt whose response may have broken off.
var errUnframedBreak = errors.New("the upstream exited as the unframed response ended")

// checkOrder returns an error if an event does not follow the last one that the caller received, in this
// response or in the one that it resumes. In a
// stream of events with ids, one without is not the stream's: it holds the text of an error, say.
func (r *forwardRun) checkOrder(u quetzalroad.Upstream, event quetzalroad.BodyChunk) error {
	switch {
	case event.EventID == 0 && (r.lastEventID == 0 || isComment(event.Data)):
		return nil
	case event.EventID == r.lastEventID+1 || (event.EventID > 0 && r.lastEventID == 0 && !r.responseStarted):
		return nil
	}
	return &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryMalformedResponse, Cause: errors.Newf("event %d received after event %d", event.EventID, r.lastEventID)}
}

// isComment reports whether an event consists of comments, which upstreams send to keep connections open.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
