package watcher

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// entry is what is known under one key.
type entry struct {
	name quetzalroad.UpstreamName
	// born and sequence are those of the last record taken.
	born     time.Time
	sequence int64
	// leaving tells that this life announced its end; it stays set.
	leaving bool
	// here tells that the upstream stands in the directory.
	here bool
	// lapsed is when the entry vanished while the log was away; zero where it
	// did not.
	lapsed boottimer.Instant
}

// entries holds what upstreams wrote. The zero value is empty. All fields but
// full belong to the goroutine that follows the entries.
type entries struct {
	// byKey keeps the keys of upstreams that are gone too, so that a record
	// that arrives late is known as old.
	byKey map[string]*entry
	// trouble is when the log was last seen away.
	trouble boottimer.Instant
	// full tells that all entries were read once.
	full atomic.Bool
}

// disturbed notes that the log is or just was away.
func (e *entries) disturbed() {
	e.trouble = boottimer.Now()
}

// applyEntries takes records of upstreams.
func (w *Watcher) applyEntries(records []quetzalroad.KeyedRecord, whole bool) {
	e := &w.entries
	if e.byKey == nil {
		e.byKey = make(map[string]*entry)
	}
	named := make(map[string]bool, len(records))
	for _, r := range records {
		named[r.Key] = r.Value != nil
		if r.Value == nil {
			w.vanish(r.Key, int64(r.Offset))
			continue
		}
		w.appear(r)
	}
	if !whole {
		return
	}
	for key := range e.byKey {
		if !named[key] {
			w.vanish(key, int64(quetzalroad.NoOffset))
		}
	}
	e.full.Store(true)
}

// appear takes one entry.
func (w *Watcher) appear(r quetzalroad.KeyedRecord) {
	said, err := w.codec.DecodeRegistration(r)
	if err != nil {
		w.logger.Warn("entry unreadable, it names no upstream", "key", r.Key, "offset", int64(r.Offset), "error", err)
		return
	}
	known := w.entries.byKey[r.Key]
	if known == nil {
		known = new(entry)
		w.entries.byKey[r.Key] = known
	}
	if said.StartedAt.Before(known.born) || (said.StartedAt.Equal(known.born) && known.name != "" && said.Sequence < known.sequence) {
		w.logger.Info("older entry dropped", "upstream", string(known.name), "offset", int64(r.Offset), "sequence", said.Sequence, "known", known.sequence)
		return
	}
	name := nameOf(r.Key, said.StartedAt)
	if known.name != name {
		w.remove(known, "reborn")
		*known = entry{name: name}
	} else if !known.here && said.Sequence == known.sequence {
		return
	}
	known.born, known.sequence = said.StartedAt, said.Sequence
	known.lapsed = boottimer.Instant{}
	known.leaving = known.leaving || said.Upstream.Draining
	w.put(known, said.Upstream, int64(r.Offset))
}

// nameOf names one life of an upstream, so that nothing known of an earlier
// life is believed of a later one.
func nameOf(key string, born time.Time) quetzalroad.UpstreamName {
	if born.IsZero() {
		return quetzalroad.UpstreamName(key)
	}
	return quetzalroad.UpstreamName(key + "@" + strconv.FormatInt(born.UnixMilli(), 36))
}

func (w *Watcher) put(known *entry, u quetzalroad.Upstream, offset int64) {
	u.Name = known.name
	u.Region = w.regions[u.DataCentre]
	u.Draining = known.leaving
	old, had := w.store.Upstream(known.name)
	u.Revision = old.Revision
	if had && old == u {
		return
	}
	u.Revision = quetzalroad.RevisionAt(quetzalroad.Offset(offset))
	w.store.Put(quetzalroad.ObjectUpstream, string(known.name), quetzalroad.Object{Upstream: &u})
	known.here = true
	w.logger.Info("upstream changed", "upstream", string(u.Name), "service", string(u.Service), "address", u.Address.String(),
		"data-centre", string(u.DataCentre), "draining", u.Draining, "offset", offset)
}

// vanish takes an entry away: at once where the log was there all the while,
// otherwise after a time in which its upstream can write it again.
func (w *Watcher) vanish(key string, offset int64) {
	known := w.entries.byKey[key]
	if known == nil || !known.here {
		return
	}
	if !w.entries.trouble.IsZero() && w.entries.trouble.Age() < w.lapseGrace {
		if known.lapsed.IsZero() {
			known.lapsed = boottimer.Now()
			w.logger.Info("entry lapsed, held", "upstream", string(known.name), "offset", offset, "for", w.lapseGrace)
		}
		return
	}
	w.remove(known, "entry gone")
}

func (w *Watcher) remove(known *entry, reason string) {
	if !known.here {
		return
	}
	known.here = false
	known.lapsed = boottimer.Instant{}
	w.store.Put(quetzalroad.ObjectUpstream, string(known.name), quetzalroad.Object{})
	w.logger.Info("upstream gone", "upstream", string(known.name), "reason", reason, "sequence", known.sequence)
}

// endLapsed takes away held entries that were not written again in time after
// the log's return.
func (w *Watcher) endLapsed() {
	e := &w.entries
	if e.trouble.Age() < w.lapseGrace {
		return
	}
	for _, known := range e.byKey {
		if !known.lapsed.IsZero() {
			w.remove(known, "not written again")
		}
	}
}
