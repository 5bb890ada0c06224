package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/recordmapper"
)

// Publish implements quetzalroad.Publisher. A change whose append was not
// answered is looked for in the stream and appended again under the same id.
func (f *Follower) Publish(ctx context.Context, c quetzalroad.Change) (quetzalroad.Verdict, error) {
	if c.ID == "" {
		c.ID = quetzalroad.ChangeID(uuid.NewString())
	}
	data, err := recordmapper.EncodeChange(c)
	if err != nil {
		return quetzalroad.Verdict{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.publishTimeout)
	defer cancel()
	verdicts := f.expect(c.ID)
	defer f.forget(c.ID)
	v, err := f.appendUntilRead(ctx, data, verdicts)
	if err != nil {
		return quetzalroad.Verdict{}, &quetzalroad.UnconfirmedError{ID: c.ID, Cause: err}
	}
	if !v.Accepted {
		return v, &quetzalroad.ConflictError{Kind: c.Kind, Name: c.Name, Base: c.Base, Current: v.Revision}
	}
	return v, nil
}

func (f *Follower) expect(id quetzalroad.ChangeID) <-chan quetzalroad.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	verdicts := make(chan quetzalroad.Verdict, 1)
	if v, seen := f.machine.byID[id]; seen {
		verdicts <- v
		return verdicts
	}
	if f.waiting == nil {
		f.waiting = make(map[quetzalroad.ChangeID]chan quetzalroad.Verdict)
	}
	f.waiting[id] = verdicts
	return verdicts
}

func (f *Follower) forget(id quetzalroad.ChangeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, id)
}

func (f *Follower) appendUntilRead(ctx context.Context, data []byte, verdicts <-chan quetzalroad.Verdict) (quetzalroad.Verdict, error) {
	for {
		appended := f.appendOnce(ctx, data)
		wait := f.retryPause
		if appended == nil {
			wait = f.publishTimeout
		}
		t := time.NewTimer(wait)
		select {
		case v := <-verdicts:
			t.Stop()
			return v, nil
		case <-ctx.Done():
			t.Stop()
			return quetzalroad.Verdict{}, errors.CombineErrors(appended, ctx.Err())
		case <-t.C:
		}
	}
}

func (f *Follower) appendOnce(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, f.appendTimeout)
	defer cancel()
	_, err := f.log.Append(ctx, quetzalroad.StreamState, data)
	if err != nil {
		f.vars.Add("log-append-failures", 1)
	}
	return err
}
