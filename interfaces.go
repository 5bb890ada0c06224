package quetzalroad

import (
	"context"
	"net/netip"
	"time"
)

// Directory looks up the published state. The slices it returns are shared and must not be
// modified.
type Directory interface {
	TeamByKey(hash KeyHash) (Team, bool)
	Team(name TeamName) (Team, bool)
	Profile(name ProfileName) (Profile, bool)
	Service(name ServiceName) (Service, bool)
	ServiceForModel(name ModelName) (Service, bool)
	Upstream(name UpstreamName) (Upstream, bool)
	// UpstreamByRevision and TeamByRevision return the name of the object whose current revision
	// is r. Peers send each other revisions because names are longer.
	UpstreamByRevision(r Revision) (UpstreamName, bool)
	TeamByRevision(r Revision) (TeamName, bool)
	// UpstreamsOf lists the upstreams of a service, sorted by name.
	UpstreamsOf(service ServiceName) []Upstream
	Teams() []Team
	Profiles() []Profile
	Services() []Service
	Upstreams() []Upstream
	// AppliedOffset is the offset of the last applied record; with a log whose offsets may be given out
	// again, a number that grows with each applied state.
	AppliedOffset() Offset
}

// DrainMarker records the drains that upstreams announce in their responses.
type DrainMarker interface {
	// MarkDraining records that an incarnation of an upstream drains. It takes effect at once and for good,
	// whatever its registration says.
	MarkDraining(u UpstreamName)
}

// Publisher changes the published state.
type Publisher interface {
	// Publish appends a change and waits until it has been read back. The error is a
	// ConflictError if another change was accepted first, or an UnconfirmedError if the log did
	// not confirm it in time.
	Publish(ctx context.Context, c Change) (ChangeResult, error)
}

// Next is the position at which to continue reading.
func (b StreamBounds) Next() Position {
	return Position{Epoch: b.Epoch, Offset: b.NextRead}
}

// Record is one entry of a log stream.
type Record struct {
	Offset Offset
	Data   []byte
}

// StreamBounds is the extent of a log stream as of a read.
type StreamBounds struct {
	// Epoch is the one in which the log responded, and the one that the offsets belong to.
	Epoch Epoch
	// Earliest is the lowest offset that can still be read.
	Earliest Offset
	// End is the offset of the next append.
	End Offset
	// NextRead is the offset at which to continue reading: all relevant records below it have
	// been returned.
	NextRead Offset
	// Age is the time between the log's last confirmation of these bounds and the call; zero if
	// the log itself responded.
	Age time.Duration
	// InheritedEnd is the offset below which records may come from the copy with which the epoch began;
	// zero if unknown.
	InheritedEnd Offset
	// Hops is the number of hops from the log to the last node that receives these records; one
	// if this node reads the log itself and passes them to no other node. The time limit for
	// propagating a change is divided among them.
	Hops int
}

// LogStream names a stream of the platform's log.
type LogStream string

// The log streams whose records are read in full.
const (
	LogStreamState  LogStream = "state"
	LogStreamClaims LogStream = "claims"
)

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record. After an error the record may or may not have been stored.
	Append(ctx context.Context, s LogStream, data []byte) (Offset, error)
	// Read returns records from an offset on, and waits up to wait for the first. If retention
	// removed the records at that offset, the first one returned has a higher offset. The records belong
	// to the epoch of the bounds, in which the offset may mean another record than before.
	Read(ctx context.Context, s LogStream, from Offset, wait time.Duration) ([]Record, StreamBounds, error)
}

// VMState is a VM's state according to the platform.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// The roles of a VM.
const (
	RoleNode     = "node"
	RoleUpstream = "upstream"
)

// VM is one entry of the platform's VM list, which lags behind reality.
type VM struct {
	// Address is the VM's or process's address.
	Address netip.AddrPort
	// Role is RoleNode or RoleUpstream.
	Role string
	// Name is the node's or upstream's name.
	Name string
	// DataCentre is where it runs.
	DataCentre DataCentre
	// State is the state as known to the platform.
	State VMState
}

// VMList is the platform's list of VMs. It lags behind reality.
type VMList interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// ChatStream is an engine's response being received.
type ChatStream interface {
	// Next waits for the next event. The error is io.EOF after a complete response and an
	// *AttemptError otherwise.
	Next() (ChatEvent, error)
	// Close cancels an incomplete response.
	Close() error
}

