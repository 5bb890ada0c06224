package quetzalroad

import (
	"net/netip"
	"time"
)

// Profile is a named statement of what a class of work needs.
type Profile struct {
	// Name is unique among profiles.
	Name ProfileName
	// Class labels the work in reports, for example "chat".
	Class Class
	// Tier is in [0, MaxTiers).
	Tier Tier
	// FirstTokenTarget is the time within which the first token, or the whole
	// answer of a plain service, has to reach the caller. It is positive.
	FirstTokenTarget time.Duration
	// Timeout bounds the whole request. It is at least FirstTokenTarget.
	Timeout time.Duration
	// Idempotent tells that running a request twice does no harm.
	Idempotent bool
	// Interactive work is refused at once when it can't meet its target;
	// other work waits.
	Interactive bool
	// Preemptible work may be paused for a higher tier and resumed later.
	// It is never set together with Interactive, nor without Idempotent.
	Preemptible bool
	// MaxTokens bounds the tokens generated for one request; zero leaves the
	// bound to the engine.
	MaxTokens int
	// Revision is set by the state machine.
	Revision Revision
}

// Team is a customer of the router.
type Team struct {
	// Name is unique among teams.
	Name TeamName
	// KeyHashes lists the hashes of the bearer keys that name this team.
	KeyHashes []KeyHash
	// DefaultProfile is used by requests that name no profile.
	DefaultProfile ProfileName
	// Tier takes precedence over the tier of a route where OwnTier is set.
	Tier          Tier
	OverridesTier bool
	// Weight is the share among the teams of a tier. Zero counts as one.
	Weight int
	// MaxTokensPerSecond bounds the rate of tokens over all nodes; zero means
	// no bound.
	MaxTokensPerSecond int
	// MaxConcurrency bounds the running requests over all nodes; zero means no
	// bound.
	MaxConcurrency int
	// Revision is set by the state machine.
	Revision Revision
}

// ServiceKind tells by which protocol a service is reached.
type ServiceKind string

// The kinds of services.
const (
	// ServiceKindEngine is a model engine that speaks the chat API.
	ServiceKindEngine ServiceKind = "engine"
	// ServiceKindPlain is a plain HTTP service.
	ServiceKindPlain ServiceKind = "plain"
)

// Service is a set of upstreams that are alike.
type Service struct {
	// Name is unique among services.
	Name ServiceName
	// Kind selects the upstream protocol.
	Kind ServiceKind
	// Models lists the models that an engine service answers for.
	Models []ModelName
	// DefaultProfile is used by calls to a plain service that name none.
	DefaultProfile ProfileName
	// MaxConcurrency bounds the running requests over all nodes; zero means no
	// bound beside the slots of the upstreams.
	MaxConcurrency int
	// MaxConnectionsPerUpstream bounds the connections to one upstream over all nodes; zero
	// means no bound.
	MaxConnectionsPerUpstream int
	// KVCacheTokens is the memory of one engine, in tokens; zero where it isn't
	// told.
	KVCacheTokens int
	// Revision is set by the state machine.
	Revision Revision
}

// Upstream is one back end of a service.
type Upstream struct {
	// Name is unique among upstreams.
	Name UpstreamName
	// Service is the service that it provides.
	Service ServiceName
	// Address is where it listens.
	Address netip.AddrPort
	// DataCentre and Region tell where it runs.
	DataCentre DataCentre
	Region     Region
	// InstanceID identifies this start of the back end where the address may be
	// taken over by another; empty where it is not told.
	InstanceID string
	// MaxConcurrency is the number of requests it runs at once within its targets.
	// It is positive.
	MaxConcurrency int
	// ChecksFencing tells that it refuses orders with an old fencing token.
	ChecksFencing bool
	// Draining tells that it gets no new work.
	Draining bool
	// Revision is set by the state machine.
	Revision Revision
}

// ObjectKind tells the kinds of published objects apart.
type ObjectKind string

// The kinds of published objects.
const (
	ObjectProfile  ObjectKind = "profile"
	ObjectTeam     ObjectKind = "team"
	ObjectService  ObjectKind = "service"
	ObjectUpstream ObjectKind = "upstream"
)

// Object is one published object. Exactly one pointer is set, or none where a
// change deletes the object.
type Object struct {
	Profile  *Profile
	Team     *Team
	Service  *Service
	Upstream *Upstream
}

// Change is one proposed change of the published state.
type Change struct {
	// ID is unique for the change and the same in each repeated append.
	ID ChangeID
	// Author names the operator for the record.
	Author string
	// Kind and Name tell which object it changes.
	Kind ObjectKind
	Name string
	// BaseRevision is the revision it was made from; zero where the object must not
	// exist yet.
	BaseRevision Revision
	// Object is the new content, empty to delete.
	Object Object
}

// ChangeResult is what the state machine decided on a change.
type ChangeResult struct {
	// Offset is the record's position.
	Offset Offset
	// Accepted tells that the change is in force.
	Accepted bool
	// Revision is the object's revision after the record.
	Revision Revision
	// RejectReason tells why the change was not accepted.
	RejectReason string
}
