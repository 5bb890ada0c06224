package exitwatcher

import "time"

// connState is the state of the second connection to a process.
type connState int

const (
	// connMissing means that the upstream keeps no second connection open, for example because it has too many.
	connMissing connState = iota
	// connOpen means that the process runs, as far as that is known by now.
	connOpen
	// connLost means that the connection ended and that no other one replaced it at once, so that the process may have
	// exited.
	connLost
)

// dialResult is the result of a dial to the address of a process.
type dialResult int

const (
	// dialSilent means that there was no response in time.
	dialSilent dialResult = iota
	// dialRefused means that no process listens. One that shuts down may finish its responses after that.
	dialRefused
	// dialAccepted means that a process listens, but maybe another one than before.
	dialAccepted
)

// maxEndAge is the age up to which the end of a response is recent. A process that exits isn't replaced by another one
// at its address so soon.
const maxEndAge = 500 * time.Millisecond

// evidence is what is known of a process after a response has ended.
type evidence struct {
	conn connState
	// dial is the result of a dial after the end, and endAge how long before it the response ended at most.
	dial   dialResult
	endAge time.Duration
}

// showsProcessRan reports whether the process ran on after the end of the response.
func (e evidence) showsProcessRan() bool {
	switch e.conn {
	case connOpen:
		// If the address doesn't respond, the end of the connection may not have arrived.
		return e.dial != dialSilent
	case connMissing:
		return e.dial == dialAccepted && e.endAge <= maxEndAge
	}
	return false
}
