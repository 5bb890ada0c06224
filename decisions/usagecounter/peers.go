package usagecounter

import (
	"sync"

	"github.com/quetzalroad/quetzalroad"
)

// peerCounts holds what other nodes counted. It is updated twice a second by each node that reports to this one,
// so that one lock is enough. The zero value is empty.
type peerCounts struct {
	mu sync.Mutex
	// entries is guarded by mu and allocated on first use. An entry's list of teams is never modified.
	entries map[peerWindow]quetzalroad.NodeUsage
}

type peerWindow struct {
	node            quetzalroad.NodeName
	startedAtMicros int64
	window          quetzalroad.UsageWindow
}

// update replaces the entries of other nodes, unless they are outdated: a node's counts only grow.
func (p *peerCounts) update(oldest quetzalroad.UsageWindow, usage []quetzalroad.NodeUsage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries == nil {
		p.entries = make(map[peerWindow]quetzalroad.NodeUsage)
	}
	p.dropBefore(oldest)
	for _, u := range usage {
		key := peerWindow{node: u.Node, startedAtMicros: u.StartedAt.UnixMicro(), window: u.Window}
		known, isKnown := p.entries[key]
		if u.Window < oldest || total(u) < total(known) || (!isKnown && len(p.entries) >= maxPeerEntries) {
			continue
		}
		p.entries[key] = u
	}
}

func total(u quetzalroad.NodeUsage) int {
	requests := 0
	for _, t := range u.Teams {
		requests += t.Requests
	}
	return requests
}

// dropBefore drops the windows before one. The caller holds mu.
func (p *peerCounts) dropBefore(oldest quetzalroad.UsageWindow) {
	for key := range p.entries {
		if key.window < oldest {
			delete(p.entries, key)
		}
	}
}

func (p *peerCounts) list(oldest quetzalroad.UsageWindow) []quetzalroad.NodeUsage {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropBefore(oldest)
	usage := make([]quetzalroad.NodeUsage, 0, len(p.entries))
	for _, u := range p.entries {
		usage = append(usage, u)
	}
	return usage
}
