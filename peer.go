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

// StreamHead is how far a node has applied a stream.
type StreamHead struct {
	Stream Stream
	Offset Offset
}

// PlaceDemand is the demand of teams summed over a data centre.
type PlaceDemand struct {
	DataCentre DataCentre
	// Taken is the time of the sum on the node that formed it.
	Taken  time.Time
	Demand []TeamDemand
	// Rooms tells how much room each service has left there.
	Rooms []ServiceRoom
}

// ServiceRoom is the room that a service has left in a data centre.
type ServiceRoom struct {
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
	// Base is the upstream's revision that it was made from.
	Base  Revision
	Asked time.Time
}

// Heartbeat is what a node tells a peer of itself.
type Heartbeat struct {
	From   PeerAddress
	Region Region
	// Far tells that the peer is in another data centre. Loads, reports and
	// demands are left out then, and places hold the sender's own.
	Far bool
	// Stopping tells that the node is leaving.
	Stopping bool
	Heads    []StreamHead
	Loads    []UpstreamLoad
	Reports  []UpstreamReport
	Teams    []TeamDemand
	Services []ServiceDemand
	Places   []PlaceDemand
	Drains   []Drain
	// Nodes lists others that the sender knows; mostly left out.
	Nodes []PeerAddress
}

// PeerTransport carries messages between nodes.
type PeerTransport interface {
	// Address is where this node listens to its peers.
	Address() netip.AddrPort
	// Serve answers peers until the context ends.
	Serve(ctx context.Context, h PeerHandler) error
	// Beat exchanges heartbeats with a peer.
	Beat(ctx context.Context, to netip.AddrPort, h Heartbeat) (Heartbeat, error)
	// Records asks a peer for records from an offset on.
	Records(ctx context.Context, to netip.AddrPort, s Stream, from Offset) ([]Record, error)
	// Snapshot asks a peer for the whole published state if it is above an
	// offset; the data is nil where it isn't.
	Snapshot(ctx context.Context, to netip.AddrPort, above Offset) ([]byte, Offset, error)
	// Drop closes the connections to a peer.
	Drop(to netip.AddrPort)
}

// PeerHandler answers the messages of peers.
type PeerHandler interface {
	Beat(h Heartbeat) Heartbeat
	Records(s Stream, from Offset) []Record
	Snapshot(above Offset) ([]byte, Offset)
}

// Drainer keeps upstreams from getting new work before the log knows of it.
type Drainer interface {
	// Drain marks an upstream at once, on this node and by its peers on
	// theirs, and publishes the drain. The error is as for Publish; the mark
	// stays when the log is away.
	Drain(ctx context.Context, name UpstreamName, author string) (Verdict, error)
	// Undrain publishes that an upstream may get work again.
	Undrain(ctx context.Context, name UpstreamName, author string) (Verdict, error)
	// Marks lists the drains that are not in the log yet, for peers.
	Marks() []Drain
	// Merge takes a peer's marks.
	Merge(marks []Drain)
	// Marked tells that an upstream has a mark.
	Marked(name UpstreamName) bool
}
