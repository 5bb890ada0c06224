package quetzalroad

import (
	"context"
	"time"
)

// ProcessLimits are the limits that the platform sets for the process. The zero value of a field means that there is
// none, or that it isn't known.
type ProcessLimits struct {
	MemoryBytes int
	Descriptors int
}

// Intake bounds the connections of callers, and the memory that their requests take while they are received and
// handled.
type Intake interface {
	// Connect returns the account of a new connection, or a refusal if no connection is left. interrupt is called
	// when the request has to give way to another one: it ends the read in progress and doesn't block. It is called
	// at most once between two calls of Release. disconnect is called when the connection has to give way: it closes
	// the connection, and returns once its descriptor is free.
	Connect(interrupt, disconnect func()) (IntakeAccount, *Refusal)
}

// IntakeAccount is what one connection and its current request hold. Its methods are not called concurrently.
type IntakeAccount interface {
	// Hold sets the number of bytes that the request takes, and waits until they fit. The error is a *Refusal if
	// they don't in time, or if the request has to give way.
	Hold(ctx context.Context, bytes int) error
	// SetUrgency states the tier of the request, and by when it has to have arrived. Before that it is of the
	// least urgent tier.
	SetUrgency(t Tier, receivedBy time.Time)
	// Interrupted returns the refusal of a request that has to give way; nil if it doesn't.
	Interrupted() *Refusal
	// SetReceived states that the whole request has arrived. From then on it doesn't give way, unless it returns a
	// refusal because the request already has to.
	SetReceived() *Refusal
	// Release returns what the request holds. The connection stays, and awaits its next request.
	Release()
	// Close returns everything.
	Close()
}

// Body is the body of a request, in parts.
type Body [][]byte

// Len returns the size of the body.
func (b Body) Len() int {
	total := 0
	for _, part := range b {
		total += len(part)
	}
	return total
}

// String returns a copy of the body in one piece.
func (b Body) String() string {
	var text []byte
	for _, part := range b {
		text = append(text, part...)
	}
	return string(text)
}
