// Package leaser grants a lease to one node at a time through the platform's log.
//
// The lease is a record that the holder renews. Each write is conditional on the end of the log's stream, so that of
// two concurrent ones only one succeeds. The other nodes only read. A node claims the lease once the record has been
// unchanged for longer than the lease lasts, measured by its own clock, so that clocks need not agree. See
// docs/design/leases.md.
package leaser

import (
	"context"
	"crypto/rand"
	"expvar"
	"log/slog"
	randv2 "math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/leasemapper"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotLeaser, Name: "log",
		New: func() kernel.Component { return new(Leaser) },
	})
}

// Leaser implements quetzalroad.Leaser on a keyed log. Declare describes its settings.
type Leaser struct {
	node   *kernel.Node
	log    quetzalroad.KeyedLog
	writer quetzalroad.ConditionalWriter
	epochs quetzalroad.EpochTracker
	logger *slog.Logger
	duties []quetzalroad.Duty

	policy      policy
	callTimeout time.Duration
	// incarnation tells this process from others of the same name.
	incarnation string
	// builtAt and builtTime are when this process began, by the boot clock and by the time of day.
	builtAt   boottimer.Instant
	builtTime time.Time

	// The fields below belong to the task. lastRead is what the log holds by the last read or write, and firstReadAt
	// the response to the first read that returned the same record.
	lastRead       readResult
	firstReadAt    boottimer.Instant
	failedReads    int
	failedRenewals int

	// started is set once the task runs, and stopped closed when it has ended.
	started atomic.Bool
	stopped chan struct{}
	// active is the lease whose duties run; nil if there is none.
	active atomic.Pointer[grant]

	mu sync.Mutex
	// The fields below are guarded by mu. holder is valid if held is set.
	holder quetzalroad.LeaseHolder
	held   bool

	claims, losses, renewalFailures expvar.Int
	// holding is 1 while this node holds the lease.
	holding expvar.Int
}

