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
	// UpstreamAt and TeamAt give the names of the objects that stand at a
	// revision, which is shorter to tell than a name.
	UpstreamAt(r Revision) (UpstreamName, bool)
	TeamAt(r Revision) (TeamName, bool)
	// UpstreamsOf lists the upstreams of a service in order of name.
	UpstreamsOf(service ServiceName) []Upstream
	Teams() []Team
	Profiles() []Profile
	Services() []Service
	Upstreams() []Upstream
	// Applied is the offset of the last record applied.
	Applied() Offset
}

// Publisher changes the published state.
type Publisher interface {
	// Publish appends a change and waits until it was read back. The error is
	// a ConflictError where another change came first, or an
	// UnconfirmedError where the log did not tell in time.
	Publish(ctx context.Context, c Change) (Verdict, error)
}

// Record is one entry of a stream of the platform's log.
type Record struct {
	Offset Offset
	Data   []byte
}

// Bounds are the ends of a stream.
type Bounds struct {
	// Earliest is the lowest offset that can still be read.
	Earliest Offset
	// Next is the offset that the next append gets.
	Next Offset
	// Through is the offset from which to read on: all records below it that
	// matter were given.
	Through Offset
	// Age is the time between the last moment for which the log itself
	// confirmed this and the call; zero for an answer of the log.
	Age time.Duration
	// Hops counts the steps from the log to the last node that follows this
	// answer: one where only this node does. The time within which a change
	// must be known is shared out among them.
	Hops int
}

// Stream names a stream of the platform's log.
type Stream string

// The streams the router uses.
const (
	StreamState  Stream = "state"
	StreamClaims Stream = "claims"
)

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record. After an error the record may or may not be there.
	Append(ctx context.Context, s Stream, data []byte) (Offset, error)
	// Read gives records from an offset on, waiting up to wait for the first.
	// The first record given has a higher offset than asked for where
	// retention dropped those between.
	Read(ctx context.Context, s Stream, from Offset, wait time.Duration) ([]Record, Bounds, error)
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
	VMs(ctx context.Context) ([]VM, error)
}

// LoadTracker keeps what a node believes about the load of upstreams.
type LoadTracker interface {
	// Begin records that an attempt was sent.
	Begin(u UpstreamName, now time.Time)
	// FirstToken records the time from sending to the first token.
	FirstToken(u UpstreamName, now time.Time, took time.Duration)
	// Token records the time between two tokens.
	Token(u UpstreamName, now time.Time, took time.Duration)
	// End records that an attempt ended; failed tells that the upstream is to
	// blame.
	End(u UpstreamName, now time.Time, failed bool)
	// Report takes a load report of the upstream.
	Report(u UpstreamName, received time.Time, r LoadReport)
	// Peer takes a peer's own load; an entry replaces the peer's last one.
	Peer(n NodeName, received time.Time, loads []UpstreamLoad)
	// Forget drops what a peer told.
	Forget(n NodeName)
	// Leaving marks an upstream as leaving or not, as the VM list has it.
	Leaving(u UpstreamName, leaving bool)
	// Estimate gives the belief about an upstream.
	Estimate(u UpstreamName, now time.Time) LoadEstimate
	// Own lists the node's own load, for peers.
	Own(now time.Time) []UpstreamLoad
	// Polled lists the reports that this node asked for itself and received
	// after a time, for peers.
	Polled(after time.Time) []UpstreamReport
}

// Balancer chooses an upstream for a request.
type Balancer interface {
	// Choose picks among candidates, which are not empty.
	Choose(now time.Time, r *Request, candidates []Upstream) Upstream
}

// Capacity tells how much room a service has.
type Capacity struct {
	// Slots is the number of requests its usable upstreams run at once.
	Slots int
	// Unexplained is the estimated number of requests there that neither this
	// node nor a peer of its data centre sent.
	Unexplained int
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
	// Queued gives the number of waiting requests by tier.
	Queued() [MaxTiers]int
	// Demand tells the demand on this node, for peers.
	Demand() []ServiceDemand
	// Peer takes the demand on a peer in the node's data centre.
	Peer(n NodeName, received time.Time, demand []ServiceDemand)
	// Forget drops what a peer told.
	Forget(n NodeName)
	// Rooms tells the room left in the node's data centre, for others.
	Rooms(now time.Time) []ServiceRoom
}

// Spiller sends work that its own data centre has no room for to another one.
type Spiller interface {
	// Place takes the room left in another data centre and the round trip to
	// it.
	Place(d DataCentre, received time.Time, trip time.Duration, rooms []ServiceRoom)
	// Spill gives upstreams of another data centre that can take a request
	// within its target, and an admission to them; nil where there are none.
	Spill(now time.Time, r *Request) ([]Upstream, Admission)
}

// ServiceDemand is the demand for a service on one node.
type ServiceDemand struct {
	Service ServiceName
	// Wanted counts the requests that run or wait, by tier.
	Wanted [MaxTiers]int
}

// LengthEstimator learns how many tokens requests generate.
type LengthEstimator interface {
	// Learn takes the length of a whole answer.
	Learn(r *Request, tokens int)
	// Remaining gives the expected number of further tokens of a request that
	// has generated some already.
	Remaining(r *Request, generated int) int
}

