package quetzalroad

import "time"

// Epoch numbers the histories of a log. A log that is restored from an older copy begins a new epoch: its
// latest records are lost, and their offsets are given out again. Zero means that the log states no epoch.
type Epoch uint64

// Position is a place in a log stream. Its offset has no meaning in another epoch.
type Position struct {
	Epoch  Epoch
	Offset Offset
}

// EpochTracker knows the epoch of the platform's log.
type EpochTracker interface {
	// Epoch returns the current epoch.
	Epoch() Epoch
	// Age returns the time since this node has known the current epoch.
	Age() time.Duration
	// ObservePeer notes the epoch in which another node read the log. The error is ErrOutdatedEpoch if it
	// is an earlier one than the current.
	ObservePeer(e Epoch) error
	// Changed receives after the log has begun a new epoch. It has one receiver.
	Changed() <-chan struct{}
}
