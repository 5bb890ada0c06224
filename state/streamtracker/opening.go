package streamtracker

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/streammapper"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// openVersions holds the versions at which this node may begin streams.
type openVersions struct {
	versions versionSets
	// checkedAt is when they were determined. While the process stood still, another node may have closed one.
	checkedAt boottimer.Instant
}

// MayBegin implements quetzalroad.StreamTracker.
func (t *Tracker) MayBegin(o quetzalroad.StreamOrigin) bool {
	open := t.open.Load()
	return open != nil && open.versions.contains(o) && open.checkedAt.Age() <= t.maxAbsence()
}

// maxAbsence is the time for which a version may be absent, or this node stand still, without the version's
// record being read again. Another node deletes the record after the retention only.
func (t *Tracker) maxAbsence() time.Duration {
	return t.retention / 2
}

// openingStep is what a node does next to have streams begin at a version.
type openingStep int

const (
	// stepNone leaves a version that is open.
	stepNone openingStep = iota
	// stepAnnounce has all nodes record the streams that they have begun at other versions.
	stepAnnounce
	// stepWait waits for them.
	stepWait
	// stepOpen has streams begin at the version.
	stepOpen
)

// versionView is what a node knows of a version of which an upstream is registered.
type versionView struct {
	// isRecorded reports whether the log has a record of the version, and isAnnounced what it states.
	isRecorded, isAnnounced bool
	// isRestored reports whether the log may lack records of the service, as it was restored, or has such of an
	// earlier build.
	isRestored bool
	// isFirst reports whether the log had no record of the service.
	isFirst bool
	// otherOpen is the number of the service's other versions that are open.
	otherOpen int
	// othersTakeWork reports whether an upstream of one of them is registered and not draining.
	othersTakeWork bool
	// isAcknowledged reports whether all nodes have acknowledged the announcement, and announcedFor how long
	// this node has known it.
	isAcknowledged bool
	announcedFor   time.Duration
}

// nextStep decides what to do about a version. While one version is open, streams that nobody recorded began
// there. So before another one is opened, the nodes record their streams, or those of a node that dies then are
// lost. It is not waited for beyond openTimeout, nor if nothing else serves.
func nextStep(v versionView, openTimeout time.Duration) openingStep {
	switch {
	case v.isRecorded && !v.isAnnounced && !v.isRestored:
		return stepNone
	case v.isRestored || v.isFirst || v.otherOpen != 1 || !v.othersTakeWork:
		return stepOpen
	case !v.isRecorded:
		return stepAnnounce
	case v.isAcknowledged || v.announcedFor >= openTimeout:
		return stepOpen
	}
	return stepWait
}

// observe updates which versions this node has seen registered as of a time, which are in use, and which are open.
func (c *versionChecker) observe(at boottimer.Instant) {
	t := c.tracker
	c.registered = t.registeredVersions()
	c.sightings.update(c.registered, at, t.maxAbsence())
	c.updateMixed()
	open := openVersions{versions: make(versionSets), checkedAt: boottimer.Now()}
	for _, o := range c.registered.list() {
		if c.isOpen(o) {
			open.versions.add(o)
		}
	}
	t.open.Store(&open)
}

// isOpen reports whether streams may begin at a version that is registered. After the log was restored, those
// that were open remain so until they are recorded again.
func (c *versionChecker) isOpen(o quetzalroad.StreamOrigin) bool {
	t := c.tracker
	readAt, _, _ := t.records.position()
	version, ok := t.records.version(o)
	if ok && !version.Announced && readAt.After(c.sightings[o].since) {
		return true
	}
	return t.MayBegin(o) && t.records.wasRestoredWithin(t.retention)
}

// advanceVersions announces or opens the registered versions that are not open.
func (c *versionChecker) advanceVersions(ctx context.Context, at boottimer.Instant) error {
	unsettled := c.unsettledVersions()
	if len(unsettled) == 0 {
		return nil
	}
	isRead := c.mustRead(unsettled)
	if isRead {
		if err := c.refreshInTurn(ctx); err != nil {
			return err
		}
	}
	if c.hasStep(unsettled) {
		// A write fails if the log has grown since this node read it.
		if !isRead {
			if err := c.refreshInTurn(ctx); err != nil {
				return err
			}
		}
		if err := c.advanceAll(ctx, unsettled); err != nil {
			return err
		}
	}
	c.observe(at)
	c.requestAcknowledgement()
	return nil
}

// hasStep reports whether one of the versions is to be announced or opened.
func (c *versionChecker) hasStep(unsettled []quetzalroad.StreamOrigin) bool {
	return slices.ContainsFunc(unsettled, func(o quetzalroad.StreamOrigin) bool {
		step := nextStep(c.viewOf(o, false), c.tracker.openTimeout)
		return step == stepAnnounce || step == stepOpen
	})
}

