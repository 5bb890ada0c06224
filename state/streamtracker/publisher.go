package streamtracker

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/streammapper"
	"github.com/quetzalroad/quetzalroad/support/sleeper"
)

const (
	// maxRecordedStreams bounds the streams in a record, and maxIDBytes their ids, so that a node can hold the
	// records of a large fleet.
	maxRecordedStreams = 500
	maxIDBytes         = 64
	// urgentDivisor is the part of the interval between two records after which an urgent one is written.
	urgentDivisor = 4
)

// recordStreams records the streams of this node until it stops.
func (t *Tracker) recordStreams(ctx context.Context) error {
	var last time.Time
	for {
		select {
		case <-t.wanted:
		case <-t.urgent:
			signal(t.urgent)
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := t.awaitTurn(ctx, last); err != nil {
			return err
		}
		last = time.Now()
		if err := t.write(ctx); err != nil {
			t.writeFailures.Add(1)
			t.logger.Info("failed to record streams", "error", err)
			signal(t.wanted)
		}
	}
}

// awaitTurn waits until a record may follow the last one. An urgent one may do so earlier.
func (t *Tracker) awaitTurn(ctx context.Context, last time.Time) error {
	interval := max(t.writeInterval, time.Duration(t.fleetSize())*t.nodeInterval)
	wait := time.Until(last.Add(interval))
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-t.urgent:
		return sleeper.Sleep(ctx, time.Until(last.Add(interval/urgentDivisor)))
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fleetSize returns the number of nodes, at least one.
func (t *Tracker) fleetSize() int {
	if t.node.Fleet == nil {
		return 1
	}
	return max(1, len(t.node.Fleet.Nodes()))
}

// fleetIsUnknown reports whether the list of nodes has not been read yet.
func (t *Tracker) fleetIsUnknown() bool {
	return t.node.Fleet != nil && len(t.node.Fleet.Nodes()) == 0
}

// write records the streams of services with several versions, and acknowledges the announcements of versions, unless
// the log has them all.
func (t *Tracker) write(ctx context.Context) error {
	t.streams.forget(time.Now(), t.retention)
	// Streams that begin after this call are recorded next.
	acknowledged := t.acknowledgements()
	all, unrecorded := t.streams.ofServices(t.mustRecord)
	streams := latestStreams(all)
	if len(streams) < len(all) {
		clear(acknowledged)
	}
	if !unrecorded && containsAll(t.acknowledged, acknowledged) {
		return nil
	}
	data, err := streammapper.EncodeStreams(quetzalroad.StreamRecord{Origins: originsOf(streams), Acknowledged: acknowledged})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.callTimeout)
	defer cancel()
	if _, err := t.writer.PutKeyed(ctx, quetzalroad.LogStreamStreams, t.key, data); err != nil {
		return err
	}
	t.streams.setRecorded(streams, true)
	t.acknowledged = acknowledged
	t.recordsWritten.Add(1)
	t.logger.Info("streams recorded", "key", t.key, "streams", len(streams), "acknowledged", len(acknowledged))
	return nil
}

// latestStreams returns the streams that began last, at most maxRecordedStreams.
func latestStreams(streams map[quetzalroad.RequestID]stream) map[quetzalroad.RequestID]stream {
	if len(streams) <= maxRecordedStreams {
		return streams
	}
	ids := slices.SortedFunc(maps.Keys(streams), func(a, b quetzalroad.RequestID) int {
		return cmp.Or(streams[b].begunAt.Compare(streams[a].begunAt), cmp.Compare(a, b))
	})
	latest := make(map[quetzalroad.RequestID]stream, maxRecordedStreams)
	for _, id := range ids[:maxRecordedStreams] {
		latest[id] = streams[id]
	}
	return latest
}

func originsOf(streams map[quetzalroad.RequestID]stream) map[quetzalroad.RequestID]quetzalroad.StreamOrigin {
	origins := make(map[quetzalroad.RequestID]quetzalroad.StreamOrigin, len(streams))
	for id, s := range streams {
		origins[id] = s.origin
	}
	return origins
}
