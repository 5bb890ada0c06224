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
func (f *Follower) Publish(ctx context.Context, c quetzalroad.Change) (quetzalroad.ChangeResult, error) {
	if c.ID == "" {
		c.ID = quetzalroad.ChangeID(uuid.NewString())
	}
	data, err := recordmapper.EncodeChange(c)
	if err != nil {
		return quetzalroad.ChangeResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.publishTimeout)
	defer cancel()
	verdicts := f.expect(c.ID)
	defer f.forget(c.ID)
	v, err := f.appendUntilRead(ctx, data, verdicts)
	if err != nil {
		return quetzalroad.ChangeResult{}, &quetzalroad.UnconfirmedError{ID: c.ID, Cause: err}
	}
	if !v.Accepted {
		return v, &quetzalroad.ConflictError{Kind: c.Kind, Name: c.Name, BaseRevision: c.BaseRevision, CurrentRevision: v.Revision}
	}
	return v, nil
}

func (f *Follower) expect(id quetzalroad.ChangeID) <-chan quetzalroad.ChangeResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	verdicts := make(chan quetzalroad.ChangeResult, 1)
	if v, seen := f.machine.byID[id]; seen {
		verdicts <- v
		return verdicts
	}
	if f.waiting == nil {
		f.waiting = make(map[quetzalroad.ChangeID]chan quetzalroad.ChangeResult)
	}
	f.waiting[id] = verdicts
	return verdicts
}

func (f *Follower) forget(id quetzalroad.ChangeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, id)
}

func (f *Follower) appendUntilRead(ctx context.Context, data []byte, verdicts <-chan quetzalroad.ChangeResult) (quetzalroad.ChangeResult, error) {
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
			return quetzalroad.ChangeResult{}, errors.CombineErrors(appended, ctx.Err())
		case <-t.C:
		}
	}
}

func (f *Follower) appendOnce(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, f.appendTimeout)
	defer cancel()
	_, err := f.log.Append(ctx, quetzalroad.LogStreamState, data)
	if err != nil {
		f.vars.Add("log-append-failures", 1)
	}
	return err
}