// advanceAll makes the next step about each version.
func (c *versionChecker) advanceAll(ctx context.Context, unsettled []quetzalroad.StreamOrigin) error {
	unrecorded := make(map[quetzalroad.ServiceName]bool)
	for _, o := range unsettled {
		unrecorded[o.Service] = len(c.tracker.records.versionsOf(o.Service)) == 0
	}
	for _, o := range unsettled {
		if err := c.advance(ctx, o, unrecorded[o.Service]); err != nil {
			return err
		}
	}
	return nil
}

// mustRead reports whether the records have to be read for the next steps. While versions wait for
// acknowledgements, the nodes of a large fleet read them seldom.
func (c *versionChecker) mustRead(unsettled []quetzalroad.StreamOrigin) bool {
	t := c.tracker
	readAt, _, _ := t.records.position()
	interval := max(t.checkInterval, time.Duration(t.fleetSize())*t.nodeInterval)
	return readAt.Age() >= interval || slices.ContainsFunc(unsettled, func(o quetzalroad.StreamOrigin) bool {
		version, ok := t.records.version(o)
		return !ok || !version.Announced
	})
}

// unsettledVersions returns the registered versions that are not open, and those that a restored log may lack.
func (c *versionChecker) unsettledVersions() []quetzalroad.StreamOrigin {
	t := c.tracker
	epoch := t.records.epoch()
	candidates := c.registered.list()
	if t.records.wasRestoredWithin(t.retention) {
		candidates = c.sightings.seenWithin(t.retention)
	}
	return slices.DeleteFunc(candidates, func(o quetzalroad.StreamOrigin) bool {
		version, ok := t.records.version(o)
		isRecorded := ok && version.Epoch == epoch && !version.Announced
		return isRecorded && (c.isOpen(o) || !c.registered.contains(o))
	})
}

// advance makes the next step about a version. If another node has written to the log since this one read it,
// the step is left to the next check.
func (c *versionChecker) advance(ctx context.Context, o quetzalroad.StreamOrigin, isFirst bool) error {
	t := c.tracker
	_, position, _ := t.records.position()
	view := c.viewOf(o, isFirst)
	step := nextStep(view, t.openTimeout)
	if step == stepNone || step == stepWait {
		return nil
	}
	record := quetzalroad.VersionRecord{Origin: o, Announced: step == stepAnnounce, Epoch: position.Epoch}
	data, err := streammapper.EncodeVersion(record)
	if err != nil {
		return err
	}
	if err := c.putAt(ctx, versionKey(o), data, position.Offset); err != nil {
		return ignoreConflict(err)
	}
	t.logger.Info("software version in use", "service", string(o.Service), "version", string(o.Version), "open", !record.Announced,
		"acknowledged", view.isAcknowledged, "announced-for", view.announcedFor, "restored", view.isRestored, "others-open", view.otherOpen)
	return t.records.refresh(ctx)
}

func ignoreConflict(err error) error {
	if errors.Is(err, quetzalroad.ErrConflict) {
		return nil
	}
	return err
}

// viewOf returns what this node knows of a version.
func (c *versionChecker) viewOf(o quetzalroad.StreamOrigin, isFirst bool) versionView {
	t := c.tracker
	view := versionView{isFirst: isFirst, isRestored: t.records.wasRestoredWithin(t.retention)}
	epoch := t.records.epoch()
	for _, version := range t.records.versionsOf(o.Service) {
		view.isRestored = view.isRestored || version.Epoch != epoch
		switch {
		case version.Origin == o:
			view.isRecorded, view.isAnnounced = true, version.Announced
			view.announcedFor = c.announcedFor(version)
			view.isAcknowledged = t.isAcknowledged(version)
		case !version.Announced:
			view.otherOpen++
			view.othersTakeWork = view.othersTakeWork || t.takesWork(version.Origin)
		}
	}
	return view
}

// announcedFor returns how long this node has known an announcement.
func (c *versionChecker) announcedFor(version recordedVersion) time.Duration {
	seen, ok := c.announcements[version.Origin]
	if !ok || seen.offset != version.offset {
		seen = recordSighting{offset: version.offset, at: boottimer.Now()}
		c.announcements[version.Origin] = seen
	}
	return seen.at.Age()
}

// takesWork reports whether an upstream of a version is registered and not draining.
func (t *Tracker) takesWork(o quetzalroad.StreamOrigin) bool {
	return slices.ContainsFunc(t.node.Directory.UpstreamsOf(o.Service), func(u quetzalroad.Upstream) bool {
		return u.Version == o.Version && !u.Draining
	})
}
