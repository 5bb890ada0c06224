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

// replacementTime is the time that passes at least until another process listens at the address of one that exits.
const replacementTime = 500 * time.Millisecond

// evidence is what is known of a process after responses have ended.
type evidence struct {
	conn connState
	// openedAt is when the second connection was opened; valid only if conn is connOpen.
	openedAt time.Time
	// dial is the result of a dial after the ends.
	dial dialResult
}

// showsProcessRan reports whether the process ran on after the end of a response. A connection leads to the process of
// the response only if it was opened soon after the last data at the latest.
func (e evidence) showsProcessRan(q question) bool {
	latest := q.lastDataAt().Add(replacementTime)
	switch {
	case e.conn == connLost:
		return false
	case e.conn == connOpen && !e.openedAt.After(latest):
		// If the address doesn't respond, the end of the connection may not have arrived.
		return e.dial != dialSilent
	}
	return e.dial == dialAccepted && !q.readAt.After(latest)
}
