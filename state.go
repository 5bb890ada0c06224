package quetzalroad

import (
	"net/netip"
	"time"
)

// Profile describes the requirements of a class of work.
type Profile struct {
	// Name is unique among profiles.
	Name ProfileName
	// Class labels the work in reports, for example "chat".
	Class Class
	// Tier is in [0, MaxTiers).
	Tier Tier
	// FirstTokenTarget is the time within which the first token, or the whole
	// response of a plain service, has to reach the caller. It is positive.
	FirstTokenTarget time.Duration
	// Timeout bounds the whole request. It is at least FirstTokenTarget.
	Timeout time.Duration
	// Idempotent reports whether running a request twice does no harm.
	Idempotent bool
	// Interactive work is refused at once if it can't meet its target; other work
	// waits.
	Interactive bool
	// Preemptible work may be paused for a higher tier and resumed later.
	// It is never set together with Interactive, nor without Idempotent.
	Preemptible bool
	// MaxTokens bounds the generated tokens of one request; zero leaves the bound
	// to the engine.
	MaxTokens int
	// Revision is set by the state machine.
	Revision Revision
}

// Team is a customer of the router.
type Team struct {
	// Name is unique among teams.
	Name TeamName
	// KeyHashes lists the hashes of the bearer keys that identify this team.
	KeyHashes []KeyHash
	// DefaultProfile is used by requests that name no profile.
	DefaultProfile ProfileName
	// Tier takes precedence over the tier of a route; valid only if HasTier is set.
	Tier    Tier
	HasTier bool
	// Weight is the share among the teams of a tier. Zero counts as one.
	Weight int
	// MaxTokensPerSecond bounds the rate of tokens over all nodes; zero means no
	// bound.
	MaxTokensPerSecond int
	// MaxConcurrency bounds the running requests over all nodes; zero means no
	// bound.
	MaxConcurrency int
	// Revision is set by the state machine.
	Revision Revision
}

// ServiceKind determines the protocol of a service.
type ServiceKind string

// The kinds of services.
const (
	// ServiceKindEngine is a model engine with the chat API.
	ServiceKindEngine ServiceKind = "engine"
	// ServiceKindPlain is a plain HTTP service.
	ServiceKindPlain ServiceKind = "plain"
)

// Service is a set of interchangeable upstreams.
type Service struct {
	// Name is unique among services.
	Name ServiceName
	// Kind selects the upstream protocol.
	Kind ServiceKind
	// Models lists the models that an engine service provides.
	Models []ModelName
	// DefaultProfile is used by requests to a plain service that name none.
	DefaultProfile ProfileName
	// MaxConcurrency bounds the running requests over all nodes; zero means no
	// bound besides the concurrency of the upstreams.
	MaxConcurrency int
	// MaxConnectionsPerUpstream bounds the connections to one upstream over all
	// nodes; zero means no bound.
	MaxConnectionsPerUpstream int
	// KVCacheTokens is the KV cache size of one engine, in tokens; zero if unknown.
	KVCacheTokens int
	// Scaling is nil if the service isn't scaled. It is shared and must not be modified.
	Scaling *Scaling
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
	// DataCentre and Region are where it runs.
	DataCentre DataCentre
	Region     Region
	// InstanceID identifies this start of the back end if another one may take over
	// its address; empty if unknown.
	InstanceID string
	// Version is that of its software.
	Version SoftwareVersion
	// MaxConcurrency is the number of requests it runs at once within its targets.
	// It is positive.
	MaxConcurrency int
	// ChecksFencing reports whether it rejects commands with an old fencing token.
	ChecksFencing bool
	// Draining reports whether it is excluded from new work.
	Draining bool
	// Spot reports whether the platform may reclaim it.
	Spot bool
	// Revision is set by the state machine.
	Revision Revision
}

// ObjectKind is the kind of a published object.
type ObjectKind string

// The kinds of published objects.
const (
	ObjectProfile  ObjectKind = "profile"
	ObjectTeam     ObjectKind = "team"
	ObjectService  ObjectKind = "service"
	ObjectUpstream ObjectKind = "upstream"
)

// Object is one published object. Exactly one pointer is set, or none if a change
// deletes the object.
type Object struct {
	Profile  *Profile
	Team     *Team
	Service  *Service
	Upstream *Upstream
}

// Change is a proposed change of the published state.
type Change struct {
	// ID is unique for the change and the same in each repeated append.
	ID ChangeID
	// Author names the operator, for the audit trail.
	Author string
	// Kind and Name identify the object.
	Kind ObjectKind
	Name string
	// BaseRevision is the revision the change is based on; zero if the object must
	// not exist yet.
	BaseRevision Revision
	// Object is the new content; empty to delete.
	Object Object
}

// ChangeResult is the state machine's decision on a change.
type ChangeResult struct {
	// Offset is the record's position.
	Offset Offset
	// Accepted reports whether the change was applied.
	Accepted bool
	// Revision is the object's revision after the record.
	Revision Revision
	// RejectReason is why the change was not accepted.
	RejectReason string
}
