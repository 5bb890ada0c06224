package quetzalroad

import (
	"context"
	"net/netip"
	"time"
)

// NodeRegistration is what a node of the router tells the others of itself on the
// platform's log, under its name.
type NodeRegistration struct {
	Name       NodeName
	DataCentre DataCentre
	// Address is where it answers reads for others.
	Address netip.AddrPort
	// ReadCapacity is how much it can hand on, relative to others.
	ReadCapacity float64
	// WrittenAt is when it said so, by its own time of day.
	WrittenAt time.Time
}

// SharedReadRequest asks a node for what it read from the platform's log.
type SharedReadRequest struct {
	Stream LogStream
	// From is the offset from which on records are wanted; NoOffset asks for
	// the newest of each key.
	From Offset
}

// SharedReadStatus is how a node answers a shared read.
type SharedReadStatus int

// The answers to a shared read.
const (
	// SharedReadRefused comes from a node that doesn't read for others.
	SharedReadRefused SharedReadStatus = iota
	// SharedReadOK comes with records.
	SharedReadOK
	// SharedReadTrimmed tells that records from the offset on may be missing.
	SharedReadTrimmed
)

// SharedReadResponse answers a shared read.
type SharedReadResponse struct {
	Status SharedReadStatus
	// Records are the newest of their keys, in order of offset. Those that
	// changed nothing are left out.
	Records  []KeyedRecord
	NextRead Offset
	// Age is the time since the moment for which the log confirmed them, as of
	// the answer.
	Age time.Duration
}

// ReadTransport carries shared reads between nodes.
type ReadTransport interface {
	// ListenAddress is where this node listens.
	ListenAddress() netip.AddrPort
	// Serve answers others until the context ends.
	Serve(ctx context.Context, h ReadHandler) error
	// RequestRead asks another node.
	RequestRead(ctx context.Context, to netip.AddrPort, q SharedReadRequest) (SharedReadResponse, error)
}

// ReadHandler answers shared reads.
type ReadHandler interface {
	HandleRead(q SharedReadRequest) SharedReadResponse
}
