// Package tracker keeps what a node believes about the load of upstreams.
//
// The belief joins three sources, each for what it knows: the upstream's own
// report, which counts everybody's work and is late; the work this node sent
// and saw ending since the report's own time; and what peers tell of theirs.
// Observed token times show a slowdown before any report does.
package tracker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotLoadTracker, Name: "tracker", Default: true,
		New: func() kernel.Component { return new(Tracker) },
	})
}

const (
	// shardCount is the number of shards of the belief.
	shardCount = 32
	// movesKept is the number of begins and ends remembered an upstream, to
	// correct late reports.
	movesKept = 128
	// gain is the weight of a new observation in a moving mean.
	gain = 0.4
	// reportGain is the weight of a new report against the ones before. Single
	// reports are noisy, as they and the peers' telling lag differently.
	reportGain = 0.3
	// staleAfter is the age at which observed times say nothing any more.
	staleAfter = 10 * time.Second
	// stallFactor is how many token times without progress count as a stall.
	// The next token will then have taken at least the time since the last.
	stallFactor = 2
)

// move is a change of the number of attempts on an upstream.
type move struct {
	at    time.Time
	delta int
}

// ring holds the last moves. The zero value is empty.
type ring struct {
	// moves are in order of time, the oldest at next.
	moves [movesKept]move
	next  int
}

func (r *ring) add(at time.Time, delta int) {
	r.moves[r.next] = move{at: at, delta: delta}
	r.next = (r.next + 1) % movesKept
}

// since sums the moves after a time.
func (r *ring) since(t time.Time) int {
	sum := 0
	for i := range r.moves {
		m := r.moves[(r.next-1-i+2*movesKept)%movesKept]
		if m.delta == 0 || !m.at.After(t) {
			break
		}
		sum += m.delta
	}
	return sum
}

// belief is what a node believes about one upstream.
type belief struct {
	// own counts this node's attempts there and is never negative.
	own int
	// moves are the last changes of own and of foreign.
	moves ring
	// report is the last one received; zero before the first.
	report   quetzalroad.LoadReport
	reported time.Time
	// unexplained is a moving mean of what the reports counted beyond the work
	// of this node and its peers.
	unexplained float64
	// polled is when this node itself last got a report; zero for never.
	polled time.Time
	// peers holds the last count of each peer; its sum is foreign.
	peers   map[quetzalroad.NodeName]int
	foreign int
	// tokenTime and firstToken are moving means, each with the time of the
	// last observation.
	tokenTime time.Duration
	tokenAt   time.Time
	// heardAt is when tokenTime was last taken from a peer.
	heardAt    time.Time
	firstToken time.Duration
	firstAt    time.Time
	// progress is when an attempt last made a token, or the only one began.
	progress time.Time
	// failures counts failed attempts in a row; suspectUntil is set from it.
	failures     int
	suspectUntil time.Time
	// leaving is what the VM list says.
	leaving bool
}

// shard holds the beliefs whose upstream's name hashes to it.
type shard struct {
	// Shards that several cores lock share no cache line.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// beliefs is guarded by mu and made on first use.
	beliefs map[quetzalroad.UpstreamName]*belief
}

// Tracker is the part that keeps the belief.
type Tracker struct {
	directory  quetzalroad.Directory
	drains     quetzalroad.Drainer
	place      quetzalroad.DataCentre
	region     quetzalroad.Region
	reportTTL  time.Duration
	suspectFor time.Duration
	suspectMax float64
	reach      string
	shards     [shardCount]shard
	views      viewCache
	// tellers holds a time for each peer that told of its load.
	tellers sync.Map
	// telling counts the tellers.
	telling atomic.Int64
	poller  poller
}

// Declare implements kernel.Component.
func (t *Tracker) Declare(s *configloader.Section) {
	s.Duration("report-lifetime", &t.reportTTL, 15*time.Second, 100*time.Millisecond, 10*time.Minute, "Age at which a load report counts no more.")
	s.Duration("suspect-for", &t.suspectFor, 2*time.Second, 10*time.Millisecond, 10*time.Minute, "How long an upstream is set aside after failures in a row; doubled with each further one, up to eightfold.")
	s.Duration("report-interval", &t.poller.interval, time.Second, 0, time.Minute, "How often an upstream is asked for its load; zero for never.")
	s.Duration("report-timeout", &t.poller.timeout, 500*time.Millisecond, 10*time.Millisecond, time.Minute, "How long an upstream may take to answer.")
	s.Enum("reach", &t.reach, reachNearest, []string{reachNearest, reachAll}, "Which upstreams are candidates: those of the nearest place that has sound ones, or all.")
	s.Float("suspect-share", &t.suspectMax, 0.5, 0, 1, "Largest share of a service's upstreams that may be set aside.")
}

