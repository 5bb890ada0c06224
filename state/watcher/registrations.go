package watcher

import (
	"strconv"
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
		w.applyRegistration(r)
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

// applyRegistration applies a registration unless it is older than the known one of its key, or
// repeats the last one of an upstream that was removed.
func (w *Watcher) applyRegistration(r quetzalroad.KeyedRecord) {
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
	if decoded.StartedAt.Before(known.startedAt) || (decoded.StartedAt.Equal(known.startedAt) && known.name != "" && decoded.Sequence < known.sequence) {
		w.logger.Info("ignoring older upstream registration", "upstream", string(known.name), "offset", int64(r.Offset), "sequence", decoded.Sequence, "known", known.sequence)
		return
	}
	name := incarnationName(r.Key, decoded.StartedAt)
	if known.name != name {
		w.removeUpstream(known, "reborn")
		*known = registration{name: name}
	} else if !known.inDirectory && decoded.Sequence == known.sequence {
		return
	}
	known.startedAt, known.sequence = decoded.StartedAt, decoded.Sequence
	known.missingSince = boottimer.Instant{}
	known.draining = known.draining || decoded.Upstream.Draining
	w.putUpstream(known, decoded.Upstream, int64(r.Offset))
}

// incarnationName returns a name that is unique to one incarnation of an upstream,
// so that nothing known about an earlier one is applied to a later one.
func incarnationName(key string, startedAt time.Time) quetzalroad.UpstreamName {
	if startedAt.IsZero() {
		return quetzalroad.UpstreamName(key)
	}
	return quetzalroad.UpstreamName(key + "@" + strconv.FormatInt(startedAt.UnixMilli(), 36))
}

func (w *Watcher) putUpstream(known *registration, u quetzalroad.Upstream, offset int64) {
	u.Name = known.name
	u.Region = w.regions[u.DataCentre]
	u.Draining = known.draining
	previous, existed := w.store.Upstream(known.name)
	u.Revision = previous.Revision
	if existed && previous == u {
		return
	}
	u.Revision = quetzalroad.RevisionAt(quetzalroad.Offset(offset))
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
	w.removeUpstream(known, "registration deleted")
}

func (w *Watcher) removeUpstream(known *registration, reason string) {
	if !known.inDirectory {
		return
	}
	known.inDirectory = false
	known.missingSince = boottimer.Instant{}
	w.store.Put(quetzalroad.ObjectUpstream, string(known.name), quetzalroad.Object{})
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
			w.removeUpstream(known, "not written again")
		}
	}
	return 0
}
