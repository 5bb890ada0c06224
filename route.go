package quetzalroad

import "time"

// RouteName names a published route.
type RouteName string

// Route leads the requests of a host and a path prefix to services.
type Route struct {
	// Name is unique among routes.
	Name RouteName
	// Host is matched against the request's host without regard to case.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Profile says what the work needs. Its name is the route's.
	Profile Profile
	// Streaming tells that answers are streams of events.
	Streaming bool
	// Resumable tells that a stream may be taken up at another upstream. It is
	// set on streaming routes only.
	Resumable bool
	// EventGapTarget is the longest pause between two events of a stream that is
	// still in target; zero where none is stated.
	EventGapTarget time.Duration
	// MaxExecutions bounds the upstreams that may run one request. It is positive.
	MaxExecutions int
	// AllowAnonymous tells that no key is needed.
	AllowAnonymous bool
	// StickySessions tells that requests carry the parts of their prompt.
	StickySessions bool
	// TrafficSplit lists the services the route leads to, at least one, each with a
	// positive weight.
	TrafficSplit []WeightedService
}

// WeightedService is one service of a route and its part of the requests.
type WeightedService struct {
	Service ServiceName
	// Weight is the part, relative to the sum over the route.
	Weight int
}

// CallerLimits bound what a caller may send and how long it may take. A zero
// field states no bound.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// PublishedState is one whole version of what operators publish on the
// platform.
type PublishedState struct {
	// Version grows with each publication, in uneven steps.
	Version  int64
	Routes   []Route
	Services []Service
	// Teams hold the hashes of their keys. It is empty where callers need no
	// key.
	Teams  []Team
	Limits CallerLimits
}

// UpstreamRegistration is what an upstream says of itself on the platform.
type UpstreamRegistration struct {
	// Upstream is complete but for its region, name and revision.
	Upstream Upstream
	// StartedAt is when this life of the upstream began; zero where it isn't said.
	StartedAt time.Time
	// Sequence grows with each record of a life.
	Sequence int64
}

// RouteTable finds the route of a request and the limits of callers.
type RouteTable interface {
	// Match gives the route with the longest prefix that begins the path.
	Match(host, path string) (Route, bool)
	// EffectiveTier joins the tier of a team, which goes first, with that of a route.
	EffectiveTier(route Tier, team Team) Tier
	// CallerLimits gives the bounds on callers in force.
	CallerLimits() CallerLimits
	// RequiresKey tells that the published state names teams, so that requests need
	// a key.
	RequiresKey() bool
}

// Freshness tells how old a node's view of the published state is.
type Freshness interface {
	// Age is the time since the platform's log last confirmed that the view
	// held everything it had acknowledged. It goes on while the machine is
	// suspended.
	Age() time.Duration
	// IsFresh tells that the view is fresh enough for work that needs a key.
	IsFresh() bool
	// Version is the version in force; zero before the first.
	Version() int64
}