// How far the candidates may be.
const (
	reachNearest = "nearest"
	reachAll     = "all"
)

// Build implements kernel.Component.
func (t *Tracker) Build(n *kernel.Node) error {
	t.directory = n.Directory
	t.drains = n.Drainer
	t.place = n.DataCentre
	t.region = n.Region
	n.LoadTracker = t
	n.CapacityEstimator = t
	t.poller.node = n
	t.poller.tracker = t
	if t.poller.interval > 0 {
		n.AddTask("poll load reports", t.poller.run)
	}
	return nil
}

func (t *Tracker) shard(u quetzalroad.UpstreamName) *shard {
	return &t.shards[xxhash.Sum64String(string(u))%shardCount]
}

// with runs f on the belief about an upstream, under its shard's lock.
func (t *Tracker) with(u quetzalroad.UpstreamName, f func(b *belief)) {
	sh := t.shard(u)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := sh.beliefs[u]
	if b == nil {
		if sh.beliefs == nil {
			sh.beliefs = make(map[quetzalroad.UpstreamName]*belief)
		}
		b = new(belief)
		sh.beliefs[u] = b
	}
	f(b)
}

func (b *belief) moved(now time.Time, delta int) {
	b.own += delta
	b.moves.add(now, delta)
}

// BeginAttempt implements quetzalroad.LoadTracker.
func (t *Tracker) BeginAttempt(u quetzalroad.UpstreamName, now time.Time) {
	t.with(u, func(b *belief) {
		if b.own == 0 {
			b.progress = now
		}
		b.moved(now, 1)
	})
}

// ObserveFirstToken implements quetzalroad.LoadTracker.
func (t *Tracker) ObserveFirstToken(u quetzalroad.UpstreamName, now time.Time, took time.Duration) {
	t.with(u, func(b *belief) {
		b.firstToken = mean(b.firstToken, took, now.Sub(b.firstAt))
		b.firstAt = now
		b.progress = now
	})
}

// ObserveInterToken implements quetzalroad.LoadTracker.
func (t *Tracker) ObserveInterToken(u quetzalroad.UpstreamName, now time.Time, took time.Duration) {
	t.with(u, func(b *belief) {
		b.tokenTime = mean(b.tokenTime, took, now.Sub(b.tokenAt))
		b.tokenAt = now
		b.progress = now
	})
}

// mean moves a mean towards an observation; a mean that has gone stale is
// replaced.
func mean(old, seen, age time.Duration) time.Duration {
	if old == 0 || age > staleAfter {
		return seen
	}
	return old + time.Duration(gain*float64(seen-old))
}

// suspectAfter is the number of failures in a row that set an upstream aside.
const suspectAfter = 2

// EndAttempt implements quetzalroad.LoadTracker.
func (t *Tracker) EndAttempt(u quetzalroad.UpstreamName, now time.Time, failed bool) {
	t.with(u, func(b *belief) {
		b.moved(now, -1)
		if !failed {
			b.failures = 0
			b.suspectUntil = time.Time{}
			return
		}
		b.failures++
		if b.failures < suspectAfter {
			return
		}
		doublings := min(b.failures-suspectAfter, 3)
		b.suspectUntil = now.Add(t.suspectFor << doublings)
	})
}

// UpdateReport implements quetzalroad.LoadTracker.
func (t *Tracker) UpdateReport(u quetzalroad.UpstreamName, received time.Time, r quetzalroad.LoadReport) {
	t.with(u, func(b *belief) {
		if r.MeasuredAt.Before(b.report.MeasuredAt) {
			return
		}
		beyond := r.Running + r.Waiting + b.moves.since(r.MeasuredAt) - b.own - b.foreign
		b.unexplained += reportGain * (float64(beyond) - b.unexplained)
		b.report = r
		b.reported = received
	})
}

// UpdatePeer implements quetzalroad.LoadTracker. An upstream that the peer names no
// more has none of its work.
func (t *Tracker) UpdatePeer(n quetzalroad.NodeName, received time.Time, loads []quetzalroad.UpstreamLoad) {
	if _, known := t.tellers.Swap(n, received); !known {
		t.telling.Add(1)
	}
	told := make(map[quetzalroad.UpstreamName]bool, len(loads))
	for _, l := range loads {
		told[l.Upstream] = true
		t.with(l.Upstream, func(b *belief) {
			b.setPeer(n, received, l.Running)
			b.hear(received, l.InterTokenLatency)
		})
	}
	t.clearPeer(n, received, told)
}

