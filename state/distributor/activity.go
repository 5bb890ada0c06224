package distributor

import (
	"slices"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// usageSharing tracks what this node's reader has of the requests that this node counted. The zero value is ready
// for use.
type usageSharing struct {
	mu sync.Mutex
	// reader is the node that confirmed, and confirmed what it has by window. Both are guarded by mu.
	reader    quetzalroad.NodeName
	confirmed map[quetzalroad.UsageWindow][]quetzalroad.TeamUsage
}

// confirm records that a reader has received counts.
func (u *usageSharing) confirm(reader quetzalroad.NodeName, usage []quetzalroad.NodeUsage) {
	if len(usage) == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reader != reader {
		u.reader, u.confirmed = reader, make(map[quetzalroad.UsageWindow][]quetzalroad.TeamUsage)
	}
	for _, n := range usage {
		u.confirmed[n.Window] = n.Teams
	}
}

// unconfirmed returns the counts that a reader isn't known to have. Another reader gets all of them, as the
// one before may have failed before it published them.
func (u *usageSharing) unconfirmed(reader quetzalroad.NodeName, usage []quetzalroad.NodeUsage) []quetzalroad.NodeUsage {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reader != reader {
		return usage
	}
	for window := range u.confirmed {
		if !slices.ContainsFunc(usage, func(n quetzalroad.NodeUsage) bool { return n.Window == window }) {
			delete(u.confirmed, window)
		}
	}
	return slices.DeleteFunc(usage, func(n quetzalroad.NodeUsage) bool { return slices.Equal(n.Teams, u.confirmed[n.Window]) })
}

// attachActivity adds this node's counts and demand to observations for its reader.
func (d *Distributor) attachActivity(o *quetzalroad.Observations, reader quetzalroad.NodeName, now time.Time) {
	if d.node.UsageMeter != nil {
		o.Usage = d.usage.unconfirmed(reader, d.node.UsageMeter.LocalUsage(now))
	}
	if d.node.Activity != nil {
		o.Demand = d.node.Activity.LocalDemand(now)
	}
}

// takeActivity records the counts and the demand of a node that reads from this one, and removes them from its
// observations.
func (d *Distributor) takeActivity(from quetzalroad.NodeName, now time.Time, o *quetzalroad.Observations) {
	if d.node.UsageMeter != nil {
		d.node.UsageMeter.UpdatePeerUsage(now, o.Usage)
	}
	if d.node.Activity != nil {
		d.node.Activity.UpdatePeerActivity(from, now, o.Demand)
	}
	o.Usage, o.Demand = nil, nil
}

// HasReader implements quetzalroad.LogSharing.
func (d *Distributor) HasReader() bool {
	return d.ownRole().hasReader()
}
