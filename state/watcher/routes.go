package watcher

import (
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
)

// routeShardCount is the number of shards of the route table.
const routeShardCount = 16

// routeShard holds the routes of the hosts that hash to it.
type routeShard struct {
	mu sync.RWMutex
	// hosts is guarded by mu and allocated on first use. The routes of a host are sorted by prefix
	// length, longest first. A stored slice is never modified.
	hosts map[string][]quetzalroad.Route
}

// routeTable looks up routes by host and path prefix. The zero value is empty.
type routeTable struct {
	shards      [routeShardCount]routeShard
	limits      atomic.Pointer[quetzalroad.CallerLimits]
	ranks       atomic.Pointer[tierRanks]
	requiresKey atomic.Bool
}

func (t *routeTable) shard(host string) *routeShard {
	return &t.shards[xxhash.Sum64String(host)%routeShardCount]
}

// canonicalHost returns a host in lower case and without its port, for comparison.
func canonicalHost(host string) string {
	hostname, _, hasPort := strings.Cut(host, ":")
	if hasPort {
		host = hostname
	}
	return strings.ToLower(host)
}

// Match implements quetzalroad.RouteTable.
func (t *routeTable) Match(host, path string) (quetzalroad.Route, bool) {
	host = canonicalHost(host)
	sh := t.shard(host)
	sh.mu.RLock()
	routes := sh.hosts[host]
	sh.mu.RUnlock()
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return quetzalroad.Route{}, false
}

// CallerLimits implements quetzalroad.RouteTable.
func (t *routeTable) CallerLimits() quetzalroad.CallerLimits {
	if l := t.limits.Load(); l != nil {
		return *l
	}
	return quetzalroad.CallerLimits{}
}

// RequiresKey implements quetzalroad.RouteTable.
func (t *routeTable) RequiresKey() bool {
	return t.requiresKey.Load()
}

// replace replaces all routes. Hosts that remain are never without routes.
func (t *routeTable) replace(routes []quetzalroad.Route) {
	byHost := make(map[string][]quetzalroad.Route)
	for _, r := range routes {
		host := canonicalHost(r.Host)
		byHost[host] = append(byHost[host], r)
	}
	for host, list := range byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
		sh := t.shard(host)
		sh.mu.Lock()
		if sh.hosts == nil {
			sh.hosts = make(map[string][]quetzalroad.Route)
		}
		sh.hosts[host] = list
		sh.mu.Unlock()
	}
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for host := range sh.hosts {
			if byHost[host] == nil {
				delete(sh.hosts, host)
			}
		}
		sh.mu.Unlock()
	}
}