// hearsayAfter is the age of an own observation from which a peer's is taken.
const hearsayAfter = 300 * time.Millisecond

// hear takes the token time that a peer saw, where this node has seen none of
// its own just now.
func (b *belief) hear(received time.Time, tokenTime time.Duration) {
	if tokenTime <= 0 || received.Sub(b.tokenAt) < hearsayAfter {
		return
	}
	b.tokenTime = mean(b.tokenTime, tokenTime, received.Sub(b.heardAt))
	b.heardAt = received
}

// RemovePeer implements quetzalroad.LoadTracker.
func (t *Tracker) RemovePeer(n quetzalroad.NodeName) {
	if _, known := t.tellers.LoadAndDelete(n); known {
		t.telling.Add(-1)
	}
	t.clearPeer(n, time.Now(), nil)
}

func (t *Tracker) clearPeer(n quetzalroad.NodeName, now time.Time, except map[quetzalroad.UpstreamName]bool) {
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for u, b := range sh.beliefs {
			if !except[u] {
				b.setPeer(n, now, 0)
			}
		}
		sh.mu.Unlock()
	}
}

func (b *belief) setPeer(n quetzalroad.NodeName, now time.Time, running int) {
	delta := running - b.peers[n]
	if delta == 0 {
		return
	}
	b.foreign += delta
	b.moves.add(now, delta)
	if running == 0 {
		delete(b.peers, n)
		return
	}
	if b.peers == nil {
		b.peers = make(map[quetzalroad.NodeName]int)
	}
	b.peers[n] = running
}

// SetLeaving implements quetzalroad.LoadTracker.
func (t *Tracker) SetLeaving(u quetzalroad.UpstreamName, leaving bool) {
	t.with(u, func(b *belief) { b.leaving = leaving })
}

// Estimate implements quetzalroad.LoadTracker.
func (t *Tracker) Estimate(u quetzalroad.UpstreamName, now time.Time) quetzalroad.LoadEstimate {
	sh := t.shard(u)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := sh.beliefs[u]
	if b == nil {
		return quetzalroad.LoadEstimate{}
	}
	e := b.estimate(now, t.reportTTL)
	e.ReportingPeers = int(t.telling.Load())
	return e
}

func (b *belief) estimate(now time.Time, reportTTL time.Duration) quetzalroad.LoadEstimate {
	e := quetzalroad.LoadEstimate{
		LocalRunning: b.own,
		PeerRunning:  b.foreign,
		Running:      b.own + b.foreign,
		Suspect:      now.Before(b.suspectUntil),
		Leaving:      b.leaving || b.report.Leaving,
	}
	if !b.reported.IsZero() && now.Sub(b.report.MeasuredAt) < reportTTL {
		e.Running += int(max(0, b.unexplained))
	}
	if !b.reported.IsZero() {
		e.ReportAge = now.Sub(b.report.MeasuredAt)
	}
	if now.Sub(b.tokenAt) < staleAfter || now.Sub(b.heardAt) < staleAfter {
		e.InterTokenLatency = b.tokenTime
	}
	if now.Sub(b.firstAt) < staleAfter {
		e.FirstTokenLatency = b.firstToken
	}
	quiet := now.Sub(b.progress)
	if b.own > 0 && e.InterTokenLatency > 0 && quiet > stallFactor*e.InterTokenLatency {
		e.InterTokenLatency = quiet
	}
	return e
}

// LocalLoads implements quetzalroad.LoadTracker. An upstream is told while this node
// has work there, or saw its token time a moment ago.
func (t *Tracker) LocalLoads(now time.Time) []quetzalroad.UpstreamLoad {
	var loads []quetzalroad.UpstreamLoad
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for u, b := range sh.beliefs {
			l := quetzalroad.UpstreamLoad{Upstream: u, Running: b.own}
			if now.Sub(b.tokenAt) < toldFor {
				l.InterTokenLatency = b.tokenTime
			}
			if l.Running > 0 || l.InterTokenLatency > 0 {
				loads = append(loads, l)
			}
		}
		sh.mu.Unlock()
	}
	return loads
}

// toldFor is how long an observed token time is told to peers.
const toldFor = 2 * time.Second
