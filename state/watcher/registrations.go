package watcher

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// registration is what is known under one key.
type registration struct {
	name quetzalroad.UpstreamName
	// startedAt and sequence are those of the last record taken.
	startedAt time.Time
	sequence  int64
	// draining tells that this life announced its end; it stays set.
	draining bool
	// inDirectory tells that the upstream stands in the directory.
	inDirectory bool
	// expiredAt is when the entry vanished while the log was away; zero where it
	// did not.
	expiredAt boottimer.Instant
}

// registrationTable holds what upstreams wrote. The zero value is empty. All fields but
// full belong to the goroutine that follows the entries.
type registrationTable struct {
	// byKey keeps the keys of upstreams that are gone too, so that a record
	// that arrives late is known as old.
	byKey map[string]*registration
	// lastOutage is when the log was last seen away.
	lastOutage boottimer.Instant
	// loaded tells that all entries were read once.
	loaded atomic.Bool
}

// markOutage notes that the log is or just was away.
func (t *registrationTable) markOutage() {
	t.lastOutage = boottimer.Now()
}

// applyRegistrations takes records of upstreams.
func (w *Watcher) applyRegistrations(records []quetzalroad.KeyedRecord, complete bool) {
	registrations := &w.registrations
	if registrations.byKey == nil {
		registrations.byKey = make(map[string]*registration)
	}
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = r.Value != nil
		if r.Value == nil {
			w.handleMissing(r.Key, int64(r.Offset))
			continue
		}
		w.applyRegistration(r)
	}
	if !complete {
		return
	}
	for key := range registrations.byKey {
		if !present[key] {
			w.handleMissing(key, int64(quetzalroad.NoOffset))
		}
	}
	registrations.loaded.Store(true)
}

// applyRegistration takes one entry.
func (w *Watcher) applyRegistration(r quetzalroad.KeyedRecord) {
	decoded, err := w.codec.DecodeRegistration(r)
	if err != nil {
		w.logger.Warn("entry unreadable, it names no upstream", "key", r.Key, "offset", int64(r.Offset), "error", err)
		return
	}
	known := w.registrations.byKey[r.Key]
	if known == nil {
		known = new(registration)
		w.registrations.byKey[r.Key] = known
	}
	if decoded.StartedAt.Before(known.startedAt) || (decoded.StartedAt.Equal(known.startedAt) && known.name != "" && decoded.Sequence < known.sequence) {
		w.logger.Info("older entry dropped", "upstream", string(known.name), "offset", int64(r.Offset), "sequence", decoded.Sequence, "known", known.sequence)
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
	known.expiredAt = boottimer.Instant{}
	known.draining = known.draining || decoded.Upstream.Draining
	w.putUpstream(known, decoded.Upstream, int64(r.Offset))
}

// incarnationName names one life of an upstream, so that nothing known of an earlier
// life is believed of a later one.
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

// handleMissing takes an entry away: at once where the log was there all the while,
// otherwise after a time in which its upstream can write it again.
func (w *Watcher) handleMissing(key string, offset int64) {
	known := w.registrations.byKey[key]
	if known == nil || !known.inDirectory {
		return
	}
	if !w.registrations.lastOutage.IsZero() && w.registrations.lastOutage.Age() < w.expiryGrace {
		if known.expiredAt.IsZero() {
			known.expiredAt = boottimer.Now()
			w.logger.Info("entry lapsed, held", "upstream", string(known.name), "offset", offset, "for", w.expiryGrace)
		}
		return
	}
	w.removeUpstream(known, "entry gone")
}

func (w *Watcher) removeUpstream(known *registration, reason string) {
	if !known.inDirectory {
		return
	}
	known.inDirectory = false
	known.expiredAt = boottimer.Instant{}
	w.store.Put(quetzalroad.ObjectUpstream, string(known.name), quetzalroad.Object{})
	w.logger.Info("upstream gone", "upstream", string(known.name), "reason", reason, "sequence", known.sequence)
}

// removeExpired takes away held entries that were not written again in time after
// the log's return.
func (w *Watcher) removeExpired() {
	registrations := &w.registrations
	if registrations.lastOutage.Age() < w.expiryGrace {
		return
	}
	for _, known := range registrations.byKey {
		if !known.expiredAt.IsZero() {
			w.removeUpstream(known, "not written again")
		}
	}
}
