package quetzalroad

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// SoftwareVersion names a version of the software of an upstream; empty if the upstream states none. The events
// that two versions generate don't fit together, and upstreams don't check which version began a stream.
type SoftwareVersion string

// StreamOrigin is where a stream began. All its events have to come from there.
type StreamOrigin struct {
	Service ServiceName
	Version SoftwareVersion
}

// VersionRecord is what the log states of a software version that a service has in use.
type VersionRecord struct {
	Origin StreamOrigin
	// Announced is set while no stream may begin at the version, as nodes have yet to record the streams that
	// they have begun at another one. Otherwise the version is open.
	Announced bool
	// Epoch is the log's epoch in which the record was written. A log that was restored since may lack records of
	// versions that were opened before it was.
	Epoch Epoch
}

// StreamRecord is what a process of the router records of its streams.
type StreamRecord struct {
	// Origins are where its streams began.
	Origins map[RequestID]StreamOrigin
	// Acknowledged holds the offsets of the announced versions that the process knew when it wrote the record. Each
	// stream of such a service that the process had begun is in the record, and later ones are in the next.
	Acknowledged map[StreamOrigin]Offset
}

// ErrOriginUnknown is returned for a stream of which nobody recorded where it began.
var ErrOriginUnknown = errors.New("it is not known which software version began the stream")

// StreamTracker tracks where resumable streams began, for callers that resume them at any node.
type StreamTracker interface {
	// MayBegin reports whether streams may begin at a software version. It is false until the log states that the
	// version is open, so that a stream without a record can't have begun at a version that is not.
	MayBegin(o StreamOrigin) bool
	// RecordBegun records where the stream began whose first event came with a request. It doesn't block.
	RecordBegun(now time.Time, id RequestID, o StreamOrigin)
	// RecordEnd records that this node passes on no more events of the stream, and whether its last one was.
	RecordEnd(now time.Time, id RequestID, complete bool)
	// Origin returns where the stream began whose first event came with a request, which is to be resumed at a
	// service. It may wait for other nodes to record it, and asks some of them if the log doesn't respond. The error is
	// ErrOriginUnknown if nobody recorded it although the service has had several versions lately, and another one if
	// that can't be told.
	Origin(ctx context.Context, id RequestID, s ServiceName) (StreamOrigin, error)
	// IsReplaced reports whether another incarnation of an upstream had registered when this node last looked up where a
	// stream began, so that the upstream may run another software version than the published state says.
	IsReplaced(u UpstreamName) bool
	// Report returns what this node knows of a stream's origin, for another node. It reads the log, but asks no other
	// node.
	Report(ctx context.Context, q OriginQuestion) OriginReport
}

// OriginQuestion asks where a stream began.
type OriginQuestion struct {
	// Stream is the id of the request that brought the stream's first event; empty if unknown.
	Stream RequestID
	// Service is where the stream is to be resumed.
	Service ServiceName
}

// OriginReport is what a node knows of where a stream began.
type OriginReport struct {
	// Origin is where the stream began; valid only if Found is set.
	Origin StreamOrigin
	Found  bool
	// Versions are the software versions at which streams of the service may have begun lately, as far as the
	// node knows. There are none if the node has not read from the log yet.
	Versions []SoftwareVersion
	// IsCurrent reports whether the log has told the node these versions since it got the question. Others may know
	// versions that a node without a current view doesn't.
	IsCurrent bool
}

// OriginTransport asks other nodes where streams began.
type OriginTransport interface {
	// RequestOrigin returns the report of the node at an address.
	RequestOrigin(ctx context.Context, to netip.AddrPort, q OriginQuestion) (OriginReport, error)
}
