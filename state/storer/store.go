// Package storer holds the published state in shards, for concurrent readers and
// the single writer that applies the records of a log.
package storer

import (
	"cmp"
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
)

// shardCount is the number of shards of the store.
const shardCount = 16

// shard holds the objects whose keys hash to it.
type shard struct {
	// Padding keeps the locks of different shards on separate cache lines.
	_  cpu.CacheLinePad
	mu sync.RWMutex
	// The maps are guarded by mu and allocated on first use. An object's Revision
	// equals the revision of the record that wrote it.
	profiles  map[quetzalroad.ProfileName]quetzalroad.Profile
	teams     map[quetzalroad.TeamName]quetzalroad.Team
	services  map[quetzalroad.ServiceName]quetzalroad.Service
	upstreams map[quetzalroad.UpstreamName]quetzalroad.Upstream
	// teamsByKey and servicesByModel are indexes by a team's keys and a service's models.
	teamsByKey      map[quetzalroad.KeyHash]quetzalroad.TeamName
	servicesByModel map[quetzalroad.ModelName]quetzalroad.ServiceName
	// upstreamsByRevision and teamsByRevision are indexes of the objects by their
	// current revision.
	upstreamsByRevision map[quetzalroad.Revision]quetzalroad.UpstreamName
	teamsByRevision     map[quetzalroad.Revision]quetzalroad.TeamName
	// upstreamsByService holds the upstreams of a service in order of name. A list
	// is never modified once it is stored.
	upstreamsByService map[quetzalroad.ServiceName][]quetzalroad.Upstream
}

// Store holds the published state in shards. It supports one writer and many
// readers. The zero value is empty.
type Store struct {
	shards [shardCount]shard
	// appliedOffset is one more than the offset, so that zero means none.
	appliedOffset atomic.Int64
}

func (s *Store) shard(key string) *shard {
	return &s.shards[xxhash.Sum64String(key)%shardCount]
}

func (s *Store) keyShard(h quetzalroad.KeyHash) *shard {
	return &s.shards[h[0]%shardCount]
}

// AppliedOffset implements quetzalroad.Directory.
func (s *Store) AppliedOffset() quetzalroad.Offset {
	return quetzalroad.Offset(s.appliedOffset.Load() - 1)
}

// SetAppliedOffset sets the offset of the last record applied.
func (s *Store) SetAppliedOffset(o quetzalroad.Offset) {
	s.appliedOffset.Store(int64(o) + 1)
}

// TeamByKey implements quetzalroad.Directory.
func (s *Store) TeamByKey(hash quetzalroad.KeyHash) (quetzalroad.Team, bool) {
	for name, ok := s.teamName(hash); ok; {
		if t, found := s.Team(name); found {
			return t, true
		}
		// The team was deleted after its name was read. The key may have moved to another one.
		deleted := name
		if name, ok = s.teamName(hash); name == deleted {
			break
		}
	}
	return quetzalroad.Team{}, false
}

func (s *Store) teamName(hash quetzalroad.KeyHash) (quetzalroad.TeamName, bool) {
	sh := s.keyShard(hash)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	name, ok := sh.teamsByKey[hash]
	return name, ok
}

// Team implements quetzalroad.Directory.
func (s *Store) Team(name quetzalroad.TeamName) (quetzalroad.Team, bool) {
	sh := s.shard(string(name))
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	t, ok := sh.teams[name]
	return t, ok
}

// Profile implements quetzalroad.Directory.
func (s *Store) Profile(name quetzalroad.ProfileName) (quetzalroad.Profile, bool) {
	sh := s.shard(string(name))
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	p, ok := sh.profiles[name]
	return p, ok
}

// Service implements quetzalroad.Directory.
func (s *Store) Service(name quetzalroad.ServiceName) (quetzalroad.Service, bool) {
	sh := s.shard(string(name))
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	service, ok := sh.services[name]
	return service, ok
}

// ServiceForModel implements quetzalroad.Directory.
func (s *Store) ServiceForModel(name quetzalroad.ModelName) (quetzalroad.Service, bool) {
	sh := s.shard(string(name))
	sh.mu.RLock()
	service, ok := sh.servicesByModel[name]
	sh.mu.RUnlock()
	if !ok {
		return quetzalroad.Service{}, false
	}
	return s.Service(service)
}

// Upstream implements quetzalroad.Directory.
func (s *Store) Upstream(name quetzalroad.UpstreamName) (quetzalroad.Upstream, bool) {
	sh := s.shard(string(name))
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	u, ok := sh.upstreams[name]
	return u, ok
}

func (s *Store) revisionShard(r quetzalroad.Revision) *shard {
	return &s.shards[uint64(r)%shardCount]
}

// UpstreamByRevision implements quetzalroad.Directory.
func (s *Store) UpstreamByRevision(r quetzalroad.Revision) (quetzalroad.UpstreamName, bool) {
	sh := s.revisionShard(r)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	name, ok := sh.upstreamsByRevision[r]
	return name, ok
}

// TeamByRevision implements quetzalroad.Directory.
func (s *Store) TeamByRevision(r quetzalroad.Revision) (quetzalroad.TeamName, bool) {
	sh := s.revisionShard(r)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	name, ok := sh.teamsByRevision[r]
	return name, ok
}

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

// UpstreamsOf implements quetzalroad.Directory.
func (s *Store) UpstreamsOf(service quetzalroad.ServiceName) []quetzalroad.Upstream {
	sh := s.shard(string(service))
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return sh.upstreamsByService[service]
}

// Teams implements quetzalroad.Directory.
func (s *Store) Teams() []quetzalroad.Team {
	var all []quetzalroad.Team
	s.eachShard(func(sh *shard) {
		for _, t := range sh.teams {
			all = append(all, t)
		}
	})
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Profiles implements quetzalroad.Directory.
func (s *Store) Profiles() []quetzalroad.Profile {
	var all []quetzalroad.Profile
	s.eachShard(func(sh *shard) {
		for _, p := range sh.profiles {
			all = append(all, p)
		}
	})
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Services implements quetzalroad.Directory.
func (s *Store) Services() []quetzalroad.Service {
	var all []quetzalroad.Service
	s.eachShard(func(sh *shard) {
		for _, service := range sh.services {
			all = append(all, service)
		}
	})
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Upstreams implements quetzalroad.Directory.
func (s *Store) Upstreams() []quetzalroad.Upstream {
	var all []quetzalroad.Upstream
	s.eachShard(func(sh *shard) {
		for _, u := range sh.upstreams {
			all = append(all, u)
		}
	})
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

func (s *Store) eachShard(f func(sh *shard)) {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.RLock()
		f(sh)
		sh.mu.RUnlock()
	}
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

// RevisionOf returns the revision of an object, or zero if there is none.
func (s *Store) RevisionOf(kind quetzalroad.ObjectKind, name string) quetzalroad.Revision {
	switch kind {
	case quetzalroad.ObjectProfile:
		p, _ := s.Profile(quetzalroad.ProfileName(name))
		return p.Revision
	case quetzalroad.ObjectTeam:
		t, _ := s.Team(quetzalroad.TeamName(name))
		return t.Revision
	case quetzalroad.ObjectService:
		service, _ := s.Service(quetzalroad.ServiceName(name))
		return service.Revision
	case quetzalroad.ObjectUpstream:
		u, _ := s.Upstream(quetzalroad.UpstreamName(name))
		return u.Revision
	}
	return 0
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
