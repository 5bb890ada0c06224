package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// Call implements quetzalroad.Dispatcher.
func (d *Dispatcher) Call(ctx context.Context, c *quetzalroad.ServiceRequest) (*quetzalroad.ServiceResponse, error) {
	defer d.trackRequest()()
	if refusal := d.checkTimeLeft(&c.Request); refusal != nil {
		return nil, refusal
	}
	ctx, cancel := d.begin(ctx, &c.Request)
	defer cancel()
	held, err := d.admit(ctx, &c.Request)
	if err != nil {
		return nil, err
	}
	defer held.release(0)
	if c.Idempotent {
		return d.callWithRetries(ctx, held, c)
	}
	// A non-idempotent request keeps running if its caller disconnects, so that a repeated request
	// with the same key gets a known outcome.
	runCtx, cancelRun := d.begin(context.WithoutCancel(ctx), &c.Request)
	defer cancelRun()
	if c.IdempotencyKey == "" {
		return d.callWithRetries(runCtx, held, c)
	}
	return d.callWithClaim(runCtx, held, c)
}

// callWithClaim runs a call only after claiming its idempotency key in the log.
func (d *Dispatcher) callWithClaim(ctx context.Context, held reservation, c *quetzalroad.ServiceRequest) (*quetzalroad.ServiceResponse, error) {
	key := hashStrings(string(c.Team.Name), string(c.Service.Name), c.IdempotencyKey)
	claim, err := d.node.Claimer.Claim(ctx, key, hashStrings(c.Method, c.Path, c.Query, string(c.Body)), c.ID)
	if err != nil {
		refusal := quetzalroad.NewRefusal(quetzalroad.ReasonClaimUnavailable, "the log can't say whether the key was used", time.Second)
		refusal.Cause = err
		return nil, refusal
	}
	if claim.State != quetzalroad.ClaimGranted {
		return duplicateResult(claim)
	}
	response, err := d.callWithRetries(ctx, held, c)
	if err == nil {
		d.node.Claimer.Complete(key, c.ID, response)
		return response, nil
	}
	if refusal := quetzalroad.AsRefusal(err); refusal.Outcome == quetzalroad.OutcomeNotRun {
		d.node.Claimer.Release(key, c.ID)
	} else {
		d.node.Claimer.Complete(key, c.ID, nil)
	}
	return nil, err
}

// duplicateResult returns the result for a request whose key is claimed by an earlier one.
func duplicateResult(claim quetzalroad.Claim) (*quetzalroad.ServiceResponse, error) {
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

// hashStrings hashes the strings, each prefixed with its length so that boundaries are unambiguous.
func hashStrings(parts ...string) quetzalroad.KeyHash {
	digest := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write([]byte(part))
	}
	return quetzalroad.KeyHash(digest.Sum(nil))
}

func (d *Dispatcher) callWithRetries(ctx context.Context, held reservation, c *quetzalroad.ServiceRequest) (*quetzalroad.ServiceResponse, error) {
	d.node.RetryPolicy.RecordFirstAttempt(time.Now(), c.Service.Name)
	history := &attemptHistory{}
	for {
		u, refusal := d.chooseUpstream(&c.Request, held, history.failedUpstreams)
		if refusal != nil {
			refusal.Outcome = history.outcome()
			return nil, refusal
		}
		history.attempts++
		response, err := d.callUpstream(ctx, u, c)
		if err == nil {
			return response, nil
		}
		if err := d.prepareRetry(ctx, &c.Request, history, asAttemptError(u.Name, err)); err != nil {
			return nil, err
		}
	}
}

func (d *Dispatcher) callUpstream(ctx context.Context, u quetzalroad.Upstream, c *quetzalroad.ServiceRequest) (*quetzalroad.ServiceResponse, error) {
	d.node.Recorder.CountAttempt()
	start := time.Now()
	d.node.LoadTracker.BeginAttempt(u.Name, start)
	response, err := d.node.ServiceClient.Call(ctx, u, c)
	now := time.Now()
	upstreamFailed := err != nil && ctx.Err() == nil && !errors.Is(err, quetzalroad.ErrBuffersFull)
	d.node.LoadTracker.EndAttempt(u.Name, now, upstreamFailed)
	if err != nil {
		return nil, err
	}
	d.node.LoadTracker.ObserveFirstToken(u.Name, now, now.Sub(start))
	elapsed := now.Sub(c.Arrived)
	d.node.Recorder.ObserveFirstToken(c.Profile.Class, elapsed, elapsed <= c.Profile.FirstTokenTarget)
	return response, nil
}
