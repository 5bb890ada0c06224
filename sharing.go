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
	// Evidence is what the node knows about losses; nil if nothing.
	Evidence *LossEvidence
}

// IsNode reports whether a registration is that of a node. One without an address only holds evidence.
func (r NodeRegistration) IsNode() bool {
	return r.Address.IsValid() && !r.Address.Addr().IsUnspecified()
}

// SharedReadRequest asks a node for records that it has read from the platform's log.
type SharedReadRequest struct {
	Stream LogStream
	// From is the position of the first record to return; NoOffset requests the latest record of each key.
	// Nodes of builds that know no epochs leave the epoch out.
	From Position
	// Node is the node that sends the request; empty if it sends no observations.
	Node NodeName
	// Observations are those of Node; nil if it sends none.
	Observations *Observations
}

// Observations are what a node has recently seen of its own traffic. Nodes exchange them, because a
// single one sees too few requests to notice a burst or a slow upstream in time.
type Observations struct {
	Mixes     []ServiceMix
	Upstreams []UpstreamObservation
	// Limits are what nodes were lately told of the rate limits of upstreams.
	Limits []UpstreamLimit
	// EvidenceDigest is the digest of the sender's evidence of losses; zero if it has none. Evidence is
	// that evidence, or nil if the other node is known to have it.
	EvidenceDigest uint64
	Evidence       *LossEvidence
	// Usage is what the sender itself counted in recent windows, without what the other node is known to have.
	Usage []NodeUsage
	// Demand is the recent demand at the sender.
	Demand []ServiceActivity
}

// LogSharing is a node's part in shared reads of the log.
type LogSharing interface {
	// HasReader reports whether another node reads the log for this one, and collects its observations.
	HasReader() bool
}

// UpstreamObservation is what nodes have recently seen of an upstream.
type UpstreamObservation struct {
	Upstream UpstreamName
	// InterTokenLatency is zero if none was measured.
	InterTokenLatency time.Duration
	// Occupancy is the number of running and waiting requests in the upstream's last load report, and
	// ReportAge the age of that report; both are zero if there was none.
	Occupancy int
	ReportAge time.Duration
}

// ServiceMix is the recent work for a service, divided into that of short and of long prompts.
type ServiceMix struct {
	Service ServiceName
	// ShortWork and LongWork are in prompt tokens. None of the figures is negative; they decay
	// exponentially.
	ShortWork, LongWork float64
	// Requests counts the requests in them.
	Requests float64
}

// MixTracker tracks the mix of short and long prompts.
type MixTracker interface {
	// LocalMix returns the recent work of this node.
	LocalMix(now time.Time) []ServiceMix
	// UpdatePeerMix replaces the recent work of the other nodes.
	UpdatePeerMix(received time.Time, mixes []ServiceMix)
}

// SharedReadStatus is the status of a response to a shared read.
type SharedReadStatus int

// The statuses of a shared read.
const (
	// SharedReadRefused means that the node does not serve shared reads.
	SharedReadRefused SharedReadStatus = iota
	// SharedReadOK means that the response contains records.
	SharedReadOK
	// SharedReadTrimmed means that records from the position on may be missing, or that it belongs to
	// another epoch.
	SharedReadTrimmed
)

// SharedReadResponse is the response to a shared read.
type SharedReadResponse struct {
	Status SharedReadStatus
	// Records are the latest of their keys, in order of offset. Those that changed nothing are
	// left out.
	Records []KeyedRecord
	// Epoch is the one in which the node read the log.
	Epoch    Epoch
	NextRead Offset
	// InheritedEnd is that of StreamBounds.
	InheritedEnd Offset
	// Age is the time between the log's last confirmation of the records and the response.
	Age time.Duration
	// Observations are those of the other nodes that read from the same one; nil if the request
	// had none.
	Observations *Observations
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
