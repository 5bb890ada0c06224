package epochtracker

import (
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// minConfirmations is the number of responses in a row that have to state the same earlier epoch before it
// is believed. The later one was then stated in error.
const minConfirmations = 3

// belief is the current epoch, by the responses of the log. A later epoch is believed at once, as positions
// of the one before are wrong in it. The zero value knows no epoch.
type belief struct {
	mu sync.Mutex
	// The fields below are guarded by mu. epoch is the current one, since when it has been.
	epoch quetzalroad.Epoch
	since boottimer.Instant
	// known is set once the log has responded.
	known bool
	// earlier is an epoch before the current one, and confirmations the number of the last responses in a
	// row that stated it.
	earlier       quetzalroad.Epoch
	confirmations int
}

// verdict is what a response's epoch means.
type verdict int

const (
	// current means that the response belongs to the current epoch.
	current verdict = iota
	// changed means that the response belongs to the current epoch, which is a new one.
	changed
	// outdated means that the response belongs to an earlier epoch.
	outdated
)

func (b *belief) current() quetzalroad.Epoch {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.epoch
}

// age returns the time since the current epoch was first stated.
func (b *belief) age() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.since.Age()
}

// observe notes the epoch that the log stated in its response to a request.
func (b *belief) observe(e quetzalroad.Epoch, sentAt boottimer.Instant) verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.known:
		b.set(e)
		return current
	case e == b.epoch:
		b.confirmations = 0
		return current
	case e > b.epoch:
		return b.advance(e)
	case !sentAt.After(b.since):
		// The log may have responded before it was restored.
		return outdated
	case e != b.earlier:
		b.earlier, b.confirmations = e, 0
	}
	b.confirmations++
	if b.confirmations < minConfirmations {
		return outdated
	}
	b.set(e)
	return changed
}

// observePeer notes the epoch in which another node read the log. Only the log itself can correct a
// later epoch that was stated in error.
func (b *belief) observePeer(e quetzalroad.Epoch) verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case e == b.epoch:
		return current
	case e < b.epoch:
		return outdated
	}
	return b.advance(e)
}

// advance changes to a later epoch. The first one that is stated is no change of the log. The caller holds mu.
func (b *belief) advance(e quetzalroad.Epoch) verdict {
	first := b.epoch == 0
	b.set(e)
	if first {
		return current
	}
	return changed
}

// set changes the current epoch. The caller holds mu.
func (b *belief) set(e quetzalroad.Epoch) {
	b.epoch, b.known, b.since = e, true, boottimer.Now()
	b.earlier, b.confirmations = 0, 0
}
