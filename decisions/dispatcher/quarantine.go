package dispatcher

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// attemptProgress is how far one attempt has come.
type attemptProgress struct {
	startedAt time.Time
	// responded is set once the head of the response has arrived.
	responded bool
	// chunks counts the events or parts of the body that have arrived.
	chunks int
	// eventStream reports whether the response is an event stream.
	eventStream bool
	// exposed lists the shared segments of the request as of the attempt's begin.
	exposed []quetzalroad.ExposedSegment
	// exitedUpstream is set if the upstream's process exited as it began to respond.
	exitedUpstream bool
}

// isResponding reports whether the upstream had begun to respond, but completed no event.
func (a *attemptProgress) isResponding() bool {
	return a.responded && (a.chunks == 0 || !a.eventStream)
}

func (a *attemptProgress) countChunk(c quetzalroad.BodyChunk) {
	if len(c.Data) > 0 {
		a.chunks++
	}
}

// checkQuarantine returns a refusal if the prompt of a request has a segment that crashes upstreams.
func (d *Dispatcher) checkQuarantine(f *quetzalroad.ForwardRequest) *quetzalroad.Refusal {
	segment, found := d.node.Quarantine.Check(time.Now(), f.ID, f.SharedSegments())
	if !found {
		return nil
	}
	return quetzalroad.NewRefusal(quetzalroad.ReasonQuarantined, "segment "+segment.ID+" of the prompt crashes upstreams", segment.RetryAfter)
}

// exitCheckTimeout bounds the check whether an upstream's process still runs.
const exitCheckTimeout = 200 * time.Millisecond

// recordForQuarantine tells the quarantine how an attempt ended.
func (r *forwardRun) recordForQuarantine(ctx context.Context, u quetzalroad.Upstream, err error) {
	d := r.dispatcher
	quarantine := d.node.Quarantine
	switch {
	case err == nil && r.status < http.StatusMultipleChoices:
		quarantine.RecordComplete(time.Now(), r.request.SharedSegments())
	case errors.Is(err, syscall.ECONNREFUSED):
		quarantine.RecordExit(time.Now(), u.Name)
	case r.isConnectionLost(ctx, err) && r.attempt.isResponding():
		r.attempt.exitedUpstream = d.hasExited(ctx, u)
		r.logConnectionLost(u)
		if r.attempt.exitedUpstream {
			quarantine.RecordLoss(time.Now(), u.Name, r.attempt.exposed)
		}
	case r.isConnectionLost(ctx, err):
		r.logConnectionLost(u)
		d.checkExit(ctx, u)
	}
}

// checkExit finds out in the background whether an upstream's process has exited. Its exit is not
// blamed on the request, but a sign that others may be to blame.
func (d *Dispatcher) checkExit(ctx context.Context, u quetzalroad.Upstream) {
	if _, running := d.exitChecks.LoadOrStore(u.Name, struct{}{}); running {
		return
	}
	go func() {
		defer d.exitChecks.Delete(u.Name)
		if d.hasExited(ctx, u) {
			d.node.Quarantine.RecordExit(time.Now(), u.Name)
		}
	}()
}

// hasExited reports whether an upstream's process has exited. A connection may also be lost by a
// network fault, or because the upstream closed it.
func (d *Dispatcher) hasExited(ctx context.Context, u quetzalroad.Upstream) bool {
	if d.node.UpstreamChecker == nil {
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
		"segments", segmentIDs(f.SharedSegments()), "responded", r.attempt.responded, "exited", r.attempt.exitedUpstream, "chunks", r.attempt.chunks, "after", time.Since(r.attempt.startedAt))
}

// maxLoggedSegments bounds the segment ids in a log line.
const maxLoggedSegments = 8

// segmentIDs returns the first ids of the segments.
func segmentIDs(segments []quetzalroad.PromptSegment) []string {
	var ids []string
	for _, s := range segments[:min(len(segments), maxLoggedSegments)] {
		ids = append(ids, s.ID)
	}
	return ids
}