// ChatClient sends requests to model engines.
type ChatClient interface {
	// Start sends a chat request. With a nil resume point the response starts at the beginning.
	// The error is an *AttemptError.
	Start(ctx context.Context, u Upstream, c *ChatRequest, resume *ResumePoint) (ChatStream, error)
	// FetchLoadReport fetches the load report of an engine.
	FetchLoadReport(ctx context.Context, u Upstream) (LoadReport, error)
}

// ServiceClient sends requests to plain services.
type ServiceClient interface {
	// Call sends a request and reads the whole response. The error is an *AttemptError.
	Call(ctx context.Context, u Upstream, c *ServiceRequest) (*ServiceResponse, error)
	// FetchLoadReport fetches the load report of a service.
	FetchLoadReport(ctx context.Context, u Upstream) (LoadReport, error)
}

// ClaimState is the state of an idempotency key in the log.
type ClaimState int

// The states of a claim.
const (
	// ClaimGranted means that the request may run.
	ClaimGranted ClaimState = iota + 1
	// ClaimCompleted means that an earlier request with the key was answered.
	ClaimCompleted
	// ClaimHeld means that an earlier request holds the key and its outcome is unknown.
	ClaimHeld
	// ClaimExpired means that the key's lifetime has ended.
	ClaimExpired
	// ClaimReused means that the key was used for a different request.
	ClaimReused
)

// Claim is the result of claiming an idempotency key.
type Claim struct {
	State ClaimState
	// Response is the earlier response if State is ClaimCompleted. It is nil if the response
	// was too large to store.
	Response *ServiceResponse
}

// Claimer ensures that requests with the same key run at most once across all nodes.
type Claimer interface {
	// Claim claims the right to run. After an error the request must not run and may be
	// reported as not run.
	Claim(ctx context.Context, key KeyHash, requestHash KeyHash, id RequestID) (Claim, error)
	// Complete records the outcome; a nil response means that it is unknown.
	Complete(key KeyHash, id RequestID, response *ServiceResponse)
	// Release frees the key of a request that definitely did not run.
	Release(key KeyHash, id RequestID)
}

// ChatSink receives the events of a response as they arrive.
type ChatSink interface {
	Write(e ChatEvent) error
}

// Dispatcher handles requests from admission to the end of the response.
type Dispatcher interface {
	// Chat runs a chat request and writes its events to the sink. The error is a *Refusal.
	Chat(ctx context.Context, c *ChatRequest, sink ChatSink) error
	// Call runs a request to a plain service. The error is a *Refusal.
	Call(ctx context.Context, c *ServiceRequest) (*ServiceResponse, error)
}

// PeerStatus is what a node knows about a peer.
type PeerStatus struct {
	Name       NodeName
	DataCentre DataCentre
	Address    netip.AddrPort
	// AppliedOffset is the last state offset that the peer reported as applied.
	AppliedOffset Offset
	// LastHeard is when the last heartbeat of the peer arrived.
	LastHeard time.Time
	// Stopping reports whether the peer is shutting down.
	Stopping bool
}

// Peers tracks the other nodes.
type Peers interface {
	Status() []PeerStatus
	// TriggerHeartbeats sends heartbeats immediately, for urgent changes.
	TriggerHeartbeats()
}

// StreamReplicator exchanges the records of one log stream with other nodes.
type StreamReplicator interface {
	// Stream is the replicated log stream.
	Stream() LogStream
	// RecordsFrom returns the records from an offset on if the node still holds all of them.
	RecordsFrom(from Offset) []Record
	// Apply applies records of a peer in order and drops those that do not follow the last
	// applied one.
	Apply(records []Record)
	// AppliedOffset is the highest applied offset.
	AppliedOffset() Offset
	// ObservePeerOffset notes that a peer has applied a higher offset.
	ObservePeerOffset(offset Offset)
}

// Snapshotter exports and restores the whole published state.
type Snapshotter interface {
	Snapshot() ([]byte, Offset)
	Restore(data []byte) error
}

// Readiness is one condition for serving traffic.
type Readiness interface {
	// Ready returns nil, or the reason why the node should get no traffic.
	Ready() error
}
