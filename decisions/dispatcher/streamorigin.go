package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// originRetryAfter is the retry delay suggested to callers while it can't be read where their stream began.
const originRetryAfter = time.Second

// findOrigin restricts a request that resumes a stream to the service and the software version that began it. It
// returns a refusal if they are not known.
func (d *Dispatcher) findOrigin(ctx context.Context, f *quetzalroad.ForwardRequest) *quetzalroad.Refusal {
	tracker := d.node.StreamTracker
	if tracker == nil || !f.Resumes() {
		return nil
	}
	origin, err := tracker.Origin(ctx, f.ResumedRequestID, f.Service.Name)
	d.logger.Info("stream resumed by its caller", "request-id", string(f.ID), "resumes", string(f.ResumedRequestID), "after-event", f.LastEventID,
		"service", string(origin.Service), "version", string(origin.Version), "error", err)
	switch {
	case err != nil && ctx.Err() != nil:
		return d.contextRefusal(ctx, quetzalroad.OutcomeNotRun)
	case errors.Is(err, quetzalroad.ErrOriginUnknown):
		return quetzalroad.NewRefusal(quetzalroad.ReasonStreamOriginUnknown, "it is not known which software version began the stream, so that no other can go on with it", 0)
	case err != nil:
		refusal := quetzalroad.NewRefusal(quetzalroad.ReasonStreamOriginUnknown, "it can't be read which software version began the stream", originRetryAfter)
		refusal.Cause = err
		return refusal
	}
	if service, ok := d.routedService(f, origin.Service); ok {
		f.Service = service
		f.Version, f.HasVersion = origin.Version, true
	}
	return nil
}

// routedService returns a service if the request's route leads there.
func (d *Dispatcher) routedService(f *quetzalroad.ForwardRequest, name quetzalroad.ServiceName) (quetzalroad.Service, bool) {
	leadsThere := slices.ContainsFunc(f.Route.TrafficSplit, func(s quetzalroad.WeightedService) bool { return s.Service == name && s.Weight > 0 })
	if !leadsThere {
		return quetzalroad.Service{}, false
	}
	return d.node.Directory.Service(name)
}

// recordStream restricts further attempts to the software version of the upstream whose event is the first to be
// relayed, and records that the stream began there.
func (r *forwardRun) recordStream(u quetzalroad.Upstream) {
	f := r.request
	if r.streamRecorded || !f.Route.Streaming {
		return
	}
	r.streamRecorded = true
	if !f.HasVersion {
		f.Version, f.HasVersion = u.Version, true
	}
	if tracker := r.dispatcher.node.StreamTracker; tracker != nil && f.Route.Resumable {
		tracker.RecordBegun(time.Now(), f.StreamID(), quetzalroad.StreamOrigin{Service: f.Service.Name, Version: f.Version})
	}
}

// recordStreamEnd records that no more events of the stream are relayed.
func (r *forwardRun) recordStreamEnd(err error) {
	f := r.request
	if tracker := r.dispatcher.node.StreamTracker; tracker != nil && r.streamRecorded && f.Route.Resumable {
		tracker.RecordEnd(time.Now(), f.StreamID(), err == nil)
	}
}

// ofVersion returns the upstreams that may run a request: those of its software version if it has one, and of a
// version at which streams may begin if it begins one.
func (d *Dispatcher) ofVersion(r *quetzalroad.Request, upstreams []quetzalroad.Upstream) []quetzalroad.Upstream {
	if !slices.ContainsFunc(upstreams, func(u quetzalroad.Upstream) bool { return !d.mayRun(r, u) }) {
		return upstreams
	}
	var matching []quetzalroad.Upstream
	for _, u := range upstreams {
		if d.mayRun(r, u) {
			matching = append(matching, u)
		}
	}
	return matching
}

// mayRun reports whether the software version of an upstream may run a request.
func (d *Dispatcher) mayRun(r *quetzalroad.Request, u quetzalroad.Upstream) bool {
	switch {
	case r.HasVersion:
		return d.runsVersion(u, r.Version)
	case r.BeginsStream && d.node.StreamTracker != nil:
		return d.node.StreamTracker.MayBegin(quetzalroad.StreamOrigin{Service: u.Service, Version: u.Version})
	}
	return true
}

// runsVersion reports whether an upstream runs a software version, as far as that is known.
func (d *Dispatcher) runsVersion(u quetzalroad.Upstream, v quetzalroad.SoftwareVersion) bool {
	return u.Version == v && (d.node.StreamTracker == nil || !d.node.StreamTracker.IsReplaced(u.Name))
}

// remainingOfVersion returns all upstreams of the request's software version that don't drain, also those that get
// no other work now.
func (d *Dispatcher) remainingOfVersion(r *quetzalroad.Request) []quetzalroad.Upstream {
	all := d.ofVersion(r, d.node.Directory.UpstreamsOf(r.Service.Name))
	return slices.DeleteFunc(slices.Clone(all), func(u quetzalroad.Upstream) bool { return u.Draining })
}