// Declare implements kernel.Component.
func (l *Leaser) Declare(s *configloader.Section) {
	s.Duration("duration", &l.policy.duration, 3*time.Second, 100*time.Millisecond, time.Hour, "How long the lease lasts after the sending of a renewal.")
	s.Duration("margin", &l.policy.margin, 500*time.Millisecond, 0, time.Minute, "How much longer than the duration other nodes wait before they take the lease over, for commands that arrive late.")
	s.Duration("renew-every", &l.policy.renewEvery, time.Second, 10*time.Millisecond, time.Hour, "Interval between two renewals, and between two reads of a candidate; at most a third of the duration.")
	s.Int("candidates", &l.policy.candidates, 3, 1, 1000, "Number of nodes that read the lease as often as the holder renews it.")
	s.Duration("check-every", &l.policy.checkEvery, 5*time.Second, 10*time.Millisecond, time.Hour, "Interval between two reads of the first node that is no candidate; it grows with the rank of the others.")
	s.Duration("call-timeout", &l.callTimeout, 600*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of a call to the log, so that the lease lasts for three attempts to renew it; at most a third of the duration.")
}

// Build implements kernel.Component.
func (l *Leaser) Build(n *kernel.Node) error {
	if n.KeyedLog == nil || n.ConditionalWriter == nil || n.LogEpochs == nil {
		return errors.New("leases require the slots keyed-log and log-epochs, and a log with conditional writes")
	}
	l.node, l.log, l.writer, l.epochs = n, n.KeyedLog, n.ConditionalWriter, n.LogEpochs
	l.logger = n.Logger
	l.policy.renewEvery = min(l.policy.renewEvery, l.policy.duration/3)
	l.callTimeout = min(l.callTimeout, l.policy.duration/3)
	l.incarnation = rand.Text()
	l.builtAt, l.builtTime = boottimer.Now(), time.Now()
	l.stopped = make(chan struct{})
	n.Leaser = l
	n.AddTask("hold or watch the lease", l.run)
	n.OnStop(l.awaitStopped)
	n.Vars.Set("lease-token", expvar.Func(func() any { return uint64(l.lastHolder().Token) }))
	n.Vars.Set("lease-holder", expvar.Func(func() any { return string(l.lastHolder().Node) }))
	n.Vars.Set("lease-seconds", expvar.Func(l.secondsHeld))
	n.Vars.Set("lease-held", &l.holding)
	n.Vars.Set("lease-claims", &l.claims)
	n.Vars.Set("lease-losses", &l.losses)
	n.Vars.Set("lease-renewal-failures", &l.renewalFailures)
	return nil
}

// AddDuty implements quetzalroad.Leaser.
func (l *Leaser) AddDuty(d quetzalroad.Duty) {
	l.duties = append(l.duties, d)
}

// Holder implements quetzalroad.Leaser.
func (l *Leaser) Holder() (quetzalroad.LeaseHolder, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder, l.held
}

func (l *Leaser) lastHolder() quetzalroad.LeaseHolder {
	// Without a holder the zero value is shown.
	h, _ := l.Holder()
	return h
}

// secondsHeld returns the time since this node first saw the token of the holder; zero if there is none.
func (l *Leaser) secondsHeld() any {
	h, held := l.Holder()
	if !held {
		return 0.0
	}
	return time.Since(h.Since).Seconds()
}

// noteHolder notes the holder by the record of the current epoch; nil if there is none.
func (l *Leaser) noteHolder(r *leasemapper.Record) {
	known, held := l.Holder()
	var next quetzalroad.LeaseHolder
	if r != nil && !r.Released {
		next = quetzalroad.LeaseHolder{Node: r.Holder, Token: r.Token, Since: time.Now()}
	}
	if known.Token == next.Token && known.Node == next.Node {
		return
	}
	l.mu.Lock()
	l.holder, l.held = next, next.Token != 0
	l.mu.Unlock()
	if next.Token != 0 {
		l.logger.Info("lease holder changed", "holder", string(next.Node), "token", uint64(next.Token), "previous", string(known.Node), "held-before", held)
	}
}

func (l *Leaser) recordViolation(invariant string, token quetzalroad.FencingToken) {
	l.node.Recorder.RecordViolation(invariant, "token "+strconv.FormatUint(uint64(token), 10))
}

// awaitStopped waits until a planned stop has ended the duties and given the lease up.
func (l *Leaser) awaitStopped(ctx context.Context) {
	if !l.started.Load() {
		return
	}
	select {
	case <-l.stopped:
	case <-ctx.Done():
	}
}

// run claims the lease when it is free and holds it, until the node stops. A node without duties needs no lease.
func (l *Leaser) run(ctx context.Context) error {
	if len(l.duties) == 0 {
		l.logger.Info("no duties are configured; the lease is not used")
		<-ctx.Done()
		return ctx.Err()
	}
	l.started.Store(true)
	defer close(l.stopped)
	// By then the list of nodes has usually been read. The nodes of a fleet that starts at once don't read together.
	delay := l.policy.renewEvery + time.Duration(randv2.Float64()*float64(l.policy.renewEvery))
	for first := true; ; {
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
			delay = l.watch(ctx, first)
			first = false
		case <-l.node.StopBegun():
			timer.Stop()
			return nil
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// rank returns this node's place in the order of all nodes. It returns that of the last candidate if the node knows no
// others, or has not read the list of nodes yet; then reads are less frequent, as all nodes of the fleet may be in
// this situation at once.
func (l *Leaser) rank() (rank int, frequent bool) {
	if l.node.Fleet == nil {
		return l.policy.lowestCandidate(), true
	}
	rank = slices.Index(l.node.Fleet.RankedNodes(), l.node.Name)
	if rank < 0 {
		return l.policy.lowestCandidate(), false
	}
	return rank, rank < l.policy.candidates
}

// epochKnownSince returns when this node first knew the log's epoch.
func (l *Leaser) epochKnownSince() time.Time {
	return latestTime(time.Now(), l.builtTime.Add(l.builtAt.Age())).Add(-l.epochs.Age())
}

// isOwn reports whether this process wrote a record.
func (l *Leaser) isOwn(r *leasemapper.Record) bool {
	return r != nil && r.Holder == l.node.Name && r.Incarnation == l.incarnation
}

// watch reads the record, and claims and holds the lease if it is free. It returns the time until the next read. A
// node that reads seldom doesn't do so first when it starts, as all others may start then.
func (l *Leaser) watch(ctx context.Context, first bool) time.Duration {
	rank, frequent := l.rank()
	if first && !frequent {
		return l.policy.readInterval(rank, frequent)
	}
	s, err := l.read(ctx)
	if err != nil {
		if l.failedReads++; l.failedReads == 1 && ctx.Err() == nil {
			l.logger.Warn("failed to read the lease", "stream", string(quetzalroad.LogStreamLeases), "error", err)
		}
		return l.policy.readInterval(rank, frequent)
	}
	l.failedReads = 0
	wait := l.policy.claimDelay(view{
		record: s.current, own: l.isOwn(s.current), unchangedFor: s.unchangedFor, epochKnownFor: s.epochKnownFor, self: l.node.Name, rank: rank,
	})
	if wait > 0 {
		return l.policy.readDelay(rank, frequent, wait)
	}
	if g := l.claim(ctx, s); g != nil {
		l.hold(ctx, g)
	}
	return l.policy.renewEvery
}

// claim writes a claim of the lease, or continues one of this process whose confirmation was lost. It returns nil if
// the lease was not granted, or has ended since the claim was sent.
func (l *Leaser) claim(ctx context.Context, s readResult) *grant {
	if l.node.Stopping() {
		return nil
	}
	previous := s.latest()
	var record leasemapper.Record
	if l.isOwn(s.current) {
		record = *s.current
	} else {
		record = nextRecord(previous, claimant{node: l.node.Name, incarnation: l.incarnation, epoch: s.epoch, epochKnownSince: l.epochKnownSince()})
	}
	sentAt, err := l.write(ctx, record)
	if err == nil && sentAt.Age() >= l.policy.duration {
		err = errLate
	}
	if err != nil {
		l.logger.Info("lease not granted", "token", uint64(record.Token), "error", err)
		return nil
	}
	l.claims.Add(1)
	l.failedRenewals = 0
	g := newGrant(ctx, l, record, sentAt)
	switch {
	case previous == nil || previous.Released || l.isOwn(previous):
		l.logger.Info("lease granted", "token", uint64(record.Token), "epoch", uint64(record.Epoch))
	default:
		l.logger.Warn("lease taken over", "token", uint64(record.Token), "epoch", uint64(record.Epoch), "from", string(previous.Holder), "previous-token", uint64(previous.Token), "lost-before", record.LostBefore)
	}
	return g
}
