package quetzalroad

import "time"

// RouteName names a published route.
type RouteName string

// Route directs the requests of a host and a path prefix to services.
type Route struct {
	// Name is unique among routes.
	Name RouteName
	// Host is compared with the request's host without regard to case.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Profile holds the requirements of the route's requests. It has the route's name.
	Profile Profile
	// Streaming reports whether responses are event streams.
	Streaming bool
	// Resumable reports whether another upstream may resume an interrupted stream. It is only
	// set on streaming routes.
	Resumable bool
	// EventGapTarget is the longest gap between two events of a stream that meets its target;
	// zero if there is no target.
	EventGapTarget time.Duration
	// MaxExecutions bounds how many times upstreams may run one request. It is positive.
	MaxExecutions int
	// AllowAnonymous reports whether requests need no key.
	AllowAnonymous bool
	// StickySessions reports whether requests name the segments of their prompt, on which
	// prefix-cache affinity is based. It is not read: segments are used wherever they are sent.
	StickySessions bool
	// TrafficSplit lists the services of the route, at least one, each with a positive weight.
	TrafficSplit []WeightedService
}

// WeightedService is one service of a route and its share of the requests.
type WeightedService struct {
	Service ServiceName
	// Weight is the share, relative to the sum over the route.
	Weight int
}

// CallerLimits bound the size and duration of callers' requests. Zero means no bound.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// PublishedState is one whole version of what operators publish on the platform.
type PublishedState struct {
	// Version increases with each publication, in steps of any size.
	Version  int64
	Routes   []Route
	Services []Service
	// Teams hold the hashes of their keys. If it is empty, no key is valid.
	Teams []Team
	// Keyless is set if the state says that callers need no key, on any route.
	Keyless bool
	Limits  CallerLimits
}

// UpstreamRegistration is what an upstream publishes about itself on the platform.
type UpstreamRegistration struct {
	// Upstream is complete except for its region, name and revision.
	Upstream Upstream
	// StartedAt is when this instance of the upstream started; zero if not published.
	StartedAt time.Time
	// Sequence increases with each record of an instance.
	Sequence int64
	// LeavesAt is when a spot upstream will be reclaimed; zero if not published.
	LeavesAt time.Time
}

// RouteTable looks up routes and the limits on callers.
type RouteTable interface {
	// Match returns the route of the host whose prefix is the longest that the path begins with.
	Match(host, path string) (Route, bool)
	// EffectiveTier returns one tier that ranks a request first by the tier of its team, then by
	// that of its route. A team without a tier ranks with the most urgent ones.
	EffectiveTier(route Tier, team Team) Tier
	// CallerLimits returns the current limits on callers.
	CallerLimits() CallerLimits
	// RequiresKey reports whether requests need a key, except on routes that allow anonymous callers.
	RequiresKey() bool
}

// Freshness reports how old a node's view of the published state is.
type Freshness interface {
	// Age is the time since the platform's log last confirmed that the view held every
	// acknowledged record. It includes time during which the machine was suspended.
	Age() time.Duration
	// IsFresh reports whether the view is recent enough for requests that need a key.
	IsFresh() bool
	// Version is the current version; zero before the first.
	Version() int64
}
