// Package usagecounter counts the requests of teams by windows of time.
package usagecounter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/walltimer"
)

const (
	// shardCount is the number of shards of the counts.
	shardCount = 16
	// maxPeerEntries bounds what is kept of other nodes: about as many windows of several hundred nodes.
	maxPeerEntries = 8192
)

// Counter implements quetzalroad.UsageMeter.
type Counter struct {
	node   quetzalroad.NodeName
	window time.Duration
	// retention is how long after its end a window's counts are kept.
	retention time.Duration
	startedAt time.Time
	timer     walltimer.Timer
	shards    [shardCount]shard
	peers     peerCounts
}

// shard holds the counts of the teams whose names hash to it.
type shard struct {
	mu sync.Mutex
	// counts is guarded by mu and allocated on first use.
	counts map[windowTeam]int
}

type windowTeam struct {
	window quetzalroad.UsageWindow
	team   quetzalroad.TeamName
}

// New returns a counter of a node for windows of a length, whose counts are kept for a while after their end.
// Incarnations are told apart by microseconds, the precision of the formats between nodes.
func New(n quetzalroad.NodeName, window, retention time.Duration) *Counter {
	return &Counter{node: n, window: window, retention: retention, startedAt: time.Now().Truncate(time.Microsecond).UTC()}
}

// WindowAt returns the window of a time.
func WindowAt(t time.Time, length time.Duration) quetzalroad.UsageWindow {
	return quetzalroad.UsageWindow(t.UnixNano() / int64(length))
}

// Time returns the time of day by which the counter assigns requests to windows.
func (c *Counter) Time(now time.Time) time.Time {
	return c.timer.Time(now)
}

// oldest returns the first window whose counts are still needed.
func (c *Counter) oldest(now time.Time) quetzalroad.UsageWindow {
	return WindowAt(c.timer.Time(now).Add(-c.retention), c.window)
}

// CountRun implements quetzalroad.UsageMeter.
func (c *Counter) CountRun(now time.Time, team quetzalroad.TeamName) {
	key := windowTeam{window: WindowAt(c.timer.Time(now), c.window), team: team}
	sh := &c.shards[xxhash.Sum64String(string(team))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.counts == nil {
		sh.counts = make(map[windowTeam]int)
	}
	if _, known := sh.counts[key]; !known {
		// Nothing else drops old windows on a node whose usage is not read.
		sh.dropBefore(c.oldest(now))
	}
	sh.counts[key]++
}

// dropBefore drops the windows before one. The caller holds mu.
func (s *shard) dropBefore(oldest quetzalroad.UsageWindow) {
	for key := range s.counts {
		if key.window < oldest {
			delete(s.counts, key)
		}
	}
}

// LocalUsage implements quetzalroad.UsageMeter.
func (c *Counter) LocalUsage(now time.Time) []quetzalroad.NodeUsage {
	oldest := c.oldest(now)
	windows := make(map[quetzalroad.UsageWindow][]quetzalroad.TeamUsage)
	for i := range c.shards {
		sh := &c.shards[i]
		sh.mu.Lock()
		sh.dropBefore(oldest)
		for key, requests := range sh.counts {
			windows[key.window] = append(windows[key.window], quetzalroad.TeamUsage{Team: key.team, Requests: requests})
		}
		sh.mu.Unlock()
	}
	var usage []quetzalroad.NodeUsage
	for window, teams := range windows {
		slices.SortFunc(teams, func(a, b quetzalroad.TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
		usage = append(usage, quetzalroad.NodeUsage{Node: c.node, StartedAt: c.startedAt, Window: window, Teams: teams})
	}
	sortUsage(usage)
	return usage
}

// UpdatePeerUsage implements quetzalroad.UsageMeter.
func (c *Counter) UpdatePeerUsage(now time.Time, usage []quetzalroad.NodeUsage) {
	if len(usage) > 0 {
		c.peers.update(c.oldest(now), usage)
	}
}

// KnownUsage implements quetzalroad.UsageMeter.
func (c *Counter) KnownUsage(now time.Time) []quetzalroad.NodeUsage {
	usage := append(c.LocalUsage(now), c.peers.list(c.oldest(now))...)
	sortUsage(usage)
	return usage
}

func sortUsage(usage []quetzalroad.NodeUsage) {
	slices.SortFunc(usage, func(a, b quetzalroad.NodeUsage) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), a.StartedAt.Compare(b.StartedAt), cmp.Compare(a.Window, b.Window))
	})
}
