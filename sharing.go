package quetzalroad

import (
	"context"
	"net/netip"
	"time"
)

// NodeEntry is what a node of the router tells the others of itself on the
// platform's log, under its name.
type NodeEntry struct {
	Name       NodeName
	DataCentre DataCentre
	// Address is where it answers reads for others.
	Address netip.AddrPort
	// Capacity is how much it can hand on, relative to others.
	Capacity float64
	// Written is when it said so, by its own time of day.
	Written time.Time
}

// SharedRead asks a node for what it read from the platform's log.
type SharedRead struct {
	Stream Stream
	// From is the offset from which on records are wanted; NoOffset asks for
	// the newest of each key.
	From Offset
}

// SharedState is how a node answers a shared read.
type SharedState int

// The answers to a shared read.
const (
	// SharedRefused comes from a node that doesn't read for others.
	SharedRefused SharedState = iota
	// SharedGiven comes with records.
	SharedGiven
	// SharedTrimmed tells that records from the offset on may be missing.
	SharedTrimmed
)

// SharedRecords answers a shared read.
type SharedRecords struct {
	State SharedState
	// Records are the newest of their keys, in order of offset. Those that
	// changed nothing are left out.
	Records []KeyedRecord
	Through Offset
	// Age is the time since the moment for which the log confirmed them, as of
	// the answer.
	Age time.Duration
}

// ReadTransport carries shared reads between nodes.
type ReadTransport interface {
	// Address is where this node listens.
	Address() netip.AddrPort
	// Serve answers others until the context ends.
	Serve(ctx context.Context, h ReadHandler) error
	// Read asks another node.
	Read(ctx context.Context, to netip.AddrPort, q SharedRead) (SharedRecords, error)
}

// ReadHandler answers shared reads.
type ReadHandler interface {
	Read(q SharedRead) SharedRecords
}
