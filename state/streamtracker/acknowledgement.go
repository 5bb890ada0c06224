package streamtracker

import (
	"slices"

	"github.com/quetzalroad/quetzalroad"
)

// isAcknowledged reports whether all nodes have acknowledged an announcement.
func (t *Tracker) isAcknowledged(announced recordedVersion) bool {
	nodes := []quetzalroad.NodeName{t.node.Name}
	if t.node.Fleet != nil {
		nodes = t.node.Fleet.Nodes()
	}
	return !slices.ContainsFunc(nodes, func(n quetzalroad.NodeName) bool { return !t.records.acknowledges(n, announced) })
}

// acknowledgements returns the announcements that this process acknowledges with its next record. A process
// that has just started leaves time for callers to resume the streams of the one before, which may not have
// recorded them.
func (t *Tracker) acknowledgements() map[quetzalroad.StreamOrigin]quetzalroad.Offset {
	acknowledged := make(map[quetzalroad.StreamOrigin]quetzalroad.Offset)
	if t.startedAt.Age() < t.openTimeout {
		return acknowledged
	}
	for _, version := range t.records.inUse() {
		if version.Announced && t.mustRecord(version.Origin.Service) {
			acknowledged[version.Origin] = version.offset
		}
	}
	return acknowledged
}

// requestAcknowledgement has this node's record written if announcements are to be acknowledged. There is no
// write if the last one acknowledged them all.
func (c *versionChecker) requestAcknowledgement() {
	if len(c.tracker.acknowledgements()) > 0 {
		signal(c.tracker.wanted)
	}
}

// containsAll reports whether acknowledgements contain others.
func containsAll(all, others map[quetzalroad.StreamOrigin]quetzalroad.Offset) bool {
	for o, offset := range others {
		if known, ok := all[o]; !ok || known != offset {
			return false
		}
	}
	return true
}
