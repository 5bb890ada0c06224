package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/recordmapper"
)

// Publish implements quetzalroad.Publisher. A change whose append failed may still
// be in the stream, so it is awaited and appended again under the same id.
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
	results := f.addWaiter(c.ID)
	defer f.removeWaiter(c.ID)
	result, err := f.appendUntilConfirmed(ctx, data, results)
	if err != nil {
		return quetzalroad.ChangeResult{}, &quetzalroad.UnconfirmedError{ID: c.ID, Cause: err}
	}
	if !result.Accepted {
		return result, &quetzalroad.ConflictError{Kind: c.Kind, Name: c.Name, BaseRevision: c.BaseRevision, CurrentRevision: result.Revision}
	}
	return result, nil
}

func (f *Follower) addWaiter(id quetzalroad.ChangeID) <-chan quetzalroad.ChangeResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	results := make(chan quetzalroad.ChangeResult, 1)
	if result, seen := f.machine.resultByID[id]; seen {
		results <- result
		return results
	}
	if f.waiters == nil {
		f.waiters = make(map[quetzalroad.ChangeID]chan quetzalroad.ChangeResult)
	}
	f.waiters[id] = results
	return results
}

func (f *Follower) removeWaiter(id quetzalroad.ChangeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, id)
}

func (f *Follower) appendUntilConfirmed(ctx context.Context, data []byte, results <-chan quetzalroad.ChangeResult) (quetzalroad.ChangeResult, error) {
	for {
		appendErr := f.appendOnce(ctx, data)
		wait := f.retryDelay
		if appendErr == nil {
			wait = f.publishTimeout
		}
		timer := time.NewTimer(wait)
		select {
		case result := <-results:
			timer.Stop()
			return result, nil
		case <-ctx.Done():
			timer.Stop()
			return quetzalroad.ChangeResult{}, errors.CombineErrors(appendErr, ctx.Err())
		case <-timer.C:
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
