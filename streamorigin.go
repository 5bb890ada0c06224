package quetzalroad

import (
	"context"
	"errors"
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

// ErrOriginUnknown is returned for a stream of which nobody recorded where it began.
var ErrOriginUnknown = errors.New("it is not known which software version began the stream")

// StreamTracker tracks where resumable streams began, for callers that resume them at any node.
type StreamTracker interface {
	// RecordBegun records where the stream began whose first event came with a request. It doesn't block.
	RecordBegun(now time.Time, id RequestID, o StreamOrigin)
	// RecordEnd records that this node passes on no more events of the stream, and whether its last one was.
	RecordEnd(now time.Time, id RequestID, complete bool)
	// Origin returns where the stream began whose first event came with a request, which is to be resumed at a
	// service. It may wait for other nodes to record it. The error is ErrOriginUnknown if nobody did although the
	// service has had several versions lately, and another one if the records can't be read.
	Origin(ctx context.Context, id RequestID, s ServiceName) (StreamOrigin, error)
}
