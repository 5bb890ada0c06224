package quetzalroad

import (
	"context"
	"net/netip"
	"time"
)

// Directory looks up the published state. Slices it returns are shared and
// must not be changed.
type Directory interface {
	TeamByKey(hash KeyHash) (Team, bool)
	Team(name TeamName) (Team, bool)
	Profile(name ProfileName) (Profile, bool)
	Service(name ServiceName) (Service, bool)
	ServiceForModel(name ModelName) (Service, bool)
	Upstream(name UpstreamName) (Upstream, bool)
	// UpstreamByRevision and TeamAt give the names of the objects that stand at a
	// revision, which is shorter to tell than a name.
	UpstreamByRevision(r Revision) (UpstreamName, bool)
	TeamByRevision(r Revision) (TeamName, bool)
	// UpstreamsOf lists the upstreams of a service in order of name.
	UpstreamsOf(service ServiceName) []Upstream
	Teams() []Team
	Profiles() []Profile
	Services() []Service
	Upstreams() []Upstream
	// AppliedOffset is the offset of the last record applied.
	AppliedOffset() Offset
}

// Publisher changes the published state.
type Publisher interface {
	// Publish appends a change and waits until it was read back. The error is
	// a ConflictError where another change came first, or an
	// UnconfirmedError where the log did not tell in time.
	Publish(ctx context.Context, c Change) (ChangeResult, error)
}

// Record is one entry of a stream of the platform's log.
type Record struct {
	Offset Offset
	Data   []byte
}

// StreamBounds are the ends of a stream.
type StreamBounds struct {
	// Earliest is the lowest offset that can still be read.
	Earliest Offset
	// End is the offset that the next append gets.
	End Offset
	// NextRead is the offset from which to read on: all records below it that
	// matter were given.
	NextRead Offset
	// Age is the time between the last moment for which the log itself
	// confirmed this and the call; zero for an answer of the log.
	Age time.Duration
	// Hops counts the steps from the log to the last node that follows this
	// answer: one where only this node does. The time within which a change
	// must be known is shared out among them.
	Hops int
}

// LogStream names a stream of the platform's log.
type LogStream string

// The streams the router uses.
const (
	LogStreamState  LogStream = "state"
	LogStreamClaims LogStream = "claims"
)

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record. After an error the record may or may not be there.
	Append(ctx context.Context, s LogStream, data []byte) (Offset, error)
	// Read gives records from an offset on, waiting up to wait for the first.
	// The first record given has a higher offset than asked for where
	// retention dropped those between.
	Read(ctx context.Context, s LogStream, from Offset, wait time.Duration) ([]Record, StreamBounds, error)
}

// VMState is what the platform says of a VM.
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

// VM is one entry of the platform's lagging list.
type VM struct {
	// Address is the VM's or process's address.
	Address netip.AddrPort
	// Role is RoleNode or RoleUpstream.
	Role string
	// Name is the node's or upstream's name.
	Name string
	// DataCentre tells where it runs.
	DataCentre DataCentre
	// State is what the platform believes.
	State VMState
}

// VMList is the platform's list of VMs. It lags.
type VMList interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// LoadTracker keeps what a node believes about the load of upstreams.
type LoadTracker interface {
	// BeginAttempt records that an attempt was sent.
	BeginAttempt(u UpstreamName, now time.Time)
	// ObserveFirstToken records the time from sending to the first token.
	ObserveFirstToken(u UpstreamName, now time.Time, latency time.Duration)
	// ObserveInterToken records the time between two tokens.
	ObserveInterToken(u UpstreamName, now time.Time, latency time.Duration)
	// EndAttempt records that an attempt ended; failed tells that the upstream is to
	// blame.
	EndAttempt(u UpstreamName, now time.Time, failed bool)
	// UpdateReport takes a load report of the upstream.
	UpdateReport(u UpstreamName, received time.Time, r LoadReport)
	// UpdatePeer takes a peer's own load; an entry replaces the peer's last one.
	UpdatePeer(n NodeName, received time.Time, loads []UpstreamLoad)
	// RemovePeer drops what a peer told.
	RemovePeer(n NodeName)
	// SetLeaving marks an upstream as leaving or not, as the VM list has it.
	SetLeaving(u UpstreamName, leaving bool)
	// Estimate gives the belief about an upstream.
	Estimate(u UpstreamName, now time.Time) LoadEstimate
	// LocalLoads lists the node's own load, for peers.
	LocalLoads(now time.Time) []UpstreamLoad
	// PolledReports lists the reports that this node asked for itself and received
	// after a time, for peers.
	PolledReports(after time.Time) []UpstreamReport
}

// Balancer chooses an upstream for a request.
type Balancer interface {
	// Choose picks among candidates, which are not empty.
	Choose(now time.Time, r *Request, candidates []Upstream) Upstream
}

// Capacity tells how much room a service has.
type Capacity struct {
	// MaxConcurrency is the number of requests its usable upstreams run at once.
	MaxConcurrency int
	// Unattributed is the estimated number of requests there that neither this
	// node nor a peer of its data centre sent.
	Unattributed int
}

