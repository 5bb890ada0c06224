package dispatcher

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// maxHeld bounds the part of an answer that is held back until it is whole.
const maxHeld = 256 << 10

// whole hands an answer on once it is whole, so that one that breaks off can be
// asked for again. One that is too long to hold goes on as it comes.
func (r *forwardRun) whole(u quetzalroad.Upstream, began time.Time, answer quetzalroad.ForwardResponse) error {
	head := answer.Head()
	var held []byte
	for {
		piece, err := answer.Next()
		held = append(held, piece.Data...)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if len(held) > maxHeld {
			return r.pass(answer, head, held)
		}
	}
	now := time.Now()
	r.first(u, now, began)
	head.ContentLength = int64(len(held))
	return r.hand(head, held)
}

func (r *forwardRun) first(u quetzalroad.Upstream, now, began time.Time) {
	d := r.dispatcher
	p := r.forwarding.Profile
	d.node.LoadTracker.ObserveFirstToken(u.Name, now, now.Sub(began))
	if r.begun {
		return
	}
	took := now.Sub(r.forwarding.Arrived)
	r.firstAfter = took
	d.node.Recorder.ObserveFirstToken(p.Class, took, took <= p.FirstTokenTarget)
}

// hand begins the caller's answer and writes the first of it.
func (r *forwardRun) hand(head quetzalroad.ResponseHead, data []byte) error {
	if !r.begun {
		r.begun = true
		r.status = head.Status
		if err := r.sink.WriteHead(head); err != nil {
			return r.callerFailed(err)
		}
	}
	if len(data) == 0 {
		return nil
	}
	if err := r.sink.Write(data); err != nil {
		return r.callerFailed(err)
	}
	return nil
}

func (r *forwardRun) callerFailed(err error) error {
	r.tries.ran = true
	return &quetzalroad.Refusal{Reason: quetzalroad.ReasonCallerDisconnected, Message: "the caller took no more of the answer", Outcome: quetzalroad.OutcomeUnknown, Cause: err}
}

// pass hands on what is held and the rest as it comes.
func (r *forwardRun) pass(answer quetzalroad.ForwardResponse, head quetzalroad.ResponseHead, held []byte) error {
	if err := r.hand(head, held); err != nil {
		return err
	}
	for {
		piece, err := answer.Next()
		if len(piece.Data) > 0 {
			if err := r.hand(head, piece.Data); err != nil {
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

// stream hands whole events on as they come. The ids follow each other over all
// attempts; an event that the caller has already is dropped.
func (r *forwardRun) stream(u quetzalroad.Upstream, began time.Time, answer quetzalroad.ForwardResponse) error {
	head := answer.Head()
	head.ContentLength = -1
	var before time.Time
	for {
		piece, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return r.hand(head, nil)
		}
		if err != nil {
			return err
		}
		now := time.Now()
		if before.IsZero() {
			r.first(u, now, began)
		} else {
			r.dispatcher.node.LoadTracker.ObserveInterToken(u.Name, now, now.Sub(before))
		}
		before = now
		if piece.EventID > 0 {
			if piece.EventID <= r.last {
				continue
			}
			if r.begun && piece.EventID != r.last+1 {
				return &quetzalroad.AttemptError{Upstream: u.Name, RetryReason: quetzalroad.RetryMalformedResponse, Cause: errors.Newf("event %d follows %d", piece.EventID, r.last)}
			}
			r.last = piece.EventID
		}
		r.pieces++
		if err := r.hand(head, piece.Data); err != nil {
			return err
		}
	}
}