// Admission is the permission to run one request.
type Admission interface {
	// Paused is closed when the request has to give up its place. The holder
	// cancels its attempt and calls Resume.
	Paused() <-chan struct{}
	// Resume gives the place back and waits for another; Paused is fresh
	// afterwards.
	Resume(ctx context.Context) error
	// Done gives the place back for good. It tells how many tokens the
	// request took and may be called once.
	Done(tokens int)
}

// Limiter enforces the limits of teams and services.
type Limiter interface {
	// Acquire takes a place for a request or refuses it.
	Acquire(now time.Time, r *Request) (Grant, error)
	// Demand tells the recent demand of teams on this node, for peers.
	Demand(now time.Time) []TeamDemand
	// Peer takes the demand of a peer in the node's data centre.
	Peer(n NodeName, received time.Time, demand []TeamDemand)
	// Place takes the sum of the demand in another data centre, as it was at
	// a time.
	Place(d DataCentre, taken time.Time, demand []TeamDemand)
	// Forget drops what a peer told.
	Forget(n NodeName)
}

// Grant is a place under the limits.
type Grant interface {
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
	// Wanted counts the places recently asked for at once.
	Wanted int
}

// RetryPolicy decides whether an attempt may be followed by another.
type RetryPolicy interface {
	// First records a first attempt.
	First(now time.Time, s ServiceName)
	// Retry tells whether another attempt is allowed and after which pause.
	// The attempt counts from one.
	Retry(now time.Time, s ServiceName, attempt int) (time.Duration, bool)
	// HedgeAfter tells after which wait for a first token a second attempt is
	// worth it; zero for never.
	HedgeAfter(r *Request) time.Duration
	// Hedge tells whether the budget allows the second attempt now.
	Hedge(now time.Time, s ServiceName) bool
}

// ChatStream is a running answer of an engine.
type ChatStream interface {
	// Next waits for the next step. The error is io.EOF after a whole answer
	// and an *AttemptError otherwise.
	Next() (ChatEvent, error)
	// Close cancels what is left of the answer.
	Close() error
}

// ChatProtocol speaks to model engines.
type ChatProtocol interface {
	// Start sends a chat. A nil resumption starts from the beginning.
	// The error is an *AttemptError.
	Start(ctx context.Context, u Upstream, c *Chat, from *Resumption) (ChatStream, error)
	// Report asks an engine for its load.
	Report(ctx context.Context, u Upstream) (LoadReport, error)
}

// ServiceProtocol speaks to plain services.
type ServiceProtocol interface {
	// Call sends a call and reads the whole answer. The error is an
	// *AttemptError.
	Call(ctx context.Context, u Upstream, c *ServiceCall) (*ServiceAnswer, error)
	// Report asks a service for its load.
	Report(ctx context.Context, u Upstream) (LoadReport, error)
}

// ClaimState tells what the log says about an idempotency key.
type ClaimState int

// The states of a claim.
const (
	// ClaimWon means that the request may run.
	ClaimWon ClaimState = iota + 1
	// ClaimDone means that an earlier request with the key was answered.
	ClaimDone
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
	// Answer is the earlier answer where State is ClaimDone. It is nil where
	// the answer was too large to keep.
	Answer *ServiceAnswer
}

// Claimer makes requests with the same key run at most once over all nodes.
type Claimer interface {
	// Claim asks for the right to run. With an error the request must not
	// run and may be called not run.
	Claim(ctx context.Context, key KeyHash, call KeyHash, id RequestID) (Claim, error)
	// Finish records the outcome; a nil answer means that it is unknown.
	Finish(key KeyHash, id RequestID, answer *ServiceAnswer)
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
	Chat(ctx context.Context, c *Chat, sink ChatSink) error
	// Call runs a call to a plain service. The error is a *Refusal.
	Call(ctx context.Context, c *ServiceCall) (*ServiceAnswer, error)
}

// PeerStatus is what a node knows about another.
type PeerStatus struct {
	Name       NodeName
	DataCentre DataCentre
	Address    netip.AddrPort
	// Applied is the last offset the peer told of.
	Applied Offset
	// Heard is when it was last heard of.
	Heard time.Time
	// Stopping tells that it is leaving.
	Stopping bool
}

// Peers knows the other nodes.
type Peers interface {
	Status() []PeerStatus
	// Kick asks for heartbeats at once, for news that can't wait.
	Kick()
}

// Relay hands the records of one stream between nodes.
type Relay interface {
	// Stream is the stream that the records belong to.
	Stream() Stream
	// Relayed gives the records from an offset on, where the node still holds
	// them all.
	Relayed(from Offset) []Record
	// Offer takes records from a peer. They are applied in order, and those
	// that don't join on are dropped.
	Offer(records []Record)
	// Head is the highest offset applied.
	Head() Offset
	// Behind tells the follower of a head that a peer has reached.
	Behind(head Offset)
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
	Refused(r Reason)
	Retried(r RetryReason)
	Attempt()
	Tokens(generated, wasted int)
	Waited(c Class, took time.Duration)
	FirstToken(c Class, took time.Duration, inTarget bool)
	Ended(c Class, o Outcome)
	Sent(kind ControlKind, bytes int)
	Received(kind ControlKind, bytes int)
	// Far counts bytes between regions by their purpose.
	Far(purpose FarPurpose, bytes int)
	// Breach counts and logs a broken invariant.
	Breach(name string, seen string)
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

// FarPurpose tells apart why bytes cross between regions.
type FarPurpose string

// The purposes of bytes between regions.
const (
	FarHeartbeat FarPurpose = "heartbeat"
	FarSpill     FarPurpose = "spill"
)
