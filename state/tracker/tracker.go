// Package tracker estimates the load of upstreams.
//
// An estimate combines three sources: the upstream's own report, which counts
// the requests of all nodes but is late; the attempts that this node started and
// finished since the report was measured; and the loads that peers report.
// Observed latencies reveal a slowdown before any report does.
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
	// shardCount is the number of shards of the upstream states.
	shardCount = 32
	// historySize is the number of load changes kept for each upstream, to correct late reports.
	historySize = 128
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.4
	// reportSmoothing is the weight of a new report against earlier ones. Single
	// reports are noisy, as they and the loads of peers lag differently.
	reportSmoothing = 0.3
	// staleAfter is the age at which observed latencies are no longer used.
	staleAfter = 10 * time.Second
	// stallFactor is how many inter-token latencies without progress count as a
	// stall. The next token then takes at least the time since the last one.
	stallFactor = 2
)

// loadChange is a change of the number of attempts on an upstream.
type loadChange struct {
	at    time.Time
	delta int
}

// changeHistory is a ring buffer of the last changes. The zero value is empty.
type changeHistory struct {
	// changes are in order of time, the oldest at next.
	changes [historySize]loadChange
	next    int
}

func (h *changeHistory) add(at time.Time, delta int) {
	h.changes[h.next] = loadChange{at: at, delta: delta}
	h.next = (h.next + 1) % historySize
}

// sumAfter returns the sum of the changes after a time.
func (h *changeHistory) sumAfter(t time.Time) int {
	sum := 0
	for i := range h.changes {
		c := h.changes[(h.next-1-i+2*historySize)%historySize]
		if c.delta == 0 || !c.at.After(t) {
			break
		}
		sum += c.delta
	}
	return sum
}

// upstreamState is what a node knows about the load of one upstream.
type upstreamState struct {
	// localRunning counts this node's attempts and is never negative.
	localRunning int
	// history holds the last changes of localRunning and of peerRunning.
	history changeHistory
	// report is the one measured last; zero before the first.
	report     quetzalroad.LoadReport
	reportedAt time.Time
	// reportFromPeer reports whether a peer received it.
	reportFromPeer bool
	// unattributed is a moving average of what the reports counted beyond the
	// work of this node and its peers.
	unattributed float64
	// polledAt is when this node itself last received a report; zero if never.
	polledAt time.Time
	// runningByPeer holds the last count of each peer; peerRunning is their sum.
	runningByPeer map[quetzalroad.NodeName]int
	peerRunning   int
	// interTokenLatency and firstTokenLatency are moving averages, each with the
	// time of its last local sample.
	interTokenLatency time.Duration
	interTokenAt      time.Time
	// peerLatencyAt is when interTokenLatency was last updated from a peer.
	peerLatencyAt     time.Time
	firstTokenLatency time.Duration
	firstTokenAt      time.Time
	// progressAt is when an attempt last generated a token or began on an idle upstream.
	progressAt time.Time
	// failures counts consecutive failed attempts; suspectUntil is set from it.
	failures     int
	suspectUntil time.Time
	// leaving reports whether the VM list shows the upstream as leaving.
	leaving bool
}

// shard holds the states of the upstreams whose names hash to it.
type shard struct {
	// Padding keeps the locks of different shards on separate cache lines.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// states is guarded by mu and allocated on first use.
	states map[quetzalroad.UpstreamName]*upstreamState
}

// Tracker estimates loads and lists the candidates of services. Declare describes its settings.
type Tracker struct {
	directory       quetzalroad.Directory
	drainer         quetzalroad.Drainer
	dataCentre      quetzalroad.DataCentre
	region          quetzalroad.Region
	reportTTL       time.Duration
	occupancyTTL    time.Duration
	suspectFor      time.Duration
	maxSuspectShare float64
	scope           string
	shards          [shardCount]shard
	views           viewCache
	// reportingPeers maps each peer that reported its load to the time it did.
	reportingPeers sync.Map
	// reportingCount is the number of reportingPeers.
	reportingCount atomic.Int64
	poller         poller
}

