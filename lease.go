package quetzalroad

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// FencingToken numbers the holders of a lease. It rises with each change of the holder, also across a restore of
// the log.
type FencingToken uint64

// DutyName names work that one node at a time performs.
type DutyName string

// Duty is work that only the holder of the lease performs.
type Duty interface {
	// Name is unique among the duties, and the same on all nodes.
	Name() DutyName
	// Perform is called when this node has become the holder. It returns once ctx is done, which is the case when
	// the lease ends or the node stops.
	Perform(ctx context.Context, l Lease)
}

// Lease is a lease that this node holds, or held.
type Lease interface {
	// Token is the holder's fencing token.
	Token() FencingToken
	// State returns what the holders of the lease last saved for a duty; nil if nothing.
	State(d DutyName) []byte
	// LostBefore is the time before which saved states may be missing, because the log was restored from an older
	// copy or holds no lease; zero if none is missing.
	LostBefore() time.Time
	// Save stores the state of a duty for this and later holders. It has been stored if the error is nil. After an
	// error it may have been.
	Save(ctx context.Context, d DutyName, state []byte) error
	// Check returns nil if the lease lasts for at least d from now, and ErrLeaseEnded otherwise. A duty calls it
	// immediately before each command that only the holder may send, with the time limit of the command.
	Check(d time.Duration) error
	// Unconfirmed records that a command may still be on its way, so that the lease isn't handed over early.
	Unconfirmed()
}

// ErrLeaseEnded reports that this node doesn't hold the lease for long enough.
var ErrLeaseEnded = errors.New("the lease has ended or is about to")

// Leaser grants a lease to one node at a time, whose duties that node performs.
type Leaser interface {
	// AddDuty registers a duty. It is called before the node starts.
	AddDuty(d Duty)
	// Holder returns the holder as of the last read of the log, and its token; false if none is known.
	Holder() (LeaseHolder, bool)
}

// LeaseHolder is the holder of a lease as another node sees it.
type LeaseHolder struct {
	Node  NodeName
	Token FencingToken
	// Since is when this node first saw the token.
	Since time.Time
}

// ErrConflict reports that a conditional write was not made because the stream did not end at the given offset.
var ErrConflict = errors.New("the log stream does not end at the offset")

// ConditionalWriter writes to the router's own log streams under a condition.
type ConditionalWriter interface {
	// PutKeyedAt sets the latest value of a key if the stream ends at an offset, and returns the stream's new end
	// and the epoch in which it was stored. The error is ErrConflict if it didn't end there. After any other error
	// the record may have been stored, or may be stored later while the condition holds.
	PutKeyedAt(ctx context.Context, s LogStream, key string, value []byte, end Offset) (Position, error)
}

// The log streams of duties.
const (
	// LogStreamLeases holds the lease.
	LogStreamLeases LogStream = "leases"
	// LogStreamActivity holds the activity reports of nodes.
	LogStreamActivity LogStream = "activity"
)
