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
	// AppliedOffset is the offset of the last applied record.
	AppliedOffset() Offset
}

// Publisher changes the published state.
type Publisher interface {
	// Publish appends a change and waits until it has been read back. The error is a
	// ConflictError if another change was accepted first, or an UnconfirmedError if the log did
	// not confirm it in time.
	Publish(ctx context.Context, c Change) (ChangeResult, error)
}

// Record is one entry of a log stream.
type Record struct {
	Offset Offset
	Data   []byte
}

// StreamBounds is the extent of a log stream as of a read.
type StreamBounds struct {
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
	// removed the records at that offset, the first one returned has a higher offset.
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

// LoadTracker estimates the load of upstreams.
type LoadTracker interface {
	// BeginAttempt records that an attempt was sent.
	BeginAttempt(u UpstreamName, now time.Time)
	// ObserveFirstToken records the time from sending to the first token.
	ObserveFirstToken(u UpstreamName, now time.Time, latency time.Duration)
	// ObserveInterToken records the time between two tokens.
	ObserveInterToken(u UpstreamName, now time.Time, latency time.Duration)
	// EndAttempt records that an attempt ended; failed reports whether the upstream caused a
	// failure.
	EndAttempt(u UpstreamName, now time.Time, failed bool)
	// UpdateReport records a load report of the upstream.
	UpdateReport(u UpstreamName, received time.Time, r LoadReport)
	// UpdatePeer replaces the load that a peer reported for itself.
	UpdatePeer(n NodeName, received time.Time, loads []UpstreamLoad)
	// RemovePeer drops the load that a peer reported.
	RemovePeer(n NodeName)
	// SetLeaving records whether the VM list shows an upstream as leaving.
	SetLeaving(u UpstreamName, leaving bool)
	// Estimate returns the estimated load of an upstream.
	Estimate(u UpstreamName, now time.Time) LoadEstimate
	// LocalLoads lists the node's own load, for peers.
	LocalLoads(now time.Time) []UpstreamLoad
	// LocalObservations lists what this node recently saw of upstreams, for peers.
	LocalObservations(now time.Time) []UpstreamObservation
	// UpdatePeerObservations records what peers saw of upstreams.
	UpdatePeerObservations(received time.Time, observations []UpstreamObservation)
	// PolledReports lists the reports that this node polled itself and received after a time,
	// for peers.
	PolledReports(after time.Time) []UpstreamReport
}

// Balancer chooses the upstream of a request.
type Balancer interface {
	// Choose picks one of the candidates, of which there is at least one.
	Choose(now time.Time, r *Request, candidates []Upstream) Upstream
}

// Capacity is the capacity of a service as one node estimates it.
type Capacity struct {
	// MaxConcurrency is the number of requests that the service's usable upstreams run at once.
	MaxConcurrency int
	// Unattributed estimates the running requests that were sent neither by this node nor by a
	// peer of its data centre.
	Unattributed int
}

// CapacityEstimator estimates the capacity of services.
type CapacityEstimator interface {
	Capacity(now time.Time, s ServiceName) Capacity
	// Candidates lists the upstreams that may get new work for a service, without those in
	// exclude. It may leave out distant ones while nearer ones are usable. The slice is shared
	// and must not be modified.
	Candidates(now time.Time, s ServiceName, exclude []UpstreamName) []Upstream
}

// Admitter decides when a request may run.
type Admitter interface {
	// Admit waits until the request may run, or refuses it.
	Admit(ctx context.Context, r *Request) (Admission, error)
	// QueueLengths returns the number of waiting requests by tier.
	QueueLengths() [MaxTiers]int
	// Demand returns this node's demand, for peers.
	Demand() []ServiceDemand
	// UpdatePeer replaces the demand of a peer in the node's data centre.
	UpdatePeer(n NodeName, received time.Time, demand []ServiceDemand)
	// RemovePeer drops the demand of a peer.
	RemovePeer(n NodeName)
	// Headroom returns the free capacity in the node's data centre, for other data centres.
	Headroom(now time.Time) []ServiceHeadroom
}

// Spiller sends requests to another data centre if their own has no free capacity.
type Spiller interface {
	// UpdateDataCentre records the free capacity of another data centre and the round-trip time
	// to it.
	UpdateDataCentre(d DataCentre, measuredAt time.Time, roundTrip time.Duration, headroom []ServiceHeadroom)
	// Spill returns the upstreams of another data centre that can serve a request within its
	// target, and an admission to them; nil if there are none.
	Spill(now time.Time, r *Request) ([]Upstream, Admission)
}

// ServiceDemand is the demand for a service on one node.
type ServiceDemand struct {
	Service ServiceName
	// Requests counts the running and waiting requests by tier.
	Requests [MaxTiers]int
}

// LengthEstimator predicts how many tokens requests generate.
type LengthEstimator interface {
	// Observe records the length of a complete response.
	Observe(r *Request, tokens int)
	// Remaining predicts how many more tokens a request generates that has generated some
	// already.
	Remaining(r *Request, generated int) int
}

// Admission is the permission to run one request.
type Admission interface {
	// Preempted returns a channel that is closed when the request must stop in favour of
	// another. The holder then cancels its attempt and calls Resume.
	Preempted() <-chan struct{}
	// Resume releases the permission and waits for a new one; Preempted returns a new channel
	// afterwards.
	Resume(ctx context.Context) error
	// Release ends the permission. It reports the tokens used and must be called only once.
	Release(tokens int)
}

// Limiter enforces the limits of teams and services.
type Limiter interface {
	// Acquire returns a permit for a request, or refuses it.
	Acquire(now time.Time, r *Request) (Permit, error)
	// Demand returns the recent demand of teams on this node, for peers.
	Demand(now time.Time) []TeamDemand
	// UpdatePeer replaces the demand of a peer in the node's data centre.
	UpdatePeer(n NodeName, received time.Time, demand []TeamDemand)
	// UpdateDataCentre records the total demand in another data centre as of a time.
	UpdateDataCentre(d DataCentre, measuredAt time.Time, demand []TeamDemand)
	// RemovePeer drops the demand of a peer.
	RemovePeer(n NodeName)
}

// Permit allows one request under the limits.
type Permit interface {
	// Release returns the permit and replaces the estimate of the tokens by the number generated.
	Release(now time.Time, tokens int)
}

// TeamDemand is the demand of a team on one node.
type TeamDemand struct {
	Team TeamName
	// TokensPerSecond is the recent rate of requested tokens.
	TokensPerSecond float64
	// Running counts the requests that hold a permit.
	Running int
	// PeakConcurrency is the recent peak of permits requested at once.
	PeakConcurrency int
}

// RetryPolicy decides whether another attempt is allowed.
type RetryPolicy interface {
	// RecordFirstAttempt records a first attempt.
	RecordFirstAttempt(now time.Time, s ServiceName)
	// AllowRetry reports whether another attempt is allowed after the given number of attempts,
	// and after which backoff. An allowed retry counts against the service's budget, if any.
	AllowRetry(now time.Time, s ServiceName, attempt int) (time.Duration, bool)
	// HedgeDelay returns how long to wait for the first token before sending a second attempt;
	// zero for never.
	HedgeDelay(r *Request) time.Duration
	// AllowHedge reports whether the budget allows a second attempt now, and spends it if so.
	AllowHedge(now time.Time, s ServiceName) bool
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

// Recorder records metrics of the router's decisions.
type Recorder interface {
	CountRefusal(r RefusalReason)
	CountRetry(r RetryReason)
	CountAttempt()
	// CountTokens counts generated tokens, and those of them that were discarded or belong to a
	// failed response as wasted.
	CountTokens(generated, wasted int)
	ObserveQueueWait(c Class, wait time.Duration)
	ObserveFirstToken(c Class, latency time.Duration, withinTarget bool)
	CountOutcome(c Class, o Outcome)
	CountSent(kind ControlKind, bytes int)
	CountReceived(kind ControlKind, bytes int)
	// CountCrossDataCentre counts bytes sent between data centres by purpose.
	CountCrossDataCentre(purpose CrossDataCentrePurpose, bytes int)
	// RecordViolation counts and logs the violation of an invariant.
	RecordViolation(invariant string, observed string)
}

// ControlKind classifies control traffic.
type ControlKind string

// The kinds of control traffic.
const (
	ControlHeartbeat ControlKind = "heartbeat"
	ControlRecords   ControlKind = "records"
	ControlSnapshot  ControlKind = "snapshot"
	ControlLog       ControlKind = "log"
	ControlReports   ControlKind = "reports"
	ControlVMs       ControlKind = "vms"
)

// CrossDataCentrePurpose is why bytes are sent between data centres.
type CrossDataCentrePurpose string

// The purposes of traffic between data centres.
const (
	CrossDataCentreHeartbeat CrossDataCentrePurpose = "heartbeat"
	CrossDataCentreSpill     CrossDataCentrePurpose = "spill"
)
