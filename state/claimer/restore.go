package claimer

import (
	"math/rand/v2"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/claimmapper"
)

const (
	// firstEpoch is the epoch of a log that was never restored from an older copy.
	firstEpoch quetzalroad.Epoch = 1
	// maxCopyAge bounds the age of the copy from which a log is restored. Claims that are older have left
	// the log by retention.
	maxCopyAge = 10 * time.Minute
	// restateShare is the part of the settle time over which the nodes spread their restatements.
	restateShare = 0.5
)

// position is where the claims stream is read, and how far this node is after a restore of the log.
type position struct {
	next quetzalroad.Position
	// atEnd is set once the stream was read to its end in the epoch.
	atEnd bool
	// restateAt is when this node restates its claims, and settledAt when claims are granted again; both
	// are zero in the first epoch.
	restateAt, settledAt time.Time
	restated             bool
}

// readWait returns how long the next read waits for records.
func (c *Claimer) readWait() time.Duration {
	switch {
	case c.caughtUp.Load():
		return c.pollWait
	case c.position.atEnd:
		return c.retryDelay
	}
	return 0
}

// beginEpoch reads the stream from its beginning in another epoch of the log. What was claimed in records
// that the log has lost is still claimed, but a node that starts doesn't know it: until all nodes have had
// time to restate such claims, no key is granted.
func (c *Claimer) beginEpoch(e quetzalroad.Epoch) {
	c.caughtUp.Store(false)
	c.position = position{next: quetzalroad.Position{Epoch: e}}
	if e <= firstEpoch {
		return
	}
	now := time.Now()
	c.position.restateAt = now.Add(time.Duration(rand.Float64() * restateShare * float64(c.settleTime)))
	c.position.settledAt = now.Add(c.settleTime)
	c.vars.Add("claims-epochs", 1)
	c.logger.Warn("log restored from an older copy; granting no idempotency keys until claims were restated", "epoch", uint64(e), "until", c.position.settledAt)
}

// reachEnd is called when the stream was read to its end.
func (c *Claimer) reachEnd() {
	p := &c.position
	p.atEnd = true
	now := time.Now()
	if !p.restated && !now.Before(p.restateAt) {
		p.restated = true
		c.restateClaims(now)
	}
	if p.restated && !now.Before(p.settledAt) {
		c.caughtUp.Store(true)
	}
}

// restateClaims appends the claims that this node knows and the restored log lacks, with their outcomes.
func (c *Claimer) restateClaims(now time.Time) {
	if c.position.next.Epoch <= firstEpoch {
		return
	}
	count := 0
	for i := range c.table.shards {
		for _, e := range c.table.shards[i].lostEntries(c.position.next.Epoch, now.Add(-maxCopyAge)) {
			c.batch.add(e)
			count++
		}
	}
	c.logger.Info("claims restated", "epoch", uint64(c.position.next.Epoch), "entries", count)
}

// lostEntries returns entries that restate the claims made after a time that were not read in an epoch.
func (sh *shard) lostEntries(epoch quetzalroad.Epoch, after time.Time) []claimmapper.Entry {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var lost []claimmapper.Entry
	for key, e := range sh.entries {
		if e.readIn == epoch || e.claimedAt.Before(after) {
			continue
		}
		lost = append(lost, claimmapper.Entry{Kind: claimmapper.EntryRestatement, Key: key, RequestHash: e.requestHash, ID: e.holder, ClaimedAt: e.claimedAt})
		if e.status != statusHeld {
			lost = append(lost, claimmapper.Entry{Kind: claimmapper.EntryCompletion, Key: key, ID: e.holder, Response: e.response, OutcomeUnknown: e.status == statusLost})
		}
	}
	return lost
}
