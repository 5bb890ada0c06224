package quetzalroad

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// wholeRequestPrefix begins the id under which a request as a whole is suspected. It has a character that
// ids of segments can't have.
const wholeRequestPrefix = "request:"

// WholeRequestSegment returns the pseudo segment that stands for all that requests with the same content
// have in common.
func WholeRequestSegment(contentHash uint64) PromptSegment {
	return PromptSegment{ID: wholeRequestPrefix + strconv.FormatUint(contentHash, 16)}
}

// IsWholeRequest reports whether the id of a segment stands for a request as a whole.
func IsWholeRequest(id string) bool {
	return strings.HasPrefix(id, wholeRequestPrefix)
}

// ExposedSegment is a prompt segment of a request that was sent to an upstream.
type ExposedSegment struct {
	// ID identifies the segment.
	ID string
	// Wave is one more than the highest wave of the losses under this segment that the sending node
	// knew when it sent the request. Losses of one wave happened without knowledge of each other, for
	// instance all at once. It is positive.
	Wave int
}

// UpstreamLoss is the exit of an upstream's process, with the suspects: as it began to respond to a request,
// or with requests in flight.
type UpstreamLoss struct {
	// Upstream is the incarnation that exited.
	Upstream UpstreamName
	// Segments are the shared segments of the request's prompt, in order, and last the request as a whole.
	// Of requests in flight they are the segments of all of them, ordered by id.
	Segments []ExposedSegment
	// At is when the node noticed the loss, by the time of day.
	At time.Time
}

// SoundSegment is a prompt segment under which a response was complete.
type SoundSegment struct {
	ID string
	// Wave is the highest wave of losses that the response disproves; zero if it was complete before
	// any loss was known.
	Wave int
}

// RefusedSegment is a quarantined segment and when a request with it was last refused.
type RefusedSegment struct {
	ID string
	At time.Time
}

// LossEvidence is what nodes know about the prompt segments that crash upstreams. Evidence of two nodes
// is combined by union, so that its order and repetition don't matter.
type LossEvidence struct {
	// Losses are of upstreams that exited as they began to respond, each with one request.
	Losses []UpstreamLoss
	// InFlight are of upstreams that exited with requests whose response had not begun or was past its
	// first event, at most one of each upstream. Any of the requests may be to blame, or none.
	InFlight []UpstreamLoss
	// Sound and Refused only list segments of Losses and InFlight.
	Sound   []SoundSegment
	Refused []RefusedSegment
}

// QuarantinedSegment is a prompt segment, or a request as a whole, that is not sent to upstreams.
type QuarantinedSegment struct {
	ID string
	// Upstreams is the number of upstreams that exited under it.
	Upstreams int
	// RetryAfter is the time until a request with it may be sent again to find out whether it still
	// crashes upstreams.
	RetryAfter time.Duration
}

// Quarantine finds the prompt segments, and the requests as a whole, that crash the upstreams that respond
// to them. Its segments are the shared ones of a prompt and the one of WholeRequestSegment.
type Quarantine interface {
	// Check returns the quarantined segment because of which a request must not be sent, or false.
	Check(now time.Time, id RequestID, segments []PromptSegment) (QuarantinedSegment, bool)
	// Expose returns the segments of a request that is about to be sent, for RecordLoss.
	Expose(segments []PromptSegment) []ExposedSegment
	// RecordLoss records that an upstream exited as it began to respond to a request.
	RecordLoss(now time.Time, u UpstreamName, exposed []ExposedSegment)
	// RecordInFlight records that an upstream exited with requests in flight that it was not beginning to
	// respond to.
	RecordInFlight(now time.Time, u UpstreamName, exposed []ExposedSegment)
	// RecordComplete records that an upstream responded completely to a request.
	RecordComplete(now time.Time, segments []PromptSegment)
	// RecordExit records that an upstream's process has exited, whatever it was doing.
	RecordExit(now time.Time, u UpstreamName)
	// Evidence returns what this node knows, for other nodes, and Digest a hash of it; zero if it is
	// empty.
	Evidence() LossEvidence
	Digest() uint64
	// DirectDigest returns a hash of the evidence without the requests in flight.
	DirectDigest() uint64
	// Merge adds the evidence of other nodes.
	Merge(now time.Time, e LossEvidence)
	// IsAlert reports whether several upstreams exited recently, so that evidence is urgent.
	IsAlert(now time.Time) bool
	// Changed receives a value after the evidence changed or an alert began.
	Changed() <-chan struct{}
	// Quarantined lists the quarantined segments.
	Quarantined(now time.Time) []QuarantinedSegment
}

// UpstreamChecker checks whether upstreams run.
type UpstreamChecker interface {
	// HasExited reports whether an upstream's address refuses connections, so that no process listens
	// there. It returns false if that can't be told.
	HasExited(ctx context.Context, u Upstream) bool
}

// Fleet lists the nodes of the router.
type Fleet interface {
	// Nodes returns the names of all known nodes of all data centres, including this one.
	Nodes() []NodeName
	// RankedNodes returns the same names in an order on which all nodes with the same list agree: by descending
	// capacity, then by the hash of the name. It is empty before the list has been read. The slice is shared and
	// must not be modified.
	RankedNodes() []NodeName
	// PeerAddresses returns the addresses at which the other nodes serve reads, as far as they are known.
	PeerAddresses() []netip.AddrPort
}
