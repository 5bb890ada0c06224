package watcher

import (
	"github.com/quetzalroad/quetzalroad"
)

// published holds the names in the state in force. It belongs to the
// goroutine that follows the state.
type published struct {
	services map[quetzalroad.ServiceName]bool
	teams    map[quetzalroad.TeamName]bool
}

// applyState puts a published state in force, unless it is older than the one
// that is.
func (w *Watcher) applyState(r quetzalroad.KeyedRecord) {
	state, ok, err := w.codec.DecodeState(r)
	if err != nil {
		w.logger.Error("published state unreadable, the one in force stays", "key", r.Key, "offset", int64(r.Offset), "version", w.version.Load(), "error", err)
		return
	}
	if !ok {
		return
	}
	if old := w.version.Load(); state.Version <= old {
		if state.Version < old {
			w.logger.Warn("older state dropped", "offset", int64(r.Offset), "seen", state.Version, "version", old)
		}
		return
	}
	w.putServices(state.Services)
	w.putTeams(state.Teams)
	w.routes.limits.Store(&state.Limits)
	w.routes.keyed.Store(len(state.Teams) > 0)
	w.routes.ranks.Store(rank(state))
	w.routes.replace(state.Routes)
	w.store.SetAppliedOffset(r.Offset)
	w.version.Store(state.Version)
	w.logger.Info("state in force", "version", state.Version, "offset", int64(r.Offset),
		"routes", len(state.Routes), "services", len(state.Services), "teams", len(state.Teams))
}

func (w *Watcher) putServices(services []quetzalroad.Service) {
	named := make(map[quetzalroad.ServiceName]bool, len(services))
	for i := range services {
		named[services[i].Name] = true
		w.store.Put(quetzalroad.ObjectService, string(services[i].Name), quetzalroad.Object{Service: &services[i]})
	}
	for name := range w.state.services {
		if !named[name] {
			w.store.Put(quetzalroad.ObjectService, string(name), quetzalroad.Object{})
		}
	}
	w.state.services = named
}

// putTeams takes away the teams that are gone first, so that a key that moves
// between teams is never without the new one.
func (w *Watcher) putTeams(teams []quetzalroad.Team) {
	named := make(map[quetzalroad.TeamName]bool, len(teams))
	for i := range teams {
		named[teams[i].Name] = true
	}
	for name := range w.state.teams {
		if !named[name] {
			w.store.Put(quetzalroad.ObjectTeam, string(name), quetzalroad.Object{})
		}
	}
	for i := range teams {
		w.store.Put(quetzalroad.ObjectTeam, string(teams[i].Name), quetzalroad.Object{Team: &teams[i]})
	}
	w.state.teams = named
}
