// Package recorder records metrics of a node's decisions, for /debug/vars.
package recorder

import (
	"encoding/json"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/cpu"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotRecorder, Name: "expvar", Default: true,
		New: func() kernel.Component { return new(Recorder) },
	})
}

// Recorder is the component that records metrics. The zero value is ready for use;
// its maps are its own and are not published before Build.
type Recorder struct {
	logger           *slog.Logger
	metricsAddresses []netip.AddrPort

	refusals        expvar.Map
	retries         expvar.Map
	failures        expvar.Map
	outcomes        expvar.Map
	violations      expvar.Map
	sent            expvar.Map
	received        expvar.Map
	crossDataCentre expvar.Map
	attempts        expvar.Int
	tokensGenerated expvar.Int
	tokensWasted    expvar.Int
	queueWaits      histograms
	firstTokens     histograms
	inTarget        expvar.Map
}

// Declare implements kernel.Component.
func (r *Recorder) Declare(s *configloader.Section) {
	s.Addresses("metrics-addresses", &r.metricsAddresses, "Addresses at which to serve all counters and histograms as text.")
}

// Build implements kernel.Component.
func (r *Recorder) Build(n *kernel.Node) error {
	r.logger = n.Logger
	n.Recorder = r
	n.Vars.Set("refusals", &r.refusals)
	n.Vars.Set("retries", &r.retries)
	n.Vars.Set("failed-attempts", &r.failures)
	n.Vars.Set("outcomes", &r.outcomes)
	n.Vars.Set("invariant-breaches", &r.violations)
	n.Vars.Set("control-bytes-sent", &r.sent)
	n.Vars.Set("control-bytes-received", &r.received)
	n.Vars.Set("far-bytes", &r.crossDataCentre)
	n.Vars.Set("attempts", &r.attempts)
	n.Vars.Set("tokens-generated", &r.tokensGenerated)
	n.Vars.Set("tokens-wasted", &r.tokensWasted)
	n.Vars.Set("queue-waits", &r.queueWaits)
	n.Vars.Set("first-tokens", &r.firstTokens)
	n.Vars.Set("first-tokens-in-target", &r.inTarget)
	n.Vars.Set("process-cpu-seconds", expvar.Func(cpuSeconds))
	for _, a := range r.metricsAddresses {
		if err := serveMetrics(n, a); err != nil {
			return err
		}
	}
	return nil
}

// cpuSeconds returns the CPU time of the process, in seconds.
func cpuSeconds() any {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0.0
	}
	total := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return total.Seconds()
}

// CountRefusal implements quetzalroad.Recorder.
func (r *Recorder) CountRefusal(reason quetzalroad.RefusalReason) {
	r.refusals.Add(string(reason), 1)
}

// CountRetry implements quetzalroad.Recorder.
func (r *Recorder) CountRetry(reason quetzalroad.RetryReason) {
	r.retries.Add(string(reason), 1)
}

// CountAttempt implements quetzalroad.Recorder.
func (r *Recorder) CountAttempt() {
	r.attempts.Add(1)
}

// CountFailure implements quetzalroad.Recorder.
func (r *Recorder) CountFailure(reason quetzalroad.RetryReason) {
	r.failures.Add(string(reason), 1)
}

// CountTokens implements quetzalroad.Recorder.
func (r *Recorder) CountTokens(generated, wasted int) {
	r.tokensGenerated.Add(int64(generated))
	r.tokensWasted.Add(int64(wasted))
}

// ObserveQueueWait implements quetzalroad.Recorder.
func (r *Recorder) ObserveQueueWait(class quetzalroad.Class, wait time.Duration) {
	r.queueWaits.observe(class, wait)
}

// ObserveFirstToken implements quetzalroad.Recorder.
func (r *Recorder) ObserveFirstToken(class quetzalroad.Class, latency time.Duration, withinTarget bool) {
	r.firstTokens.observe(class, latency)
	if withinTarget {
		r.inTarget.Add(string(class), 1)
	}
}