// Declare implements kernel.Component.
func (t *Tracker) Declare(s *configloader.Section) {
	s.Duration("report-lifetime", &t.reportTTL, 15*time.Second, 100*time.Millisecond, 10*time.Minute, "Age at which a load report is no longer used.")
	s.Duration("occupancy-lifetime", &t.occupancyTTL, 1500*time.Millisecond, 0, 10*time.Minute, "Age at which a load report no longer tells whether an upstream is full.")
	s.Duration("suspect-for", &t.suspectFor, 2*time.Second, 10*time.Millisecond, 10*time.Minute, "How long an upstream is suspect after consecutive failures; doubled with each further one, up to eightfold.")
	s.Duration("report-interval", &t.poller.interval, time.Second, 0, time.Minute, "Interval at which an upstream is polled for its load; zero for never.")
	s.Duration("report-timeout", &t.poller.timeout, 500*time.Millisecond, 10*time.Millisecond, time.Minute, "Timeout of a request for a load report.")
	s.Enum("reach", &t.scope, scopeNearest, []string{scopeNearest, scopeAll}, "Which upstreams are candidates: those of the nearest data centre or region with one that is not suspect, or all.")
	s.Float("suspect-share", &t.maxSuspectShare, 0.5, 0, 1, "Largest share of a service's candidate upstreams that may be left out as suspect.")
}

// The values of the setting "reach".
const (
	scopeNearest = "nearest"
	scopeAll     = "all"
)

