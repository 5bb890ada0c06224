package streamtracker

import (
	"context"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

// Origin implements quetzalroad.StreamTracker.
func (t *Tracker) Origin(ctx context.Context, id quetzalroad.RequestID, s quetzalroad.ServiceName) (quetzalroad.StreamOrigin, error) {
	calledAt := boottimer.Now()
	q := quetzalroad.OriginQuestion{Service: s}
	if isRecordable(id) {
		q.Stream = id
	}
	o, err := t.findOrigin(ctx, q)
	if errors.Is(err, quetzalroad.ErrOriginUnknown) && q.Stream != "" {
		// The node that the caller was connected to may be about to record the stream.
		if err := sleeper.Sleep(ctx, t.resultDelay); err != nil {
			return o, err
		}
		o, err = t.findOrigin(ctx, q)
	}
	if errors.Is(err, quetzalroad.ErrOriginUnknown) && q.Stream != "" && t.canAskAllPeers() {
		o, err = t.findAtPeers(ctx, q)
	}
	if err != nil {
		t.unknown.Add(1)
		t.logUnknown(q)
		return o, err
	}
	t.refreshRegistrations(ctx, calledAt)
	return o, nil
}

// logUnknown logs what this node knows of a stream's service when it can't tell where the stream began.
func (t *Tracker) logUnknown(q quetzalroad.OriginQuestion) {
	open, ok := t.recordedOpenVersions(q.Service)
	t.logger.Info("origin of a stream is unknown", "resumes", string(q.Stream), "service", string(q.Service),
		"registered", slices.Sorted(maps.Keys(t.registeredVersions()[q.Service])), "open", slices.Sorted(maps.Keys(open)), "open-known", ok,
		"stream-records", len(t.records.recordOffsets()))
}

// refreshRegistrations reads which incarnations of upstreams are registered, for IsReplaced, unless that was read since
// calledAt. While the log doesn't respond, replaced upstreams aren't recognised.
func (t *Tracker) refreshRegistrations(ctx context.Context, calledAt boottimer.Instant) {
	readAt, _, loaded := t.registrations.position()
	if (loaded && readAt.After(calledAt)) || t.isLogAway() || t.records.isFailing() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, t.quickTimeout)
	defer cancel()
	if err := t.registrations.refresh(ctx); err != nil {
		t.readFailures.Add(1)
		t.logger.Info("failed to read the registrations of upstreams", "error", err)
	}
}

// IsReplaced implements quetzalroad.StreamTracker.
func (t *Tracker) IsReplaced(u quetzalroad.UpstreamName) bool {
	return t.registrations.isReplaced(u)
}

// findOrigin asks the log, and other nodes if it doesn't respond.
func (t *Tracker) findOrigin(ctx context.Context, q quetzalroad.OriginQuestion) (quetzalroad.StreamOrigin, error) {
	own := t.ownReport(ctx, q)
	if settles(own) {
		return conclude(q.Service, own, nil, 0)
	}
	others := t.askPeers(ctx, q, settles)
	if err := ctx.Err(); err != nil {
		return quetzalroad.StreamOrigin{}, err
	}
	o, err := conclude(q.Service, own, others.reports, others.asked)
	t.logger.Info("other nodes asked for the origin of a stream", "resumes", string(q.Stream), "service", string(q.Service),
		"own-versions", own.Versions, "asked", others.asked, "answered", len(others.reports), "failure", others.failure,
		"current", slices.ContainsFunc(others.reports, func(r quetzalroad.OriginReport) bool { return r.IsCurrent }), "version", string(o.Version), "error", err)
	return o, err
}

// findAtPeers asks the other nodes for a stream that no record has, although its service has several versions: the node
// that it began at may not reach the log.
func (t *Tracker) findAtPeers(ctx context.Context, q quetzalroad.OriginQuestion) (quetzalroad.StreamOrigin, error) {
	others := t.askPeers(ctx, q, func(r quetzalroad.OriginReport) bool { return r.Found })
	for _, r := range others.reports {
		if r.Found {
			return r.Origin, nil
		}
	}
	t.logger.Info("no other node knows a stream", "resumes", string(q.Stream), "asked", others.asked, "answered", len(others.reports), "failure", others.failure)
	return quetzalroad.StreamOrigin{}, quetzalroad.ErrOriginUnknown
}

// isLogAway reports whether the log has not confirmed this node's view for so long that it is not expected to respond.
func (t *Tracker) isLogAway() bool {
	return t.node.Freshness != nil && t.node.Freshness.Age() > t.confirmedWithin
}

// ownReport returns what this node knows, to resume a stream here. While the log is away, it doesn't wait long for it.
func (t *Tracker) ownReport(ctx context.Context, q quetzalroad.OriginQuestion) quetzalroad.OriginReport {
	if !t.isLogAway() {
		return t.report(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, t.quickTimeout)
	defer cancel()
	return t.report(ctx, q)
}

// Report implements quetzalroad.StreamTracker. While many nodes can't reach the log, they all ask each other, and must not
// all ask the log for each other.
func (t *Tracker) Report(ctx context.Context, q quetzalroad.OriginQuestion) quetzalroad.OriginReport {
	timeout := t.quickTimeout
	if t.isLogAway() {
		timeout = 0
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.report(ctx, q)
}

// report returns what this node knows, after a read from the log unless the context has ended.
func (t *Tracker) report(ctx context.Context, q quetzalroad.OriginQuestion) quetzalroad.OriginReport {
	if o, ok := t.streams.find(q.Stream); ok {
		return quetzalroad.OriginReport{Origin: o, Found: true}
	}
	versions, err := t.readVersions(ctx, q.Service)
	if err != nil {
		t.readFailures.Add(1)
		t.logger.Info("failed to read the origins of streams", "error", err)
		versions = t.versionsInUse()[q.Service]
	}
	if o, ok := t.records.find(q.Stream); ok {
		return quetzalroad.OriginReport{Origin: o, Found: true}
	}
	report := quetzalroad.OriginReport{IsCurrent: err == nil}
	if t.records.isLoaded() {
		report.Versions = slices.Sorted(maps.Keys(versions))
	}
	return report
}

// readVersions reads the records, and returns the versions at which streams of a service may have begun. If the
// records don't tell that, and show one version only, it reads the registrations of its upstreams, too.
func (t *Tracker) readVersions(ctx context.Context, s quetzalroad.ServiceName) (versionSet, error) {
	if ctx.Err() != nil || (t.records.isFailing() && !t.mustRecord(s)) {
		return nil, errLogFailing
	}
	if err := t.records.refresh(ctx); err != nil {
		return nil, err
	}
	if open, ok := t.recordedOpenVersions(s); ok {
		return open, nil
	}
	versions := t.versionsInUse()
	if versions.isMixed(s) {
		return versions[s], nil
	}
	if err := t.registrations.refresh(ctx); err != nil {
		return nil, err
	}
	t.registrations.addTo(versions)
	return versions[s], nil
}

// errLogFailing is returned instead of reading a log that has just failed, or is away.
var errLogFailing = errors.New("the log has just failed")
