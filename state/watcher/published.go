package watcher

import (
	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// publishedNames holds the names in the applied state. It is used only by the
// goroutine that follows the state.
type publishedNames struct {
	services map[quetzalroad.ServiceName]bool
	teams    map[quetzalroad.TeamName]bool
	// epoch is the latest one in which the applied state was read, and digest the hash of its record.
	epoch  quetzalroad.Epoch
	digest uint64
}

// applyState applies a published state unless it is older than the current one, or the same.
func (w *Watcher) applyState(r quetzalroad.KeyedRecord, epoch quetzalroad.Epoch) {
	state, ok, err := w.codec.DecodeState(r)
	if err != nil {
		w.logger.Error("can't decode the published state; keeping the current one", "key", r.Key, "offset", int64(r.Offset), "version", w.version.Load(), "error", err)
		return
	}
	if !ok {
		return
	}
	digest := xxhash.Sum64(r.Value)
	switch current := w.version.Load(); {
	case state.Version < current:
		w.logger.Warn("ignoring older published state", "offset", int64(r.Offset), "epoch", uint64(epoch), "seen", state.Version, "version", current)
		return
	case state.Version == current && (epoch <= w.published.epoch || digest == w.published.digest):
		w.published.epoch = max(epoch, w.published.epoch)
		return
	}
	// A version that was lost with the log's latest records may be given out again with other content.
	w.published.epoch, w.published.digest = epoch, digest
	w.replaceServices(state.Services)
	w.replaceTeams(state.Teams)
	w.routes.limits.Store(&state.Limits)
	w.requireKeys(state)
	w.routes.ranks.Store(newTierRanks(state))
	w.routes.replace(state.Routes)
	w.releaseClasses(state.Routes)
	w.store.SetAppliedOffset(quetzalroad.Offset(w.changes.Add(1)))
	w.version.Store(state.Version)
	w.logger.Info("state in force", "version", state.Version, "epoch", uint64(epoch), "offset", int64(r.Offset),
		"routes", len(state.Routes), "services", len(state.Services), "teams", len(state.Teams))
}

// releaseClasses releases the metrics of the classes that no route has any more.
func (w *Watcher) releaseClasses(routes []quetzalroad.Route) {
	if w.recorder == nil {
		return
	}
	// Requests that are refused before they have a route have no class.
	classes := map[quetzalroad.Class]bool{"": true}
	for i := range routes {
		classes[routes[i].Profile.Class] = true
	}
	w.recorder.RetainClasses(classes)
}

// requireKeys stores whether callers need a key. A state that says nothing of keys, after one that had teams,
// opens no route: anonymous callers are allowed route by route.
func (w *Watcher) requireKeys(state *quetzalroad.PublishedState) {
	if state.Keyless && w.routes.RequiresKey() {
		w.logger.Warn("the published state no longer has teams; callers still need a key", "version", state.Version)
		return
	}
	w.routes.requiresKey.Store(!state.Keyless)
}

func (w *Watcher) replaceServices(services []quetzalroad.Service) {
	present := make(map[quetzalroad.ServiceName]bool, len(services))
	for i := range services {
		present[services[i].Name] = true
		w.store.Put(quetzalroad.ObjectService, string(services[i].Name), quetzalroad.Object{Service: &services[i]})
	}
	for name := range w.published.services {
		if !present[name] {
			w.store.Put(quetzalroad.ObjectService, string(name), quetzalroad.Object{})
		}
	}
	w.published.services = present
}

// replaceTeams stores teams that gain a key before those that lose it and before it deletes absent
// teams, so that a key that moves between teams always names one of them.
func (w *Watcher) replaceTeams(teams []quetzalroad.Team) {
	present := make(map[quetzalroad.TeamName]bool, len(teams))
	var others []*quetzalroad.Team
	for i := range teams {
		present[teams[i].Name] = true
		if w.gainsKey(&teams[i]) {
			w.putTeam(&teams[i])
		} else {
			others = append(others, &teams[i])
		}
	}
	for _, t := range others {
		w.putTeam(t)
	}
	for name := range w.published.teams {
		if !present[name] {
			w.store.Put(quetzalroad.ObjectTeam, string(name), quetzalroad.Object{})
		}
	}
	w.published.teams = present
}

func (w *Watcher) putTeam(t *quetzalroad.Team) {
	w.store.Put(quetzalroad.ObjectTeam, string(t.Name), quetzalroad.Object{Team: t})
}

// gainsKey reports whether one of the team's keys names another team now.
func (w *Watcher) gainsKey(t *quetzalroad.Team) bool {
	for _, h := range t.KeyHashes {
		if current, ok := w.store.TeamByKey(h); ok && current.Name != t.Name {
			return true
		}
	}
	return false
}