// CapacityEstimator tells the room of a service as this node sees it.
type CapacityEstimator interface {
	Capacity(now time.Time, s ServiceName) Capacity
	// Candidates lists the upstreams that may get new work for a service,
	// nearest first, without those in exclude.
	Candidates(now time.Time, s ServiceName, exclude []UpstreamName) []Upstream
}

// Admitter decides when a request may run.
type Admitter interface {
	// Admit waits until the request may run, or refuses it.
	Admit(ctx context.Context, r *Request) (Admission, error)
	// QueueLengths gives the number of waiting requests by tier.
	QueueLengths() [MaxTiers]int
	// Demand tells the demand on this node, for peers.
	Demand() []ServiceDemand
	// UpdatePeer takes the demand on a peer in the node's data centre.
	UpdatePeer(n NodeName, received time.Time, demand []ServiceDemand)
	// RemovePeer drops what a peer told.
	RemovePeer(n NodeName)
	// Headroom tells the room left in the node's data centre, for others.
	Headroom(now time.Time) []ServiceHeadroom
}

// Spiller sends work that its own data centre has no room for to another one.
type Spiller interface {
	// UpdateDataCentre takes the room left in another data centre and the round trip to
	// it.
	UpdateDataCentre(d DataCentre, measuredAt time.Time, roundTrip time.Duration, headroom []ServiceHeadroom)
	// Spill gives upstreams of another data centre that can take a request
	// within its target, and an admission to them; nil where there are none.
	Spill(now time.Time, r *Request) ([]Upstream, Admission)
}

// ServiceDemand is the demand for a service on one node.
type ServiceDemand struct {
	Service ServiceName
	// Requests counts the requests that run or wait, by tier.
	Requests [MaxTiers]int
}

// LengthEstimator learns how many tokens requests generate.
type LengthEstimator interface {
	// Observe takes the length of a whole answer.
	Observe(r *Request, tokens int)
	// Remaining gives the expected number of further tokens of a request that
	// has generated some already.
	Remaining(r *Request, generated int) int
}

// Admission is the permission to run one request.
type Admission interface {
	// Preempted is closed when the request has to give up its place. The holder
	// cancels its attempt and calls Resume.
	Preempted() <-chan struct{}
	// Resume gives the place back and waits for another; Paused is fresh
	// afterwards.
	Resume(ctx context.Context) error
	// Release gives the place back for good. It tells how many tokens the
	// request took and may be called once.
	Release(tokens int)
}

// Limiter enforces the limits of teams and services.
type Limiter interface {
	// Acquire takes a place for a request or refuses it.
	Acquire(now time.Time, r *Request) (Permit, error)
	// Demand tells the recent demand of teams on this node, for peers.
	Demand(now time.Time) []TeamDemand
	// UpdatePeer takes the demand of a peer in the node's data centre.
	UpdatePeer(n NodeName, received time.Time, demand []TeamDemand)
	// UpdateDataCentre takes the sum of the demand in another data centre, as it was at
	// a time.
	UpdateDataCentre(d DataCentre, measuredAt time.Time, demand []TeamDemand)
	// RemovePeer drops what a peer told.
	RemovePeer(n NodeName)
}

// Permit is a place under the limits.
type Permit interface {
	// Release gives the place back and settles the tokens really used.
	Release(now time.Time, tokens int)
}

// TeamDemand is the demand of a team on one node.
type TeamDemand struct {
	Team TeamName
	// TokensPerSecond is the recent rate of tokens asked for.
	TokensPerSecond float64
	// Running counts the requests that hold a place.
	Running int
	// PeakConcurrency counts the places recently asked for at once.
	PeakConcurrency int
}

// RetryPolicy decides whether an attempt may be followed by another.
type RetryPolicy interface {
	// RecordFirstAttempt records a first attempt.
	RecordFirstAttempt(now time.Time, s ServiceName)
	// AllowRetry tells whether another attempt is allowed and after which pause.
	// The attempt counts from one.
	AllowRetry(now time.Time, s ServiceName, attempt int) (time.Duration, bool)
	// HedgeDelay tells after which wait for a first token a second attempt is
	// worth it; zero for never.
	HedgeDelay(r *Request) time.Duration
	// AllowHedge tells whether the budget allows the second attempt now.
	AllowHedge(now time.Time, s ServiceName) bool
}

// ChatStream is a running answer of an engine.
type ChatStream interface {
	// Next waits for the next step. The error is io.EOF after a whole answer
	// and an *AttemptError otherwise.
	Next() (ChatEvent, error)
	// Close cancels what is left of the answer.
	Close() error
}

// ChatClient speaks to model engines.
type ChatClient interface {
	// Start sends a chat. A nil resumption starts from the beginning.
	// The error is an *AttemptError.
	Start(ctx context.Context, u Upstream, c *ChatRequest, resume *ResumePoint) (ChatStream, error)
	// FetchLoadReport asks an engine for its load.
	FetchLoadReport(ctx context.Context, u Upstream) (LoadReport, error)
}

