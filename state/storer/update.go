package storer

import (
	"cmp"
	"slices"

	"github.com/quetzalroad/quetzalroad"
)

// updateUpstreamRevision replaces an upstream's old revision in the index; a new
// revision of zero only removes the old one.
func (s *Store) updateUpstreamRevision(name quetzalroad.UpstreamName, oldRevision, newRevision quetzalroad.Revision) {
	oldShard := s.revisionShard(oldRevision)
	oldShard.mu.Lock()
	delete(oldShard.upstreamsByRevision, oldRevision)
	oldShard.mu.Unlock()
	if newRevision == 0 {
		return
	}
	sh := s.revisionShard(newRevision)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.upstreamsByRevision == nil {
		sh.upstreamsByRevision = make(map[quetzalroad.Revision]quetzalroad.UpstreamName)
	}
	sh.upstreamsByRevision[newRevision] = name
}

// updateTeamRevision replaces a team's old revision in the index; a new revision
// of zero only removes the old one.
func (s *Store) updateTeamRevision(name quetzalroad.TeamName, oldRevision, newRevision quetzalroad.Revision) {
	oldShard := s.revisionShard(oldRevision)
	oldShard.mu.Lock()
	delete(oldShard.teamsByRevision, oldRevision)
	oldShard.mu.Unlock()
	if newRevision == 0 {
		return
	}
	sh := s.revisionShard(newRevision)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.teamsByRevision == nil {
		sh.teamsByRevision = make(map[quetzalroad.Revision]quetzalroad.TeamName)
	}
	sh.teamsByRevision[newRevision] = name
}

// Clear empties the store before a snapshot is loaded.
func (s *Store) Clear() {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		sh.profiles, sh.teams, sh.services, sh.upstreams = nil, nil, nil, nil
		sh.teamsByKey, sh.servicesByModel, sh.upstreamsByService = nil, nil, nil
		sh.upstreamsByRevision, sh.teamsByRevision = nil, nil
		sh.mu.Unlock()
	}
}

// Put writes an object, or deletes the named one if the object is empty.
func (s *Store) Put(kind quetzalroad.ObjectKind, name string, o quetzalroad.Object) {
	switch kind {
	case quetzalroad.ObjectProfile:
		s.putProfile(quetzalroad.ProfileName(name), o.Profile)
	case quetzalroad.ObjectTeam:
		s.putTeam(quetzalroad.TeamName(name), o.Team)
	case quetzalroad.ObjectService:
		s.putService(quetzalroad.ServiceName(name), o.Service)
	case quetzalroad.ObjectUpstream:
		s.putUpstream(quetzalroad.UpstreamName(name), o.Upstream)
	}
}

func (s *Store) putProfile(name quetzalroad.ProfileName, p *quetzalroad.Profile) {
	sh := s.shard(string(name))
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if p == nil {
		delete(sh.profiles, name)
		return
	}
	if sh.profiles == nil {
		sh.profiles = make(map[quetzalroad.ProfileName]quetzalroad.Profile)
	}
	sh.profiles[name] = *p
}

func (s *Store) putTeam(name quetzalroad.TeamName, t *quetzalroad.Team) {
	old, _ := s.Team(name)
	sh := s.shard(string(name))
	sh.mu.Lock()
	if t == nil {
		delete(sh.teams, name)
	} else {
		if sh.teams == nil {
			sh.teams = make(map[quetzalroad.TeamName]quetzalroad.Team)
		}
		sh.teams[name] = *t
	}
	sh.mu.Unlock()
	if t == nil {
		s.updateTeamRevision(name, old.Revision, 0)
	} else {
		s.updateTeamRevision(name, old.Revision, t.Revision)
	}
	for _, h := range old.KeyHashes {
		if t == nil || !slices.Contains(t.KeyHashes, h) {
			s.unlinkKey(h, name)
		}
	}
	if t == nil {
		return
	}
	for _, h := range t.KeyHashes {
		s.linkKey(h, name)
	}
}

func (s *Store) linkKey(h quetzalroad.KeyHash, name quetzalroad.TeamName) {
	sh := s.keyShard(h)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.teamsByKey == nil {
		sh.teamsByKey = make(map[quetzalroad.KeyHash]quetzalroad.TeamName)
	}
	sh.teamsByKey[h] = name
}

func (s *Store) unlinkKey(h quetzalroad.KeyHash, name quetzalroad.TeamName) {
	sh := s.keyShard(h)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.teamsByKey[h] == name {
		delete(sh.teamsByKey, h)
	}
}

func (s *Store) putService(name quetzalroad.ServiceName, service *quetzalroad.Service) {
	old, _ := s.Service(name)
	sh := s.shard(string(name))
	sh.mu.Lock()
	if service == nil {
		delete(sh.services, name)
	} else {
		if sh.services == nil {
			sh.services = make(map[quetzalroad.ServiceName]quetzalroad.Service)
		}
		sh.services[name] = *service
	}
	sh.mu.Unlock()
	for _, m := range old.Models {
		if service == nil || !slices.Contains(service.Models, m) {
			s.unlinkModel(m, name)
		}
	}
	if service == nil {
		return
	}
	for _, m := range service.Models {
		s.linkModel(m, name)
	}
}

func (s *Store) linkModel(m quetzalroad.ModelName, name quetzalroad.ServiceName) {
	sh := s.shard(string(m))
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.servicesByModel == nil {
		sh.servicesByModel = make(map[quetzalroad.ModelName]quetzalroad.ServiceName)
	}
	sh.servicesByModel[m] = name
}

func (s *Store) unlinkModel(m quetzalroad.ModelName, name quetzalroad.ServiceName) {
	sh := s.shard(string(m))
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.servicesByModel[m] == name {
		delete(sh.servicesByModel, m)
	}
}

func (s *Store) putUpstream(name quetzalroad.UpstreamName, u *quetzalroad.Upstream) {
	old, existed := s.Upstream(name)
	sh := s.shard(string(name))
	sh.mu.Lock()
	if u == nil {
		delete(sh.upstreams, name)
	} else {
		if sh.upstreams == nil {
			sh.upstreams = make(map[quetzalroad.UpstreamName]quetzalroad.Upstream)
		}
		sh.upstreams[name] = *u
	}
	sh.mu.Unlock()
	if u == nil {
		s.updateUpstreamRevision(name, old.Revision, 0)
	} else {
		s.updateUpstreamRevision(name, old.Revision, u.Revision)
	}
	if existed && (u == nil || u.Service != old.Service) {
		s.updateServiceList(old.Service, name, nil)
	}
	if u != nil {
		s.updateServiceList(u.Service, name, u)
	}
}

// updateServiceList stores a new list of a service's upstreams in which the named
// one is replaced, added or, if u is nil, removed.
func (s *Store) updateServiceList(service quetzalroad.ServiceName, name quetzalroad.UpstreamName, u *quetzalroad.Upstream) {
	sh := s.shard(string(service))
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old := sh.upstreamsByService[service]
	index, found := slices.BinarySearchFunc(old, name, func(existing quetzalroad.Upstream, name quetzalroad.UpstreamName) int {
		return cmp.Compare(existing.Name, name)
	})
	rest := old[index:]
	if found {
		rest = rest[1:]
	}
	list := make([]quetzalroad.Upstream, 0, len(old)+1)
	list = append(list, old[:index]...)
	if u != nil {
		list = append(list, *u)
	}
	list = append(list, rest...)
	if sh.upstreamsByService == nil {
		sh.upstreamsByService = make(map[quetzalroad.ServiceName][]quetzalroad.Upstream)
	}
	sh.upstreamsByService[service] = list
}
