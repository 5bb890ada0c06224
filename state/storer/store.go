// Package storer holds the published state in shards, for concurrent readers and
// the single writer that applies the records of a log.
package storer

import (
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
