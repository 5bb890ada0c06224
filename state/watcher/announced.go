package watcher

import (
	"maps"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// announcedLifetime is how long an announced drain is remembered. By then the upstream has left.
const announcedLifetime = time.Hour

// announcedDrains holds the drains that upstreams announced in their responses. The zero value is empty.
type announcedDrains struct {
	// mu serialises changes of upstreams in the directory, and guards at.
	mu sync.Mutex
	// at is when each incarnation first announced its drain.
	at map[quetzalroad.UpstreamName]time.Time
}

// add records a drain and forgets those that are too old. The caller holds the lock.
func (a *announcedDrains) add(now time.Time, u quetzalroad.UpstreamName) {
	if a.at == nil {
		a.at = make(map[quetzalroad.UpstreamName]time.Time)
	}
	if _, known := a.at[u]; known {
		return
	}
	maps.DeleteFunc(a.at, func(_ quetzalroad.UpstreamName, at time.Time) bool { return now.Sub(at) > announcedLifetime })
	a.at[u] = now
}

// contains reports whether an incarnation announced its drain. The caller holds the lock.
func (a *announcedDrains) contains(u quetzalroad.UpstreamName) bool {
	_, ok := a.at[u]
	return ok
}

// MarkDraining implements quetzalroad.DrainMarker.
func (w *Watcher) MarkDraining(name quetzalroad.UpstreamName) {
	if u, ok := w.store.Upstream(name); ok && u.Draining {
		return
	}
	w.announced.mu.Lock()
	defer w.announced.mu.Unlock()
	w.announced.add(time.Now(), name)
	u, ok := w.store.Upstream(name)
	if !ok || u.Draining {
		return
	}
	u.Draining = true
	u.Revision = quetzalroad.Revision(w.changes.Add(1))
	w.store.Put(quetzalroad.ObjectUpstream, string(name), quetzalroad.Object{Upstream: &u})
	w.logger.Info("upstream announced its drain", "upstream", string(name), "service", string(u.Service))
}
