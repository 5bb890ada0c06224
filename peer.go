package quetzalroad

import (
	"context"
	"net/netip"
	"time"
)

// PeerAddress is where a node listens for its peers.
type PeerAddress struct {
	Name       NodeName
	DataCentre DataCentre
	Address    netip.AddrPort
}

// StreamOffset is the offset up to which a node has applied a log stream.
type StreamOffset struct {
	Stream LogStream
	Offset Offset
}

// DataCentreDemand is the demand of teams summed over a data centre.
type DataCentreDemand struct {
	DataCentre DataCentre
	// MeasuredAt is the time of the sum on the node that computed it.
	MeasuredAt  time.Time
	TeamDemands []TeamDemand
	// Headroom is the free capacity of each service there.
	Headroom []ServiceHeadroom
}

// ServiceHeadroom is the free capacity of a service in a data centre.
type ServiceHeadroom struct {
	Service ServiceName
	// Free is the number of further requests that fit if preemptible work is preempted.
	Free int
}

// Drain is an operator's request that an upstream gets no new work. It may not have reached the
// log yet.
type Drain struct {
	Upstream UpstreamName
	// ID is the id of the change that publishes the drain.
	ID     ChangeID
	Author string
	// BaseRevision is the revision of the upstream when the drain was requested.
	BaseRevision Revision
	RequestedAt  time.Time
}

// Heartbeat is what a node sends to a peer about itself.
type Heartbeat struct {
	From   PeerAddress
	Region Region
	// CrossDataCentre reports whether the peer is in another data centre. If so, Loads, Reports,
	// TeamDemands and ServiceDemands are empty, and DataCentreDemands holds only the sender's
	// data centre.
	CrossDataCentre bool
	// Stopping reports whether the node is shutting down.
	Stopping          bool
	AppliedOffsets    []StreamOffset
	Loads             []UpstreamLoad
	Reports           []UpstreamReport
	TeamDemands       []TeamDemand
	ServiceDemands    []ServiceDemand
	DataCentreDemands []DataCentreDemand
	Drains            []Drain
	// KnownPeers lists other nodes the sender knows; usually empty.
	KnownPeers []PeerAddress
}

// PeerTransport exchanges messages between nodes.
type PeerTransport interface {
	// ListenAddress is where this node listens for its peers.
	ListenAddress() netip.AddrPort
	// Serve handles the messages of peers until the context ends.
	Serve(ctx context.Context, h PeerHandler) error
	// ExchangeHeartbeat sends a heartbeat to a peer and returns the peer's.
	ExchangeHeartbeat(ctx context.Context, to netip.AddrPort, h Heartbeat) (Heartbeat, error)
	// FetchRecords fetches records from a peer, starting at an offset.
	FetchRecords(ctx context.Context, to netip.AddrPort, s LogStream, from Offset) ([]Record, error)
	// FetchSnapshot fetches the whole published state from a peer if it is newer than an
	// offset; the data is nil if it is not.
	FetchSnapshot(ctx context.Context, to netip.AddrPort, after Offset) ([]byte, Offset, error)
	// Disconnect closes the connections to a peer.
	Disconnect(to netip.AddrPort)
}

// PeerHandler handles the messages of peers.
type PeerHandler interface {
	HandleHeartbeat(h Heartbeat) Heartbeat
	HandleRecords(s LogStream, from Offset) []Record
	HandleSnapshot(after Offset) ([]byte, Offset)
}

// Drainer stops new work to an upstream before the drain is in the log.
type Drainer interface {
	// Drain stops new work at once on this node, sends the drain to peers and publishes it. The
	// error is ErrUnknownUpstream or as for Publish; if publishing fails, the drain stays in
	// effect and pending.
	Drain(ctx context.Context, name UpstreamName, author string) (ChangeResult, error)
	// Undrain publishes that an upstream may get work again.
	Undrain(ctx context.Context, name UpstreamName, author string) (ChangeResult, error)
	// PendingDrains lists the drains that are not in the log yet, for peers.
	PendingDrains() []Drain
	// MergeDrains adds the pending drains of a peer.
	MergeDrains(drains []Drain)
	// HasPendingDrain reports whether an upstream has a drain that is not in the log yet.
	HasPendingDrain(name UpstreamName) bool
}
