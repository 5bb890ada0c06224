package claimer

import (
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/claimmapper"
)

// shardCount is the number of shards of the table.
const shardCount = 64

// status is the progress of the request that holds a key.
type status int

const (
	// statusHeld means that the outcome isn't known yet.
	statusHeld status = iota
	// statusCompleted means that the request was run.
	statusCompleted
	// statusLost means that the outcome will never be known.
	statusLost
)

// entry is the state of a key according to the log.
type entry struct {
	holder      quetzalroad.RequestID
	requestHash quetzalroad.KeyHash
	claimedAt   time.Time
	status      status
	// readIn is the epoch of the log in which a record of the claim was last read.
	readIn quetzalroad.Epoch
	// restated is set if the claim was granted before the log was restored from an older copy.
	restated bool
	// response is set if status is statusCompleted and the response was stored.
	response *quetzalroad.ServiceResponse
	// watchers are closed when the status changes or the key is released.
	watchers []chan struct{}
}

// shard holds the keys whose first byte maps to it.
type shard struct {
	mu sync.Mutex
	// entries is guarded by mu and allocated on first use. It depends only on the applied records.
	entries map[quetzalroad.KeyHash]*entry
	// waiting holds a channel for each claim of this node that has not been read back yet.
	waiting map[quetzalroad.RequestID]chan quetzalroad.ClaimState
	// abandoned holds the times at which claims of this node were abandoned
	// before their request ran; the log may hold such a claim several times.
	abandoned map[quetzalroad.RequestID]time.Time
}

// abandon records that the request of a claim was not and will not be run.
func (sh *shard) abandon(attemptID quetzalroad.RequestID, now time.Time) {
	if sh.abandoned == nil {
		sh.abandoned = make(map[quetzalroad.RequestID]time.Time)
	}
	sh.abandoned[attemptID] = now
}

// table holds the claims of all nodes as read from the log. The zero value is ready for use.
type table struct {
	shards [shardCount]shard
}

func (t *table) shard(key quetzalroad.KeyHash) *shard {
	return &t.shards[key[0]%shardCount]
}

// applyClaim assigns a key to the first request that claims it, and returns the
// state for the claiming request. Applying a claim again changes nothing.
func (sh *shard) applyClaim(e claimmapper.Entry, window time.Duration) quetzalroad.ClaimState {
	existing := sh.entries[e.Key]
	if existing == nil {
		if sh.entries == nil {
			sh.entries = make(map[quetzalroad.KeyHash]*entry)
		}
		sh.entries[e.Key] = &entry{holder: e.ID, requestHash: e.RequestHash, claimedAt: e.ClaimedAt}
		return quetzalroad.ClaimGranted
	}
	if existing.holder == e.ID {
		return quetzalroad.ClaimGranted
	}
	return existing.stateFor(e.RequestHash, e.ClaimedAt, window)
}

// applyRestatement assigns a key to the request that held it before the log was restored, whoever has
// claimed it since: no claim is granted until all have been restated.
func (sh *shard) applyRestatement(e claimmapper.Entry) {
	existing := sh.entries[e.Key]
	switch {
	case existing != nil && existing.holder == e.ID:
		existing.restated = true
		return
	case existing != nil && existing.restated:
		return
	case existing != nil:
		existing.notify()
	case sh.entries == nil:
		sh.entries = make(map[quetzalroad.KeyHash]*entry)
	}
	sh.entries[e.Key] = &entry{holder: e.ID, requestHash: e.RequestHash, claimedAt: e.ClaimedAt, restated: true}
}

// markRead notes the epoch in which a record of a claim was read.
func (sh *shard) markRead(e claimmapper.Entry, epoch quetzalroad.Epoch) {
	if existing := sh.entries[e.Key]; existing != nil && existing.holder == e.ID {
		existing.readIn = epoch
	}
}

// stateFor returns the state of the claim for a request made at a later time. A claim whose outcome
// is lost counts as held.
func (e *entry) stateFor(requestHash quetzalroad.KeyHash, at time.Time, window time.Duration) quetzalroad.ClaimState {
	switch {
	case at.Sub(e.claimedAt) > window:
		return quetzalroad.ClaimExpired
	case e.requestHash != requestHash:
		return quetzalroad.ClaimReused
	case e.status == statusCompleted:
		return quetzalroad.ClaimCompleted
	}
	return quetzalroad.ClaimHeld
}

func (sh *shard) applyOutcome(e claimmapper.Entry) {
	existing := sh.entries[e.Key]
	if existing == nil || existing.holder != e.ID || existing.status != statusHeld {
		return
	}
	existing.status = statusCompleted
	if e.OutcomeUnknown {
		existing.status = statusLost
	}
	existing.response = e.Response
	existing.notify()
}

func (sh *shard) applyRelease(e claimmapper.Entry) {
	existing := sh.entries[e.Key]
	if existing == nil || existing.holder != e.ID || existing.status != statusHeld {
		return
	}
	delete(sh.entries, e.Key)
	existing.notify()
}

func (e *entry) notify() {
	for _, w := range e.watchers {
		close(w)
	}
	e.watchers = nil
}

// expire removes the keys claimed and the claims abandoned before the cutoff.
func (t *table) expire(cutoff time.Time) {
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for key, e := range sh.entries {
			if e.claimedAt.Before(cutoff) {
				e.notify()
				delete(sh.entries, key)
			}
		}
		for attemptID, abandonedAt := range sh.abandoned {
			if abandonedAt.Before(cutoff) {
				delete(sh.abandoned, attemptID)
			}
		}
		sh.mu.Unlock()
	}
}

// count returns the number of keys.
func (t *table) count() int {
	sum := 0
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		sum += len(sh.entries)
		sh.mu.Unlock()
	}
	return sum
}
