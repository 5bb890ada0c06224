// Package watcher follows the published state where operators write it whole
// to the platform's log and upstreams write their own entries there.
//
// It keeps the moment for which the log last confirmed the view, never goes
// back to an older version, and holds entries that lapsed while the log was
// away until their upstreams had time to write them again.
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

// Watcher is the part that follows the published state.
type Watcher struct {
	logger *slog.Logger
	codec  quetzalroad.StateCodec
	log    quetzalroad.KeyedLog

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
	// version is that of the state in force; zero before the first.
	version atomic.Int64
	// confirmed holds the mark of the last confirmation of the state.
	confirmed confirmation
}

// Declare implements kernel.Component.
func (w *Watcher) Declare(s *configloader.Section) {
	s.Duration("state-wait", &w.statePollWait, 1600*time.Millisecond, time.Millisecond, 30*time.Second, "How long a read of the published state waits for a change.")
	s.Duration("leave-within", &w.drainDeadline, 3*time.Second, 100*time.Millisecond, time.Hour, "Time within which an upstream that leaves must get no more work. The entries are read as seldom as it allows with one failed read.")
	s.Duration("retry-every", &w.initialBackoff, 250*time.Millisecond, time.Millisecond, time.Minute, "Pause after the first read that failed; it doubles with each further one.")
	s.Duration("retry-most", &w.maxBackoff, time.Second, time.Millisecond, time.Minute, "Longest pause after a read that failed.")
	s.Duration("call-timeout", &w.callTimeout, 800*time.Millisecond, time.Millisecond, time.Minute, "How long a read may take beyond its wait.")
	s.Duration("load-timeout", &w.loadTimeout, 5*time.Second, time.Millisecond, time.Hour, "How long the reading of all that stands may take.")
	s.Duration("revoke-within", &w.revocationDeadline, 0, 0, time.Hour, "Time within which a key that was taken away must stop working; zero for no bound.")
	s.Duration("revoke-margin", &w.revocationMargin, 200*time.Millisecond, 0, time.Minute, "Part of that time kept for what lies between the check and the sending.")
	s.Duration("lapse-grace", &w.expiryGrace, 2300*time.Millisecond, 0, time.Minute, "How long an entry that vanished while the log was away is held after its return.")
	s.String("places", &w.regionPairs, "", "Regions of the data centres, as data-centre=region, separated by commas.")
}

// Build implements kernel.Component.
func (w *Watcher) Build(n *kernel.Node) error {
	if n.KeyedLog == nil || n.StateCodec == nil {
		return errors.New("the watcher needs the slots keyed-log and entries")
	}
	if err := w.parseRegions(); err != nil {
		return err
	}
	w.logger = n.Logger
	w.codec = n.StateCodec
	w.log = n.KeyedLog
	n.Directory = &w.store
	n.RouteTable = &w.routes
	n.Freshness = w
	n.AddReadiness(w)
	n.AddTask("follow the published state", w.followState)
	n.AddTask("follow the upstreams' entries", w.followRegistrations)
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
)

// unreadyFraction is the part of the bound on revocation after which the node
// asks for no more callers, so that few meet a refusal.
const unreadyFraction = 0.6

// Ready implements quetzalroad.Readiness.
func (w *Watcher) Ready() error {
	switch {
	case w.version.Load() == 0 || !w.registrations.loaded.Load():
		return errNoState
	case w.revocationDeadline > 0 && w.routes.RequiresKey() && w.confirmed.age() > time.Duration(unreadyFraction*float64(w.revocationDeadline)):
		return errStale
	}
	return nil
}

// followState follows what operators publish.
func (w *Watcher) followState(ctx context.Context) error {
	reader := streamReader{watcher: w, stream: quetzalroad.LogStreamOperators, pollWait: w.statePollWait, onConfirmed: w.confirmed.advance}
	reader.apply = func(records []quetzalroad.KeyedRecord, _ bool) {
		for _, r := range records {
			w.applyState(r)
		}
	}
	return reader.run(ctx)
}

// registrationReadMargin is kept of the time in which an upstream's leaving must take hold,
// for the read that tells it.
const registrationReadMargin = 300 * time.Millisecond

// registrationReadInterval is the pause between two reads of the entries.
func (w *Watcher) registrationReadInterval() time.Duration {
	return max(w.drainDeadline-w.callTimeout-w.initialBackoff-registrationReadMargin, w.initialBackoff)
}

// followRegistrations follows what upstreams write of themselves.
func (w *Watcher) followRegistrations(ctx context.Context) error {
	reader := streamReader{watcher: w, stream: quetzalroad.LogStreamUpstreams, interval: w.registrationReadInterval(), apply: w.applyRegistrations, beforeRead: w.removeExpired}
	return reader.run(ctx)
}
