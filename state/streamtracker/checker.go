package streamtracker

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

// checkVersions updates which versions are in use, until the node stops.
func (t *Tracker) checkVersions(ctx context.Context) error {
	c := versionChecker{tracker: t, sightings: make(versionSightings), records: make(map[string]recordSighting), announcements: make(map[quetzalroad.StreamOrigin]recordSighting)}
	for {
		if err := sleeper.Sleep(ctx, t.checkInterval); err != nil {
			return err
		}
		if err := c.check(ctx); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			t.writeFailures.Add(1)
			t.logger.Info("failed to update the software versions in use", "error", err)
			if err := sleeper.Sleep(ctx, t.callTimeout); err != nil {
				return err
			}
		}
	}
}

// versionChecker compares the registered versions with those in the records.
type versionChecker struct {
	tracker *Tracker
	// registered holds the registered versions as of the last call of observe.
	registered versionSets
	sightings  versionSightings
	// epoch is that of the log for which this node's streams were last to be recorded; valid only if hasEpoch is set.
	epoch    quetzalroad.Epoch
	hasEpoch bool
	// records holds when this node first saw the records of streams as they are, by key.
	records map[string]recordSighting
	// announcements holds when this node first saw announcements of versions as they are.
	announcements map[quetzalroad.StreamOrigin]recordSighting
}

// recordSighting is when a record was first seen at an offset.
type recordSighting struct {
	offset quetzalroad.Offset
	at     boottimer.Instant
}

func (c *versionChecker) check(ctx context.Context) error {
	t := c.tracker
	t.streams.forget(time.Now(), t.retention)
	at := boottimer.Now()
	mustReload := c.mustReload()
	if t.records.isLoaded() {
		// Streams go on beginning while a log that was restored doesn't respond.
		c.observe(at)
	}
	if mustReload {
		if err := c.refreshInTurn(ctx); err != nil {
			return err
		}
		c.observe(at)
	}
	c.recordAgain()
	if t.fleetIsUnknown() {
		// The nodes of a fleet that starts would all write at once.
		return nil
	}
	if err := c.advanceVersions(ctx, at); err != nil {
		return err
	}
	if err := c.retireVersions(ctx); err != nil {
		return err
	}
	return c.deleteStaleRecords(ctx)
}

// mustReload reports whether this node has not read the records yet, or the log was restored since.
func (c *versionChecker) mustReload() bool {
	t := c.tracker
	return !t.records.isLoaded() || (t.node.LogEpochs != nil && t.records.epoch() != t.node.LogEpochs.Epoch())
}

// recordAgain has this node's record written again if any read has found that the log was restored, as it may
// lack it now.
func (c *versionChecker) recordAgain() {
	t := c.tracker
	epoch, isFirst := t.records.epoch(), !c.hasEpoch
	if !isFirst && epoch == c.epoch {
		return
	}
	c.epoch, c.hasEpoch = epoch, true
	if isFirst {
		return
	}
	all, _ := t.streams.ofServices(func(quetzalroad.ServiceName) bool { return true })
	t.streams.setRecorded(all, false)
	signal(t.wanted)
}

// updateMixed stores the versions in use, and has the streams recorded of services that have several.
func (c *versionChecker) updateMixed() {
	t := c.tracker
	versions := c.registered.clone()
	t.records.addTo(versions)
	before := t.mixed.Swap(&versions)
	for service := range versions {
		if versions.isMixed(service) && !before.isMixed(service) {
			t.logger.Info("service has several software versions", "service", string(service), "versions", len(versions[service]))
			signal(t.urgent)
		}
	}
}

// maxSpread bounds the time over which the nodes of a large fleet spread writes that one of them has to make.
const maxSpread = 2 * time.Second

// refreshInTurn reads the records at a random moment, so that most nodes find what another one has written.
func (c *versionChecker) refreshInTurn(ctx context.Context) error {
	t := c.tracker
	spread := min(maxSpread, time.Duration(t.fleetSize())*t.nodeInterval)
	if err := sleeper.Sleep(ctx, rand.N(spread+1)); err != nil {
		return err
	}
	return t.records.refresh(ctx)
}

// retireVersions deletes the records of versions of which no upstream has been registered for the retention.
func (c *versionChecker) retireVersions(ctx context.Context) error {
	t := c.tracker
	for _, version := range t.records.inUse() {
		o := version.Origin
		if !c.sightings.hasLeft(o, t.retention) {
			continue
		}
		if err := c.refreshInTurn(ctx); err != nil {
			return err
		}
		_, position, _ := t.records.position()
		if _, ok := t.records.version(o); !ok {
			continue
		}
		t.logger.Info("software version no longer in use", "service", string(o.Service), "version", string(o.Version))
		if err := c.deleteAt(ctx, versionKey(o), position.Offset); err != nil {
			return err
		}
	}
	return nil
}

// deleteStaleRecords deletes the records of streams that no caller resumes any more: those that did not change for
// the retention, of this node's processes and of nodes that are gone. The nodes of a fleet take turns at random.
func (c *versionChecker) deleteStaleRecords(ctx context.Context) error {
	t := c.tracker
	for key, offset := range t.records.recordOffsets() {
		seen, ok := c.records[key]
		if !ok || seen.offset != offset {
			c.records[key] = recordSighting{offset: offset, at: boottimer.Now()}
			continue
		}
		if seen.at.Age() <= t.retention || !c.isOwnOrOrphaned(key) || rand.IntN(t.fleetSize()) > 0 {
			continue
		}
		if err := t.records.refresh(ctx); err != nil {
			return err
		}
		_, position, _ := t.records.position()
		if current, ok := t.records.recordOffsets()[key]; !ok || current != offset {
			continue
		}
		if err := c.deleteAt(ctx, key, position.Offset); err != nil {
			return err
		}
		delete(c.records, key)
	}
	return nil
}

// isOwnOrOrphaned reports whether a record is that of a process of this node, or of a node that is gone. This
// process keeps its own as long as streams are to be recorded in it.
func (c *versionChecker) isOwnOrOrphaned(key string) bool {
	t := c.tracker
	if key == t.key {
		streams, _ := t.streams.ofServices(t.mustRecord)
		return len(streams) == 0
	}
	n := t.node
	name := nodeOfKey(key)
	if name == n.Name {
		return true
	}
	return n.Fleet != nil && len(n.Fleet.Nodes()) > 0 && !slices.Contains(n.Fleet.Nodes(), name)
}

// deleteAt deletes a record of the log, and reads what follows. Nothing is deleted if the log no longer ends at
// an offset: a record that another node has written since must not be deleted, nor one that it writes before a
// delayed call is served.
func (c *versionChecker) deleteAt(ctx context.Context, key string, end quetzalroad.Offset) error {
	if err := c.putAt(ctx, key, nil, end); err != nil {
		return ignoreConflict(err)
	}
	return c.tracker.records.refresh(ctx)
}

// putAt writes a record if the log still ends at an offset.
func (c *versionChecker) putAt(ctx context.Context, key string, data []byte, end quetzalroad.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, c.tracker.callTimeout)
	defer cancel()
	_, err := c.tracker.conditionalWriter.PutKeyedAt(ctx, quetzalroad.LogStreamStreams, key, data, end)
	return errors.Wrapf(err, "write %s", key)
}