// Build implements kernel.Component.
func (t *Tracker) Build(n *kernel.Node) error {
	t.directory = n.Directory
	t.drainer = n.Drainer
	t.dataCentre = n.DataCentre
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

// withState calls f with the state of an upstream, under its shard's lock.
func (t *Tracker) withState(u quetzalroad.UpstreamName, f func(s *upstreamState)) {
	sh := t.shard(u)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.states[u]
	if s == nil {
		if sh.states == nil {
			sh.states = make(map[quetzalroad.UpstreamName]*upstreamState)
		}
		s = new(upstreamState)
		sh.states[u] = s
	}
	f(s)
}

func (s *upstreamState) changeLocal(now time.Time, delta int) {
	s.localRunning += delta
	s.history.add(now, delta)
}

// BeginAttempt implements quetzalroad.LoadTracker.
func (t *Tracker) BeginAttempt(u quetzalroad.UpstreamName, now time.Time) {
	t.withState(u, func(s *upstreamState) {
		if s.localRunning == 0 {
			s.progressAt = now
		}
		s.changeLocal(now, 1)
	})
}

// ObserveFirstToken implements quetzalroad.LoadTracker.
func (t *Tracker) ObserveFirstToken(u quetzalroad.UpstreamName, now time.Time, latency time.Duration) {
	t.withState(u, func(s *upstreamState) {
		s.firstTokenLatency = movingAverage(s.firstTokenLatency, latency, now.Sub(s.firstTokenAt))
		s.firstTokenAt = now
		s.progressAt = now
	})
}

// ObserveInterToken implements quetzalroad.LoadTracker.
func (t *Tracker) ObserveInterToken(u quetzalroad.UpstreamName, now time.Time, latency time.Duration) {
	t.withState(u, func(s *upstreamState) {
		s.interTokenLatency = movingAverage(s.interTokenLatency, latency, now.Sub(s.interTokenAt))
		s.interTokenAt = now
		s.progressAt = now
	})
}

// movingAverage moves an average towards a sample, or replaces it if it is stale.
func movingAverage(old, sample, age time.Duration) time.Duration {
	if old == 0 || age > staleAfter {
		return sample
	}
	return old + time.Duration(smoothing*float64(sample-old))
}

// suspectAfter is the number of consecutive failures that make an upstream suspect.
const suspectAfter = 2

// EndAttempt implements quetzalroad.LoadTracker.
func (t *Tracker) EndAttempt(u quetzalroad.UpstreamName, now time.Time, failed bool) {
	t.withState(u, func(s *upstreamState) {
		s.changeLocal(now, -1)
		if !failed {
			s.failures = 0
			s.suspectUntil = time.Time{}
			return
		}
		s.failures++
		if s.failures < suspectAfter {
			return
		}
		doublings := min(s.failures-suspectAfter, 3)
		s.suspectUntil = now.Add(t.suspectFor << doublings)
	})
}

// UpdateReport implements quetzalroad.LoadTracker. A report can't be measured after it is received, whatever the
// upstream's clock says.
func (t *Tracker) UpdateReport(u quetzalroad.UpstreamName, received time.Time, r quetzalroad.LoadReport) {
	if r.MeasuredAt.After(received) {
		r.MeasuredAt = received
	}
	t.withState(u, func(s *upstreamState) {
		if s.updateReport(received, r, t.reportTTL) {
			s.reportFromPeer = false
		}
	})
}

// updateReport takes a report over, unless it was measured before the last one.
func (s *upstreamState) updateReport(received time.Time, r quetzalroad.LoadReport, reportTTL time.Duration) bool {
	if r.MeasuredAt.Before(s.report.MeasuredAt) {
		return false
	}
	excess := float64(r.Running + r.Waiting + s.history.sumAfter(r.MeasuredAt) - s.localRunning - s.peerRunning)
	if len(s.runningByPeer) > 0 && r.MeasuredAt.Sub(s.report.MeasuredAt) < reportTTL {
		excess = s.unattributed + reportSmoothing*(excess-s.unattributed)
	}
	s.unattributed = excess
	s.report = r
	s.reportedAt = received
	return true
}

// SetLeaving implements quetzalroad.LoadTracker.
func (t *Tracker) SetLeaving(u quetzalroad.UpstreamName, leaving bool) {
	t.withState(u, func(s *upstreamState) { s.leaving = leaving })
}

// Estimate implements quetzalroad.LoadTracker.
func (t *Tracker) Estimate(u quetzalroad.UpstreamName, now time.Time) quetzalroad.LoadEstimate {
	sh := t.shard(u)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.states[u]
	if s == nil {
		return quetzalroad.LoadEstimate{}
	}
	e := s.estimate(now, t.reportTTL)
	if e.ReportAge < t.occupancyTTL {
		e.Occupancy = s.report.Running + s.report.Waiting
	}
	e.ReportingPeers = int(t.reportingCount.Load())
	return e
}

// estimate returns the load estimate. Running is the work of this node and its peers, plus unattributed
// if the report is younger than reportTTL.
func (s *upstreamState) estimate(now time.Time, reportTTL time.Duration) quetzalroad.LoadEstimate {
	e := quetzalroad.LoadEstimate{
		LocalRunning: s.localRunning,
		PeerRunning:  s.peerRunning,
		Running:      s.localRunning + s.peerRunning,
		Suspect:      now.Before(s.suspectUntil),
		Leaving:      s.leaving || s.report.Leaving,
	}
	if !s.reportedAt.IsZero() && now.Sub(s.report.MeasuredAt) < reportTTL {
		e.Running += int(max(0, s.unattributed))
	}
	if !s.reportedAt.IsZero() {
		e.ReportAge = now.Sub(s.report.MeasuredAt)
	}
	if now.Sub(s.interTokenAt) < staleAfter || now.Sub(s.peerLatencyAt) < staleAfter {
		e.InterTokenLatency = s.interTokenLatency
	}
	if now.Sub(s.firstTokenAt) < staleAfter {
		e.FirstTokenLatency = s.firstTokenLatency
	}
	sinceProgress := now.Sub(s.progressAt)
	if s.localRunning > 0 && e.InterTokenLatency > 0 && sinceProgress > stallFactor*e.InterTokenLatency {
		e.InterTokenLatency = sinceProgress
	}
	return e
}
