// Package watcher follows two keyed streams of the platform's log: the published
// state, written by operators, and the registrations of upstreams.
//
// It records when the log last confirmed the local view, never applies an older
// version of the state, and keeps upstreams whose registrations expired during a log
// outage until they have had time to write them again.
package watcher

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/state/storer"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotState, Name: "watcher",
		New: func() kernel.Component { return new(Watcher) },
	})
}

// Watcher implements the kernel's state slot on a keyed log. Declare describes its settings.
type Watcher struct {
	logger   *slog.Logger
	recorder quetzalroad.Recorder
	codec    quetzalroad.StateCodec
	log      quetzalroad.KeyedLog

	statePollWait      time.Duration
	drainDeadline      time.Duration
	initialBackoff     time.Duration
	maxBackoff         time.Duration
	callTimeout        time.Duration
	loadTimeout        time.Duration
	revocationDeadline time.Duration
	revocationMargin   time.Duration
	expiryGrace        time.Duration
	regionPairs        string

	regions       map[quetzalroad.DataCentre]quetzalroad.Region
	store         storer.Store
	routes        routeTable
	published     publishedNames
	registrations registrationTable
	announced     announcedDrains
	// version is the applied version of the published state; zero before the first.
	version atomic.Int64
	// changes counts the changes of the store, in the order in which this node applied them. Offsets would
	// not do as revisions, as a restored log gives them out again.
	changes atomic.Int64
	// confirmed is when the log last confirmed the local view of the state.
	confirmed confirmation
	// stateReads and registrationReads are when the last read of each stream ended.
	stateReads        confirmation
	registrationReads confirmation
}

// Declare implements kernel.Component.
func (w *Watcher) Declare(s *configloader.Section) {
	s.Duration("state-wait", &w.statePollWait, 1600*time.Millisecond, time.Millisecond, 30*time.Second, "How long a read of the published state waits for a change.")
	s.Duration("leave-within", &w.drainDeadline, 3*time.Second, 100*time.Millisecond, time.Hour, "Time within which new work to a draining upstream must stop. The read interval of registrations is the longest that still meets it after one failed read.")
	s.Duration("retry-every", &w.initialBackoff, 250*time.Millisecond, time.Millisecond, time.Minute, "Delay after the first failed read; it doubles with each further failure.")
	s.Duration("retry-most", &w.maxBackoff, time.Second, time.Millisecond, time.Minute, "Longest delay after a failed read.")
	s.Duration("call-timeout", &w.callTimeout, 800*time.Millisecond, time.Millisecond, time.Minute, "Timeout of the first part of a read, in addition to the time it waits for a change, and of each further part.")
	s.Duration("load-timeout", &w.loadTimeout, 5*time.Second, time.Millisecond, time.Hour, "Timeout of a read of the latest record of every key, and of the transfer of any read.")
	s.Duration("revoke-within", &w.revocationDeadline, 0, 0, time.Hour, "Time within which a revoked key must stop working; zero for no limit.")
	s.Duration("revoke-margin", &w.revocationMargin, 200*time.Millisecond, 0, time.Minute, "Part of revoke-within reserved for the delay between the check and sending the request.")
	s.Duration("lapse-grace", &w.expiryGrace, 2300*time.Millisecond, 0, time.Minute, "How long after a log outage an upstream whose registration is missing is kept.")
	s.String("places", &w.regionPairs, "", "Regions of the data centres, as data-centre=region, separated by commas.")
}

// Build implements kernel.Component.
func (w *Watcher) Build(n *kernel.Node) error {
	if n.KeyedLog == nil || n.StateCodec == nil {
		return errors.New("the watcher requires the slots keyed-log and entries")
	}
	if err := w.parseRegions(); err != nil {
		return err
	}
	w.logger = n.Logger
	w.recorder = n.Recorder
	w.codec = n.StateCodec
	w.log = n.KeyedLog
	n.Directory = &w.store
	n.RouteTable = &w.routes
	n.Freshness = w
	n.DrainMarker = w
	n.AddReadiness(w)
	n.AddTask("follow the published state", w.followState)
	n.AddTask("follow the upstreams' registrations", w.followRegistrations)
	return nil
}