// ServiceClient speaks to plain services.
type ServiceClient interface {
	// Call sends a call and reads the whole answer. The error is an
	// *AttemptError.
	Call(ctx context.Context, u Upstream, c *ServiceRequest) (*ServiceResponse, error)
	// FetchLoadReport asks a service for its load.
	FetchLoadReport(ctx context.Context, u Upstream) (LoadReport, error)
}

// ClaimState tells what the log says about an idempotency key.
type ClaimState int

// The states of a claim.
const (
	// ClaimGranted means that the request may run.
	ClaimGranted ClaimState = iota + 1
	// ClaimCompleted means that an earlier request with the key was answered.
	ClaimCompleted
	// ClaimHeld means that an earlier request holds the key and its outcome
	// isn't known.
	ClaimHeld
	// ClaimExpired means that the key's window has passed.
	ClaimExpired
	// ClaimReused means that the key was used for another call.
	ClaimReused
)

// Claim is what the log says about an idempotency key.
type Claim struct {
	State ClaimState
	// Response is the earlier answer where State is ClaimDone. It is nil where
	// the answer was too large to keep.
	Response *ServiceResponse
}

// Claimer makes requests with the same key run at most once over all nodes.
type Claimer interface {
	// Claim asks for the right to run. With an error the request must not
	// run and may be called not run.
	Claim(ctx context.Context, key KeyHash, requestHash KeyHash, id RequestID) (Claim, error)
	// Complete records the outcome; a nil answer means that it is unknown.
	Complete(key KeyHash, id RequestID, response *ServiceResponse)
	// Release frees a key whose request surely was not run.
	Release(key KeyHash, id RequestID)
}

// ChatSink takes the steps of an answer as they come.
type ChatSink interface {
	Write(e ChatEvent) error
}

// Dispatcher carries requests from admission to their answer.
type Dispatcher interface {
	// Chat runs a chat and hands its steps to the sink. The error is a
	// *Refusal.
	Chat(ctx context.Context, c *ChatRequest, sink ChatSink) error
	// Call runs a call to a plain service. The error is a *Refusal.
	Call(ctx context.Context, c *ServiceRequest) (*ServiceResponse, error)
}

// PeerStatus is what a node knows about another.
type PeerStatus struct {
	Name       NodeName
	DataCentre DataCentre
	Address    netip.AddrPort
	// AppliedOffset is the last offset the peer told of.
	AppliedOffset Offset
	// LastHeard is when it was last heard of.
	LastHeard time.Time
	// Stopping tells that it is leaving.
	Stopping bool
}

// Peers knows the other nodes.
type Peers interface {
	Status() []PeerStatus
	// TriggerHeartbeats asks for heartbeats at once, for news that can't wait.
	TriggerHeartbeats()
}

// StreamReplicator hands the records of one stream between nodes.
type StreamReplicator interface {
	// Stream is the stream that the records belong to.
	Stream() LogStream
	// RecordsFrom gives the records from an offset on, where the node still holds
	// them all.
	RecordsFrom(from Offset) []Record
	// Apply takes records from a peer. They are applied in order, and those
	// that don't join on are dropped.
	Apply(records []Record)
	// AppliedOffset is the highest offset applied.
	AppliedOffset() Offset
	// ObservePeerOffset tells the follower of a head that a peer has reached.
	ObservePeerOffset(offset Offset)
}

// Snapshotter gives and takes the whole published state.
type Snapshotter interface {
	Snapshot() ([]byte, Offset)
	Restore(data []byte) error
}

// Readiness tells whether a node can serve.
type Readiness interface {
	// Ready gives nil, or the reason why the node should get no traffic.
	Ready() error
}

// Recorder counts what the router decides.
type Recorder interface {
	CountRefusal(r RefusalReason)
	CountRetry(r RetryReason)
	CountAttempt()
	CountTokens(generated, wasted int)
	ObserveQueueWait(c Class, wait time.Duration)
	ObserveFirstToken(c Class, latency time.Duration, withinTarget bool)
	CountOutcome(c Class, o Outcome)
	CountSent(kind ControlKind, bytes int)
	CountReceived(kind ControlKind, bytes int)
	// CountCrossDataCentre counts bytes between regions by their purpose.
	CountCrossDataCentre(purpose CrossDataCentrePurpose, bytes int)
	// RecordViolation counts and logs a broken invariant.
	RecordViolation(invariant string, observed string)
}

// ControlKind tells kinds of control traffic apart.
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

// CrossDataCentrePurpose tells apart why bytes cross between regions.
type CrossDataCentrePurpose string

// The purposes of bytes between regions.
const (
	CrossDataCentreHeartbeat CrossDataCentrePurpose = "heartbeat"
	CrossDataCentreSpill     CrossDataCentrePurpose = "spill"
)
