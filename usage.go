package quetzalroad

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// UsageWindow numbers the windows of time in which the requests of teams are counted. Window k begins k window
// lengths after the start of 1970.
type UsageWindow int64

// TeamUsage is the number of requests of a team that upstreams began to run in a window.
type TeamUsage struct {
	Team     TeamName
	Requests int
}

// NodeUsage is what one incarnation of a node has counted in a window. Its counts only grow, so that of two for the
// same node, incarnation and window the larger ones are the later ones.
type NodeUsage struct {
	Node NodeName
	// StartedAt tells the incarnations of a node apart.
	StartedAt time.Time
	Window    UsageWindow
	Teams     []TeamUsage
}

// UsageMeter counts the requests that upstreams begin to run.
type UsageMeter interface {
	// CountRun counts a request of a team that an upstream has begun to run, once for each request.
	CountRun(now time.Time, team TeamName)
	// LocalUsage lists what this node counted in the recent windows, sorted by window and team.
	LocalUsage(now time.Time) []NodeUsage
	// UpdatePeerUsage records what other nodes counted.
	UpdatePeerUsage(now time.Time, usage []NodeUsage)
	// KnownUsage lists what this node and the others counted in the recent windows, sorted by node, incarnation,
	// window and team.
	KnownUsage(now time.Time) []NodeUsage
}

// UsageReport is the number of requests of each team in one window.
type UsageReport struct {
	Window UsageWindow
	// Teams are sorted by name.
	Teams []TeamUsage
}

// ServiceActivity is the recent demand for a service as some nodes see it.
type ServiceActivity struct {
	Service ServiceName
	// Requests is the number of requests a second that callers sent.
	Requests float64
	// InFlight counts the requests that callers wait for.
	InFlight int
	// Late and Refused are the numbers of requests a second whose first token was late, or that were refused for
	// lack of capacity.
	Late, Refused float64
}

// UsageState is what the holder of the lease saves of its usage reports.
type UsageState struct {
	// DecidedThrough is the last window that was decided or skipped; those before it were, too.
	DecidedThrough UsageWindow
	// Pending are the decided reports that the platform may not have yet, in order of their windows.
	Pending []UsageReport
}

// DemandMeter measures the demand for services at this node.
type DemandMeter interface {
	// BeginRequest and EndRequest enclose the time in which a caller waits for a request to a service.
	BeginRequest(now time.Time, s ServiceName)
	EndRequest(now time.Time, s ServiceName)
	// CountLate counts a request whose first token was late.
	CountLate(now time.Time, s ServiceName)
	// CountRefused counts a request that was refused for lack of capacity.
	CountRefused(now time.Time, s ServiceName)
}

// ActivityReport is what a node publishes about itself and the nodes that it reads the log for.
type ActivityReport struct {
	// Node is the publisher, and DataCentre where these nodes run.
	Node       NodeName
	DataCentre DataCentre
	// WrittenAt is when the report was written, by the node's own clock.
	WrittenAt time.Time
	Usage     []NodeUsage
	Demand    []ServiceActivity
}

// ActivityExchange publishes activity reports, and reads those of others at the holder of the lease.
type ActivityExchange interface {
	// UpdatePeerActivity records the demand that a node of the data centre reported to this one.
	UpdatePeerActivity(n NodeName, received time.Time, demand []ServiceActivity)
	// LocalDemand returns the recent demand at this node.
	LocalDemand(now time.Time) []ServiceActivity
	// Refresh reads the latest report of each publisher. Only the holder of the lease calls it.
	Refresh(ctx context.Context) ([]ActivityReport, error)
}

// Fence identifies the holder of the lease in a command that only the holder may send.
type Fence struct {
	Holder NodeName
	Token  FencingToken
}

// UpstreamOrder sets the number of upstreams of a service in a data centre.
type UpstreamOrder struct {
	Service    ServiceName
	DataCentre DataCentre
	// Count is the number of upstreams of this kind.
	Count int
	// Spot selects upstreams that are cheaper and may be reclaimed.
	Spot bool
}

// ErrUnavailable reports that the platform has no upstreams of the ordered kind at the moment.
var ErrUnavailable = errors.New("the platform has no such upstreams at the moment")

var (
	// ErrNotSent reports that no part of a command was sent.
	ErrNotSent = errors.New("the command was not sent")
	// ErrRejected reports that the platform answered a command with a failure, so that it is no longer on its way.
	ErrRejected = errors.New("the platform rejected the command")
)

// PlatformClient sends commands that only the holder of the lease may send.
//
// check is called before each command, and again once the connection is open; if it returns an error, nothing is sent.
// An error other than ErrUnavailable, ErrNotSent and ErrRejected leaves open whether the command took effect or still
// will.
type PlatformClient interface {
	// ReportUsage reports the usage of one window. It may be repeated with the same counts.
	ReportUsage(ctx context.Context, f Fence, r UsageReport, check func() error) error
	// OrderUpstreams replaces the order in force for the same service, data centre and kind.
	OrderUpstreams(ctx context.Context, f Fence, o UpstreamOrder, check func() error) error
}
