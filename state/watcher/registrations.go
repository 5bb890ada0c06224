package watcher

import (
	"sync/atomic"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// registration is what the watcher keeps about one key of the upstreams' stream.
type registration struct {
	name quetzalroad.UpstreamName
	// startedAt and sequence are those of the last applied record.
	startedAt time.Time
	sequence  int64
	// draining is set once this incarnation has announced a drain, and stays set.
	draining bool
	// inDirectory reports whether the upstream is listed in the directory.
	inDirectory bool
	// removedIn is the epoch in which the upstream was last removed from the directory.
	removedIn quetzalroad.Epoch
	// expired is set if it was removed because its registration was not written again after an outage.
	expired bool
	// missingSince is when the registration was found missing after a log
	// outage; zero if it is present or the upstream was removed.
	missingSince boottimer.Instant
}

// registrationTable holds the registrations of all upstreams. The zero value is empty.
// All fields but loaded are used only by the goroutine that follows registrations.
type registrationTable struct {
	// byKey also keeps the keys of removed upstreams, so that a late record of
	// one is recognised as old.
	byKey map[string]*registration
	// epoch is the one in which registrations were last read.
	epoch quetzalroad.Epoch
	// lastOutage is the last time the log was unavailable or just recovered.
	lastOutage boottimer.Instant
	// loaded reports whether all registrations have been read once.
	loaded atomic.Bool
}

// markOutage records that the log is unavailable or has just recovered.
func (t *registrationTable) markOutage() {
	t.lastOutage = boottimer.Now()
}

// applyRegistrations applies the records of one read.
func (w *Watcher) applyRegistrations(b batch) {
	registrations := &w.registrations
	registrations.epoch = b.epoch
	if registrations.byKey == nil {
		registrations.byKey = make(map[string]*registration)
	}
	present := make(map[string]bool, len(b.records))
	for _, r := range b.records {
		present[r.Key] = r.Value != nil
		if r.Value == nil {
			w.handleMissing(r.Key, int64(r.Offset))
			continue
		}
		w.applyRegistration(r, r.Offset < b.inheritedEnd)
	}
	if !b.complete {
		return
	}
	for key := range registrations.byKey {
		if !present[key] {
			w.handleMissing(key, int64(quetzalroad.NoOffset))
		}
	}
	registrations.loaded.Store(true)
}

// applyRegistration applies a registration unless it says nothing new. inherited reports whether it may
// come from the copy with which the epoch began.
func (w *Watcher) applyRegistration(r quetzalroad.KeyedRecord, inherited bool) {
	decoded, err := w.codec.DecodeRegistration(r)
	if err != nil {
		w.logger.Warn("ignoring undecodable upstream registration", "key", r.Key, "offset", int64(r.Offset), "error", err)
		return
	}
	known := w.registrations.byKey[r.Key]
	if known == nil {
		known = new(registration)
		w.registrations.byKey[r.Key] = known
	}
	name := quetzalroad.IncarnationName(r.Key, decoded.StartedAt)
	if known.name == name {
		// It isn't missing, though it may be an older one.
		known.missingSince = boottimer.Instant{}
	}
	if known.isNewerThan(decoded) {
		w.logger.Info("ignoring older upstream registration", "upstream", string(known.name), "offset", int64(r.Offset), "sequence", decoded.Sequence, "known", known.sequence)
		return
	}
	switch {
	case known.name != name:
		w.removeUpstream(known, "reborn")
		*known = registration{name: name}
	case !known.inDirectory && !w.revives(known, decoded, inherited):
		known.sequence = decoded.Sequence
		return
	}
	known.startedAt, known.sequence = decoded.StartedAt, decoded.Sequence
	known.draining = known.draining || decoded.Upstream.Draining
	w.putUpstream(known, decoded.Upstream, int64(r.Offset))
}

// isNewerThan reports whether a later registration than the decoded one was applied.
func (r *registration) isNewerThan(decoded quetzalroad.UpstreamRegistration) bool {
	switch {
	case decoded.StartedAt.Before(r.startedAt):
		return true
	case decoded.StartedAt.Equal(r.startedAt):
		return r.name != "" && decoded.Sequence < r.sequence
	}
	return false
}

// revives reports whether a registration shows that a removed upstream is still in use. One that was
// restored with a copy of the log does not.
func (w *Watcher) revives(known *registration, decoded quetzalroad.UpstreamRegistration, inherited bool) bool {
	switch {
	case w.registrations.epoch != known.removedIn:
		return !inherited
	case known.expired:
		return true
	}
	return decoded.Sequence > known.sequence
}

func (w *Watcher) putUpstream(known *registration, u quetzalroad.Upstream, offset int64) {
	u.Name = known.name
	u.Region = w.regions[u.DataCentre]
	w.announced.mu.Lock()
	defer w.announced.mu.Unlock()
	u.Draining = known.draining || w.announced.contains(known.name)
	previous, existed := w.store.Upstream(known.name)
	u.Revision = previous.Revision
	if existed && previous == u {
		return
	}
	u.Revision = quetzalroad.Revision(w.changes.Add(1))
	w.store.Put(quetzalroad.ObjectUpstream, string(known.name), quetzalroad.Object{Upstream: &u})
	known.inDirectory = true
	w.logger.Info("upstream changed", "upstream", string(u.Name), "service", string(u.Service), "address", u.Address.String(),
		"data-centre", string(u.DataCentre), "draining", u.Draining, "offset", offset)
}

// handleMissing removes an upstream without registration: at once if the log has been
// available, otherwise after a grace period in which the upstream can register again.
// offset is that of the deletion, NoOffset if it was not read, and only logged.
func (w *Watcher) handleMissing(key string, offset int64) {
	known := w.registrations.byKey[key]
	if known == nil || !known.inDirectory {
		return
	}
	if !w.registrations.lastOutage.IsZero() && w.registrations.lastOutage.Age() < w.expiryGrace {
		if known.missingSince.IsZero() {
			known.missingSince = boottimer.Now()
			w.logger.Info("entry lapsed, held", "upstream", string(known.name), "offset", offset, "for", w.expiryGrace)
		}
		return
	}
	known.expired = false
	w.removeUpstream(known, "registration deleted")
}

func (w *Watcher) removeUpstream(known *registration, reason string) {
	if !known.inDirectory {
		return
	}
	known.inDirectory = false
	known.removedIn = w.registrations.epoch
	known.missingSince = boottimer.Instant{}
	w.announced.mu.Lock()
	w.store.Put(quetzalroad.ObjectUpstream, string(known.name), quetzalroad.Object{})
	w.announced.mu.Unlock()
	w.logger.Info("upstream gone", "upstream", string(known.name), "reason", reason, "sequence", known.sequence)
}

// removeMissing removes upstreams whose missing registrations were not written again
// within the grace period after a log outage. It returns the rest of that period if
// there are such upstreams, else zero.
func (w *Watcher) removeMissing() time.Duration {
	registrations := &w.registrations
	rest := w.expiryGrace - registrations.lastOutage.Age()
	for _, known := range registrations.byKey {
		switch {
		case known.missingSince.IsZero():
		case rest > 0:
			return rest
		default:
			known.expired = true
			w.removeUpstream(known, "not written again")
		}
	}
	return 0
}
