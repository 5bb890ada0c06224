package epochtracker

import (
	"expvar"
	"log/slog"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// observer notes the epochs that one log states. It implements quetzalroad.EpochTracker.
type observer struct {
	belief belief
	logger *slog.Logger
	// signal is buffered.
	signal chan struct{}
	// changes counts the epochs that began, and outdated the responses of earlier ones.
	changes, outdated expvar.Int
}

// publish makes the observer the node's tracker and shows its counters.
func (o *observer) publish(n *kernel.Node) {
	o.logger = n.Logger
	o.signal = make(chan struct{}, 1)
	n.LogEpochs = o
	n.Vars.Set("log-epoch", expvar.Func(func() any { return uint64(o.Epoch()) }))
	n.Vars.Set("log-epoch-changes", &o.changes)
	n.Vars.Set("log-outdated-responses", &o.outdated)
}

// Epoch implements quetzalroad.EpochTracker.
func (o *observer) Epoch() quetzalroad.Epoch {
	return o.belief.current()
}

// Age implements quetzalroad.EpochTracker.
func (o *observer) Age() time.Duration {
	return o.belief.age()
}

// Changed implements quetzalroad.EpochTracker.
func (o *observer) Changed() <-chan struct{} {
	return o.signal
}

// ObservePeer implements quetzalroad.EpochTracker.
func (o *observer) ObservePeer(e quetzalroad.Epoch) error {
	known := o.Epoch()
	return o.handle(o.belief.observePeer(e), known, e, "peer")
}

// observe notes the epoch of a response of the log.
func (o *observer) observe(e quetzalroad.Epoch, sentAt boottimer.Instant) error {
	known := o.Epoch()
	return o.handle(o.belief.observe(e, sentAt), known, e, "log")
}

// handle logs and counts what a stated epoch means, and returns ErrOutdatedEpoch for an earlier one.
func (o *observer) handle(v verdict, known, stated quetzalroad.Epoch, source string) error {
	switch v {
	case changed:
		o.changes.Add(1)
		o.logger.Warn("log restored from an older copy", "epoch", uint64(stated), "known", uint64(known), "told-by", source)
		select {
		case o.signal <- struct{}{}:
		default:
		}
	case outdated:
		o.outdated.Add(1)
		o.logger.Info("ignoring response of an earlier epoch of the log", "epoch", uint64(stated), "known", uint64(known), "told-by", source)
		return quetzalroad.ErrOutdatedEpoch
	}
	return nil
}