// CountOutcome implements quetzalroad.Recorder.
func (r *Recorder) CountOutcome(class quetzalroad.Class, o quetzalroad.Outcome) {
	r.outcomes.Add(string(class)+"/"+string(o), 1)
}

// CountSent implements quetzalroad.Recorder.
func (r *Recorder) CountSent(kind quetzalroad.ControlKind, bytes int) {
	r.sent.Add(string(kind), int64(bytes))
}

// CountReceived implements quetzalroad.Recorder.
func (r *Recorder) CountReceived(kind quetzalroad.ControlKind, bytes int) {
	r.received.Add(string(kind), int64(bytes))
}

// CountCrossDataCentre implements quetzalroad.Recorder.
func (r *Recorder) CountCrossDataCentre(purpose quetzalroad.CrossDataCentrePurpose, bytes int) {
	r.crossDataCentre.Add(string(purpose), int64(bytes))
}

// RecordViolation implements quetzalroad.Recorder.
func (r *Recorder) RecordViolation(invariant, observed string) {
	r.violations.Add(invariant, 1)
	if r.logger != nil {
		r.logger.Error("invariant broken", "invariant", invariant, "seen", observed)
	}
}

const (
	// minValue and maxValue bound the values that a histogram distinguishes.
	minValue = time.Microsecond
	maxValue = time.Hour
	// significantDigits is the precision of the histograms.
	significantDigits = 2
)

// histogramShards is the number of histograms per class. An observation goes to
// a random one; they are merged when they are read.
const histogramShards = 8

// histograms holds one histogram per class. The zero value is empty.
type histograms struct {
	// classes maps a quetzalroad.Class to a *histogram.
	classes sync.Map
}

type histogram struct {
	shards [histogramShards]histogramShard
}

type histogramShard struct {
	// Padding keeps shards that different cores lock off the same cache line.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// h holds microseconds and is guarded by mu; it is created on first use.
	h *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minValue.Microseconds(), maxValue.Microseconds(), significantDigits)
}

func (s *histograms) observe(class quetzalroad.Class, value time.Duration) {
	v, ok := s.classes.Load(class)
	if !ok {
		v, _ = s.classes.LoadOrStore(class, new(histogram))
	}
	shard := &v.(*histogram).shards[rand.IntN(histogramShards)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.h == nil {
		shard.h = newHistogram()
	}
	// The value is clamped to the range, so no error can occur.
	_ = shard.h.RecordValue(min(max(value, minValue), maxValue).Microseconds())
}

// merged returns the sum of all shards.
func (h *histogram) merged() *hdrhistogram.Histogram {
	merged := newHistogram()
	for i := range h.shards {
		shard := &h.shards[i]
		shard.mu.Lock()
		if shard.h != nil {
			merged.Merge(shard.h)
		}
		shard.mu.Unlock()
	}
	return merged
}

type histogramJSON struct {
	Count int64  `json:"count"`
	P50   string `json:"p50"`
	P95   string `json:"p95"`
	P99   string `json:"p99"`
	Max   string `json:"max"`
}

// String returns the histograms by class as JSON, for expvar.
func (s *histograms) String() string {
	summaries := make(map[string]histogramJSON)
	s.classes.Range(func(class, v any) bool {
		summaries[string(class.(quetzalroad.Class))] = v.(*histogram).summary()
		return true
	})
	data, err := json.Marshal(summaries)
	if err != nil {
		return "{}"
	}
	return string(data)
}

func (h *histogram) summary() histogramJSON {
	merged := h.merged()
	percentile := func(percent float64) string {
		return (time.Duration(merged.ValueAtQuantile(percent)) * time.Microsecond).String()
	}
	return histogramJSON{Count: merged.TotalCount(), P50: percentile(50), P95: percentile(95), P99: percentile(99), Max: percentile(100)}
}
