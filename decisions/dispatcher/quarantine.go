package dispatcher

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// attemptProgress is how far one attempt has come.
type attemptProgress struct {
	startedAt time.Time
	// responded is set once the response has begun to arrive, though maybe not the whole head.
	responded bool
	// chunks counts the events or parts of the body that have arrived.
	chunks int
	// lastEventID is the id of the last event of the response; zero before the first.
	lastEventID int64
	// held is the first event of the response while it is not known whether it leaves a hole; nil if none is held.
	held *quetzalroad.BodyChunk
	// mustEnd is set once an event followed with less than the step.
	mustEnd bool
	// eventStream reports whether the response is an event stream.
	eventStream bool
	// exposed lists the request's suspects as of the attempt's begin.
	exposed []quetzalroad.ExposedSegment
	// exitedUpstream is set if the upstream's process exited as it began to respond.
	exitedUpstream bool
}

// isResponding reports whether the upstream had begun to respond, but completed no event.
func (a *attemptProgress) isResponding() bool {
	return a.responded && (a.chunks == 0 || !a.eventStream)
}

func (a *attemptProgress) countChunk(c quetzalroad.BodyChunk) {
	if len(c.Data) > 0 && !c.IsComment {
		a.chunks++
	}
}

// suspectsOf returns what may crash upstreams of a request: the segments that it shares with others, and the
// request as a whole, which comes again with another id, or from another caller.
func suspectsOf(f *quetzalroad.ForwardRequest) []quetzalroad.PromptSegment {
	return slices.Concat(f.SharedSegments(), []quetzalroad.PromptSegment{quetzalroad.WholeRequestSegment(contentHash(f))})
}

// contentHash returns a hash of what an upstream is asked for.
func contentHash(f *quetzalroad.ForwardRequest) uint64 {
	h := xxhash.New()
	// Writing to a digest never fails.
	for _, text := range []string{f.Method, f.RequestTarget, string(f.Model)} {
		_, _ = h.WriteString(text + "\x00")
	}
	for _, s := range f.PromptSegments {
		_, _ = h.WriteString(s.ID + "\x00")
	}
	for _, part := range f.Body {
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// checkQuarantine returns a refusal if a request, or a segment of its prompt, crashes upstreams.
func (d *Dispatcher) checkQuarantine(f *quetzalroad.ForwardRequest, suspects []quetzalroad.PromptSegment) *quetzalroad.Refusal {
	segment, found := d.node.Quarantine.Check(time.Now(), f.ID, suspects)
	if !found {
		return nil
	}
	message := "segment " + segment.ID + " of the prompt crashes upstreams"
	if quetzalroad.IsWholeRequest(segment.ID) {
		message = "the request crashes upstreams"
	}
	return quetzalroad.NewRefusal(quetzalroad.ReasonQuarantined, message, segment.RetryAfter)
}

// exitCheckTimeout bounds the check whether an upstream's process still runs.
const exitCheckTimeout = 200 * time.Millisecond

// recordForQuarantine tells the quarantine how an attempt ended.
func (r *forwardRun) recordForQuarantine(ctx context.Context, u quetzalroad.Upstream, err error) {
	d := r.dispatcher
	quarantine := d.node.Quarantine
	switch {
	case err == nil && r.status < http.StatusMultipleChoices:
		quarantine.RecordComplete(time.Now(), r.suspects)
	case errors.Is(err, syscall.ECONNREFUSED):
		quarantine.RecordExit(time.Now(), u.Name)
	case r.isConnectionLost(ctx, err) && r.attempt.isResponding():
		r.attempt.exitedUpstream = d.hasCrashed(ctx, u)
		r.logConnectionLost(u)
		if r.attempt.exitedUpstream {
			quarantine.RecordLoss(time.Now(), u.Name, r.attempt.exposed)
		}
	case r.isConnectionLost(ctx, err):
		r.logConnectionLost(u)
		d.exitChecks.start(u.Name, r.attempt.exposed, func() bool { return d.hasCrashed(ctx, u) }, quarantine)
	}
}

// hasCrashed reports whether an upstream's process has exited unplanned, so that a request may be to blame. A
// connection may also be lost by a network fault, or because the upstream closed it. One that drains or is no longer
// listed exits as planned.
func (d *Dispatcher) hasCrashed(ctx context.Context, u quetzalroad.Upstream) bool {
	if d.node.UpstreamChecker == nil {
		return false
	}
	if current, ok := d.node.Directory.Upstream(u.Name); !ok || current.Draining {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exitCheckTimeout)
	defer cancel()
	return d.node.UpstreamChecker.HasExited(ctx, u)
}

// isConnectionLost reports whether an attempt ended because the upstream closed or reset the
// connection before the response was complete.
func (r *forwardRun) isConnectionLost(ctx context.Context, err error) bool {
	var failure *quetzalroad.AttemptError
	return ctx.Err() == nil && errors.As(err, &failure) && !failure.NotRun && failure.RetryReason == quetzalroad.RetryConnectionLost
}

// logConnectionLost logs what the request had in common with others, and how far its response had
// come, so that requests that crash an upstream can be told from those that were lost with them.
func (r *forwardRun) logConnectionLost(u quetzalroad.Upstream) {
	f := r.request
	r.dispatcher.logger.Warn("connection lost under a request", "request-id", string(f.ID), "attempt", r.history.attempts, "upstream", string(u.Name),
		"segments", segmentIDs(r.suspects), "responded", r.attempt.responded, "exited", r.attempt.exitedUpstream, "chunks", r.attempt.chunks, "after", time.Since(r.attempt.startedAt))
}

// maxLoggedSegments bounds the segment ids in a log line.
const maxLoggedSegments = 8

// segmentIDs returns the last ids of the segments, of which the last one stands for the whole request.
func segmentIDs(segments []quetzalroad.PromptSegment) []string {
	var ids []string
	for _, s := range segments[max(0, len(segments)-maxLoggedSegments):] {
		ids = append(ids, s.ID)
	}
	return ids
}
