package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// Call implements quetzalroad.Dispatcher.
func (d *Dispatcher) Call(ctx context.Context, c *quetzalroad.ServiceRequest) (*quetzalroad.ServiceResponse, error) {
	defer d.begin()()
	ctx, cancel := bound(ctx, &c.Request)
	defer cancel()
	p, err := d.enter(ctx, &c.Request)
	if err != nil {
		return nil, err
	}
	defer p.leave(0)
	if c.Idempotent {
		return d.attemptCall(ctx, p, c)
	}
	// Work that can't be repeated is not cut off when its caller leaves: the
	// outcome is wanted by whoever asks again.
	run, stop := bound(context.WithoutCancel(ctx), &c.Request)
	defer stop()
	if c.IdempotencyKey == "" {
		return d.attemptCall(run, p, c)
	}
	return d.claimedCall(run, p, c)
}

// claimedCall runs a call only if the log gives its key to it.
func (d *Dispatcher) claimedCall(ctx context.Context, p place, c *quetzalroad.ServiceRequest) (*quetzalroad.ServiceResponse, error) {
	key := hash(string(c.Team.Name), string(c.Service.Name), c.IdempotencyKey)
	claim, err := d.node.Claimer.Claim(ctx, key, hash(c.Method, c.Path, c.Query, string(c.Body)), c.ID)
	if err != nil {
		refusal := quetzalroad.NewRefusal(quetzalroad.ReasonClaimUnavailable, "the log can't say whether the key was used", time.Second)
		refusal.Cause = err
		return nil, refusal
	}
	if claim.State != quetzalroad.ClaimGranted {
		return earlier(claim)
	}
	answer, err := d.attemptCall(ctx, p, c)
	if err == nil {
		d.node.Claimer.Complete(key, c.ID, answer)
		return answer, nil
	}
	if refusal := quetzalroad.AsRefusal(err); refusal.Outcome == quetzalroad.OutcomeNotRun {
		d.node.Claimer.Release(key, c.ID)
	} else {
		d.node.Claimer.Complete(key, c.ID, nil)
	}
	return nil, err
}

// earlier tells the outcome of the request that holds the key.
func earlier(claim quetzalroad.Claim) (*quetzalroad.ServiceResponse, error) {
	switch claim.State {
	case quetzalroad.ClaimCompleted:
		if claim.Response != nil {
			return claim.Response, nil
		}
		return nil, &quetzalroad.Refusal{Reason: quetzalroad.ReasonDuplicateInProgress, Message: "a request with this key was run, and its answer is not kept", Outcome: quetzalroad.OutcomeUnknown}
	case quetzalroad.ClaimExpired:
		return nil, quetzalroad.NewRefusal(quetzalroad.ReasonIdempotencyKeyExpired, "the key's window has passed; use a new key for a new request", 0)
	case quetzalroad.ClaimReused:
		return nil, quetzalroad.NewRefusal(quetzalroad.ReasonIdempotencyKeyReused, "the key was used for another call", 0)
	case quetzalroad.ClaimGranted, quetzalroad.ClaimHeld:
	}
	return nil, &quetzalroad.Refusal{Reason: quetzalroad.ReasonDuplicateInProgress, Message: "an earlier request holds the key and its outcome is not known", RetryAfter: time.Second, Outcome: quetzalroad.OutcomeUnknown}
}

// hash joins texts to one sum, each with its length before it.
func hash(texts ...string) quetzalroad.KeyHash {
	sum := sha256.New()
	for _, t := range texts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(t)))
		sum.Write(length[:])
		sum.Write([]byte(t))
	}
	return quetzalroad.KeyHash(sum.Sum(nil))
}

func (d *Dispatcher) attemptCall(ctx context.Context, p place, c *quetzalroad.ServiceRequest) (*quetzalroad.ServiceResponse, error) {
	d.node.RetryPolicy.RecordFirstAttempt(time.Now(), c.Service.Name)
	t := &tries{}
	for {
		u, ok := d.choose(&c.Request, p, t.tried)
		if !ok {
			refusal := noUpstream()
			refusal.Outcome = t.outcome()
			return nil, refusal
		}
		t.count++
		answer, err := d.callOnce(ctx, u, c)
		if err == nil {
			return answer, nil
		}
		if err := d.again(ctx, &c.Request, t, attemptError(u.Name, err)); err != nil {
			return nil, err
		}
	}
}

func (d *Dispatcher) callOnce(ctx context.Context, u quetzalroad.Upstream, c *quetzalroad.ServiceRequest) (*quetzalroad.ServiceResponse, error) {
	d.node.Recorder.CountAttempt()
	began := time.Now()
	d.node.LoadTracker.BeginAttempt(u.Name, began)
	answer, err := d.node.ServiceClient.Call(ctx, u, c)
	now := time.Now()
	d.node.LoadTracker.EndAttempt(u.Name, now, err != nil && ctx.Err() == nil)
	if err != nil {
		return nil, err
	}
	d.node.LoadTracker.ObserveFirstToken(u.Name, now, now.Sub(began))
	took := now.Sub(c.Arrived)
	d.node.Recorder.ObserveFirstToken(c.Profile.Class, took, took <= c.Profile.FirstTokenTarget)
	return answer, nil
}