func (w *Watcher) parseRegions() error {
	w.regions = make(map[quetzalroad.DataCentre]quetzalroad.Region)
	for pair := range strings.SplitSeq(w.regionPairs, ",") {
		if pair == "" {
			continue
		}
		dataCentre, region, ok := strings.Cut(pair, "=")
		if !ok {
			return errors.Newf("state.places: %q is not data-centre=region", pair)
		}
		w.regions[quetzalroad.DataCentre(dataCentre)] = quetzalroad.Region(region)
	}
	return nil
}

// Version implements quetzalroad.Freshness.
func (w *Watcher) Version() int64 {
	return w.version.Load()
}

// Age implements quetzalroad.Freshness.
func (w *Watcher) Age() time.Duration {
	return w.confirmed.age()
}

// IsFresh implements quetzalroad.Freshness.
func (w *Watcher) IsFresh() bool {
	return w.revocationDeadline == 0 || w.confirmed.age() < w.revocationDeadline-w.revocationMargin
}

var (
	errNoState = errors.New("no published state yet")
	errStale   = errors.New("the view of the published state is too old")
	errStopped = errors.New("the node has stopped following the log")
)

// unreadyFraction is the fraction of the revocation deadline after which the node
// reports unready, so that few requests arrive that it has to refuse.
const unreadyFraction = 0.6

// Ready implements quetzalroad.Readiness.
func (w *Watcher) Ready() error {
	switch {
	case w.version.Load() == 0 || !w.registrations.loaded.Load():
		return errNoState
	case w.revocationDeadline > 0 && w.routes.RequiresKey() && w.confirmed.age() > w.unreadyAge():
		return errStale
	case w.stateReads.age() > w.maxReadGap() || w.registrationReads.age() > w.maxReadGap():
		return errStopped
	}
	return nil
}

// unreadyAge is the age of the view from which on the node reports unready, if a key may be revoked.
func (w *Watcher) unreadyAge() time.Duration {
	return time.Duration(unreadyFraction * float64(w.revocationDeadline))
}

// pollMargin is the part of unreadyAge reserved for the delays of two reads.
const pollMargin = 200 * time.Millisecond

// pollWait returns how long a read of the published state waits for a change. A read confirms the view of the
// instant at which it was sent, so that the view gets as old as two reads take; the node stays ready meanwhile.
func (w *Watcher) pollWait() time.Duration {
	if w.revocationDeadline == 0 {
		return w.statePollWait
	}
	return min(w.statePollWait, max(w.unreadyAge()-pollMargin, pollMargin)/2)
}

// readGapMargin is the time beyond the timeouts of a read after which its loop counts as stopped.
const readGapMargin = 5 * time.Second

// maxReadGap returns the longest time between the ends of two reads of a stream, whether they succeed or fail.
func (w *Watcher) maxReadGap() time.Duration {
	read := w.statePollWait + max(w.loadTimeout, w.callTimeout)
	return read + w.loadTimeout + max(w.maxBackoff, w.initialBackoff, w.registrationReadInterval()) + readGapMargin
}

// followState applies the published state as operators write it.
func (w *Watcher) followState(ctx context.Context) error {
	reader := streamReader{watcher: w, stream: quetzalroad.LogStreamOperators, pollWait: w.pollWait(), reads: &w.stateReads, onConfirmed: w.confirmed.advance}
	reader.apply = func(b batch) {
		for _, r := range b.records {
			w.applyState(r, b.epoch)
		}
	}
	return reader.run(ctx)
}

// registrationReadMargin is the part of the drain deadline reserved for the read that
// returns the drain, after a failed read and its delay.
const registrationReadMargin = 300 * time.Millisecond

// registrationReadInterval returns the longest delay between two reads that meets the
// drain deadline even if one read fails.
func (w *Watcher) registrationReadInterval() time.Duration {
	return max(w.drainDeadline-w.callTimeout-w.initialBackoff-registrationReadMargin, w.initialBackoff)
}

// followRegistrations applies the registrations that upstreams write.
func (w *Watcher) followRegistrations(ctx context.Context) error {
	reader := streamReader{watcher: w, stream: quetzalroad.LogStreamUpstreams, reads: &w.registrationReads, interval: w.registrationReadInterval(), apply: w.applyRegistrations, beforeRead: w.removeMissing}
	return reader.run(ctx)
}
