package quetzalroad

import (
	"context"
	"net/netip"
	"time"
)

// NodeRegistration is what a node of the router publishes about itself on the platform's log,
// under its name.
type NodeRegistration struct {
	Name       NodeName
	DataCentre DataCentre
	// Address is where it serves shared reads.
	Address netip.AddrPort
	// ReadCapacity is how many shared reads it can serve, relative to other nodes.
	ReadCapacity float64
	// WrittenAt is when the record was written, by the node's own clock.
	WrittenAt time.Time
}

// SharedReadRequest asks a node for records that it has read from the platform's log.
type SharedReadRequest struct {
	Stream LogStream
	// From is the first offset to return; NoOffset requests the latest record of each key.
	From Offset
}

// SharedReadStatus is the status of a response to a shared read.
type SharedReadStatus int

// The statuses of a shared read.
const (
	// SharedReadRefused means that the node does not serve shared reads.
	SharedReadRefused SharedReadStatus = iota
	// SharedReadOK means that the response contains records.
	SharedReadOK
	// SharedReadTrimmed means that records from the offset on may be missing.
	SharedReadTrimmed
)

// SharedReadResponse is the response to a shared read.
type SharedReadResponse struct {
	Status SharedReadStatus
	// Records are the latest of their keys, in order of offset. Those that changed nothing are
	// left out.
	Records  []KeyedRecord
	NextRead Offset
	// Age is the time between the log's last confirmation of the records and the response.
	Age time.Duration
}

// ReadTransport exchanges shared reads between nodes.
type ReadTransport interface {
	// ListenAddress is where this node listens for shared reads.
	ListenAddress() netip.AddrPort
	// Serve handles the reads of other nodes until the context ends.
	Serve(ctx context.Context, h ReadHandler) error
	// RequestRead sends a shared read to another node.
	RequestRead(ctx context.Context, to netip.AddrPort, q SharedReadRequest) (SharedReadResponse, error)
}

// ReadHandler handles shared reads.
type ReadHandler interface {
	HandleRead(q SharedReadRequest) SharedReadResponse
}
