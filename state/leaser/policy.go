package leaser

import (
	"slices"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/leasemapper"
)

const (
	// rankDelay separates the claims of two nodes of consecutive ranks.
	rankDelay = 200 * time.Millisecond
	// retryDelay is the time between a failed renewal and the next one.
	retryDelay = 200 * time.Millisecond
	// maxRecentHolders bounds the list of earlier holders in the record.
	maxRecentHolders = 8
	// epochShift places the epoch above the tokens that one epoch can issue.
	epochShift = 32
	// maxEpoch keeps tokens below 1<<53, up to which readers that use floating point are exact.
	maxEpoch = 1<<(53-epochShift) - 1
)

// policy decides when to read, claim and renew. It does no I/O and reads no clock.
type policy struct {
	// duration is how long the lease lasts after the sending of a renewal, and margin how much longer other nodes
	// wait, for commands that arrive late.
	duration, margin time.Duration
	// renewEvery is the interval between two renewals, and between two reads of a candidate.
	renewEvery time.Duration
	// checkEvery is the interval between two reads of the first node that is no candidate.
	checkEvery time.Duration
	candidates int
}

// takeOverDelay is how long a record has to be unchanged until the lease of its holder is over for certain.
func (p policy) takeOverDelay() time.Duration {
	return p.duration + p.margin
}

// view is what a node that doesn't hold the lease knows about it after a read.
type view struct {
	// record is the last one written in the log's current epoch; nil if there is none.
	record *leasemapper.Record
	// own reports whether this process wrote the record.
	own bool
	// unchangedFor is the time from the response to the first read that returned the record to the sending of the
	// last one.
	unchangedFor time.Duration
	// epochKnownFor is how long this node had known the log's epoch when the last read was sent.
	epochKnownFor time.Duration
	self          quetzalroad.NodeName
	rank          int
}

// isRecentHolder reports whether a node held the lease last or shortly before.
func isRecentHolder(r leasemapper.Record, n quetzalroad.NodeName) bool {
	return r.Holder == n || slices.Contains(r.RecentHolders, n)
}

// claimDelay returns how much longer the view has to stay the same until the node may claim the lease; zero or less
// if it may now. Without a record of the current epoch no lease was granted in it, and those of earlier epochs ended
// within their duration after this node learnt of the current one.
func (p policy) claimDelay(v view) time.Duration {
	behind := time.Duration(v.rank) * rankDelay
	switch {
	case v.record == nil:
		return p.takeOverDelay() + behind - v.epochKnownFor
	case v.own && !v.record.Released:
		return 0
	case v.record.Released && !isRecentHolder(*v.record, v.self):
		return behind - v.unchangedFor
	}
	return p.takeOverDelay() + behind - v.unchangedFor
}

// readInterval returns the time between two reads of the node of a rank. Nodes that don't read frequently do so in
// proportion to their rank, so that the reads of all together grow with the logarithm of the fleet.
func (p policy) readInterval(rank int, frequent bool) time.Duration {
	if frequent {
		return p.renewEvery
	}
	return p.checkEvery * time.Duration(max(rank, p.candidates)) / time.Duration(p.candidates)
}

// readDelay returns the time until the next read of a node that may claim after a delay. One that reads frequently
// does so when it may claim.
func (p policy) readDelay(rank int, frequent bool, claimDelay time.Duration) time.Duration {
	interval := p.readInterval(rank, frequent)
	if frequent {
		return min(interval, claimDelay)
	}
	return interval
}

// lowestCandidate is the rank of a node that doesn't know the others.
func (p policy) lowestCandidate() int {
	return p.candidates - 1
}

// latestTime returns the later of the time of day and of what it would be without steps since the process began. If
// the clock was set back, states that are lost would pass for ones that were never saved.
func latestTime(now, withoutSteps time.Time) time.Time {
	// Round strips the monotonic readings, by which the times would be compared.
	now, withoutSteps = now.Round(0), withoutSteps.Round(0)
	if now.Before(withoutSteps) {
		return withoutSteps
	}
	return now
}

// claimant is the node that claims the lease.
type claimant struct {
	node        quetzalroad.NodeName
	incarnation string
	epoch       quetzalroad.Epoch
	// epochKnownSince is when the node first knew the epoch.
	epochKnownSince time.Time
}

// nextRecord returns the record with which a node claims the lease. previous is the last one of the current epoch or,
// if there is none, of an earlier one; nil if there is none at all.
func nextRecord(previous *leasemapper.Record, c claimant) leasemapper.Record {
	next := leasemapper.Record{Holder: c.node, Incarnation: c.incarnation, Epoch: c.epoch, Token: quetzalroad.FencingToken(c.epoch)<<epochShift + 1}
	if previous == nil || previous.Epoch != c.epoch {
		next.LostBefore = c.epochKnownSince
	} else {
		next.LostBefore = previous.LostBefore
	}
	if previous == nil {
		return next
	}
	next.Token = max(next.Token, previous.Token+1)
	next.States = previous.States
	next.RecentHolders = append(next.RecentHolders, previous.Holder)
	for _, n := range previous.RecentHolders {
		if n != previous.Holder && len(next.RecentHolders) < maxRecentHolders {
			next.RecentHolders = append(next.RecentHolders, n)
		}
	}
	return next
}
