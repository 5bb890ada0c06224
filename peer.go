package quetzalroad

import (
	"context"
	"net/netip"
	"time"
)

// PeerAddress tells where a node listens to its peers.
type PeerAddress struct {
	Name       NodeName
	DataCentre DataCentre
	Address    netip.AddrPort
}

// StreamOffset is how far a node has applied a stream.
type StreamOffset struct {
	Stream LogStream
	Offset Offset
}

// DataCentreDemand is the demand of teams summed over a data centre.
type DataCentreDemand struct {
	DataCentre DataCentre
	// MeasuredAt is the time of the sum on the node that formed it.
	MeasuredAt  time.Time
	TeamDemands []TeamDemand
	// Headroom tells how much room each service has left there.
	Headroom []ServiceHeadroom
}

// ServiceHeadroom is the room that a service has left in a data centre.
type ServiceHeadroom struct {
	Service ServiceName
	// Free counts the slots that work which can't be paused leaves.
	Free int
}

// Drain is an operator's wish that an upstream gets no new work, which may
// not have reached the log yet.
type Drain struct {
	Upstream UpstreamName
	// ID is the id of the change that publishes it.
	ID     ChangeID
	Author string
	// BaseRevision is the upstream's revision that it was made from.
	BaseRevision Revision
	RequestedAt  time.Time
}

// Heartbeat is what a node tells a peer of itself.
type Heartbeat struct {
	From   PeerAddress
	Region Region
	// CrossDataCentre tells that the peer is in another data centre. Loads, reports and
	// demands are left out then, and places hold the sender's own.
	CrossDataCentre bool
	// Stopping tells that the node is leaving.
	Stopping          bool
	AppliedOffsets    []StreamOffset
	Loads             []UpstreamLoad
	Reports           []UpstreamReport
	TeamDemands       []TeamDemand
	ServiceDemands    []ServiceDemand
	DataCentreDemands []DataCentreDemand
	Drains            []Drain
	// KnownPeers lists others that the sender knows; mostly left out.
	KnownPeers []PeerAddress
}

// PeerTransport carries messages between nodes.
type PeerTransport interface {
	// ListenAddress is where this node listens to its peers.
	ListenAddress() netip.AddrPort
	// Serve answers peers until the context ends.
	Serve(ctx context.Context, h PeerHandler) error
	// ExchangeHeartbeat exchanges heartbeats with a peer.
	ExchangeHeartbeat(ctx context.Context, to netip.AddrPort, h Heartbeat) (Heartbeat, error)
	// FetchRecords asks a peer for records from an offset on.
	FetchRecords(ctx context.Context, to netip.AddrPort, s LogStream, from Offset) ([]Record, error)
	// FetchSnapshot asks a peer for the whole published state if it is above an
	// offset; the data is nil where it isn't.
	FetchSnapshot(ctx context.Context, to netip.AddrPort, after Offset) ([]byte, Offset, error)
	// Disconnect closes the connections to a peer.
	Disconnect(to netip.AddrPort)
}

// PeerHandler answers the messages of peers.
type PeerHandler interface {
	HandleHeartbeat(h Heartbeat) Heartbeat
	HandleRecords(s LogStream, from Offset) []Record
	HandleSnapshot(after Offset) ([]byte, Offset)
}

// Drainer keeps upstreams from getting new work before the log knows of it.
type Drainer interface {
	// Drain marks an upstream at once, on this node and by its peers on
	// theirs, and publishes the drain. The error is as for Publish; the mark
	// stays when the log is away.
	Drain(ctx context.Context, name UpstreamName, author string) (ChangeResult, error)
	// Undrain publishes that an upstream may get work again.
	Undrain(ctx context.Context, name UpstreamName, author string) (ChangeResult, error)
	// PendingDrains lists the drains that are not in the log yet, for peers.
	PendingDrains() []Drain
	// MergeDrains takes a peer's marks.
	MergeDrains(drains []Drain)
	// HasPendingDrain tells that an upstream has a mark.
	HasPendingDrain(name UpstreamName) bool
}
