// Package recorder counts what a node decides, for /debug/vars.
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

// Recorder is the part that counts. The zero value is ready for use and counts
// into maps of its own.
type Recorder struct {
	logger    *slog.Logger
	addresses []netip.AddrPort

	refusals  expvar.Map
	retries   expvar.Map
	outcomes  expvar.Map
	breaches  expvar.Map
	sent      expvar.Map
	received  expvar.Map
	far       expvar.Map
	attempts  expvar.Int
	generated expvar.Int
	wasted    expvar.Int
	waits     histograms
	firsts    histograms
	inTarget  expvar.Map
}

// Declare implements kernel.Component.
func (c *Recorder) Declare(s *configloader.Section) {
	s.Addresses("metrics-addresses", &c.addresses, "Where to serve all counters and histograms as text.")
}

// Build implements kernel.Component.
func (c *Recorder) Build(n *kernel.Node) error {
	c.logger = n.Logger
	n.Recorder = c
	n.Vars.Set("refusals", &c.refusals)
	n.Vars.Set("retries", &c.retries)
	n.Vars.Set("outcomes", &c.outcomes)
	n.Vars.Set("invariant-breaches", &c.breaches)
	n.Vars.Set("control-bytes-sent", &c.sent)
	n.Vars.Set("control-bytes-received", &c.received)
	n.Vars.Set("far-bytes", &c.far)
	n.Vars.Set("attempts", &c.attempts)
	n.Vars.Set("tokens-generated", &c.generated)
	n.Vars.Set("tokens-wasted", &c.wasted)
	n.Vars.Set("queue-waits", &c.waits)
	n.Vars.Set("first-tokens", &c.firsts)
	n.Vars.Set("first-tokens-in-target", &c.inTarget)
	n.Vars.Set("process-cpu-seconds", expvar.Func(processorTime))
	for _, a := range c.addresses {
		if err := expose(n, a); err != nil {
			return err
		}
	}
	return nil
}

// processorTime gives the processor time of the process, in seconds.
func processorTime() any {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0.0
	}
	total := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return total.Seconds()
}

// CountRefusal implements quetzalroad.Recorder.
func (c *Recorder) CountRefusal(r quetzalroad.RefusalReason) {
	c.refusals.Add(string(r), 1)
}

// CountRetry implements quetzalroad.Recorder.
func (c *Recorder) CountRetry(r quetzalroad.RetryReason) {
	c.retries.Add(string(r), 1)
}

// CountAttempt implements quetzalroad.Recorder.
func (c *Recorder) CountAttempt() {
	c.attempts.Add(1)
}

// CountTokens implements quetzalroad.Recorder.
func (c *Recorder) CountTokens(generated, wasted int) {
	c.generated.Add(int64(generated))
	c.wasted.Add(int64(wasted))
}

// ObserveQueueWait implements quetzalroad.Recorder.
func (c *Recorder) ObserveQueueWait(class quetzalroad.Class, took time.Duration) {
	c.waits.record(class, took)
}

// ObserveFirstToken implements quetzalroad.Recorder.
func (c *Recorder) ObserveFirstToken(class quetzalroad.Class, took time.Duration, inTarget bool) {
	c.firsts.record(class, took)
	if inTarget {
		c.inTarget.Add(string(class), 1)
	}
}

// CountOutcome implements quetzalroad.Recorder.
func (c *Recorder) CountOutcome(class quetzalroad.Class, o quetzalroad.Outcome) {
	c.outcomes.Add(string(class)+"/"+string(o), 1)
}

// CountSent implements quetzalroad.Recorder.
func (c *Recorder) CountSent(kind quetzalroad.ControlKind, bytes int) {
	c.sent.Add(string(kind), int64(bytes))
}

// CountReceived implements quetzalroad.Recorder.
func (c *Recorder) CountReceived(kind quetzalroad.ControlKind, bytes int) {
	c.received.Add(string(kind), int64(bytes))
}

// CountCrossDataCentre implements quetzalroad.Recorder.
func (c *Recorder) CountCrossDataCentre(purpose quetzalroad.CrossDataCentrePurpose, bytes int) {
	c.far.Add(string(purpose), int64(bytes))
}

// RecordViolation implements quetzalroad.Recorder.
func (c *Recorder) RecordViolation(name, seen string) {
	c.breaches.Add(name, 1)
	if c.logger != nil {
		c.logger.Error("invariant broken", "invariant", name, "seen", seen)
	}
}

const (
	// lowest and highest bound what a histogram tells apart.
	lowest  = time.Microsecond
	highest = time.Hour
	// figures is the number of significant digits kept.
	figures = 2
)

// histogramShards is the number of histograms of a class. An observation goes
// to any of them; they are merged when they are read.
const histogramShards = 8

// histograms keeps the histograms of each class. The zero value is empty.
type histograms struct {
	// classes maps a quetzalroad.Class to a *histogram.
	classes sync.Map
}

type histogram struct {
	shards [histogramShards]histogramShard
}

type histogramShard struct {
	// Shards that several cores lock share no cache line.
	_  cpu.CacheLinePad
	mu sync.Mutex
	// h holds microseconds and is guarded by mu; it is made on first use.
	h *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowest.Microseconds(), highest.Microseconds(), figures)
}

func (s *histograms) record(class quetzalroad.Class, took time.Duration) {
	v, ok := s.classes.Load(class)
	if !ok {
		v, _ = s.classes.LoadOrStore(class, new(histogram))
	}
	sh := &v.(*histogram).shards[rand.IntN(histogramShards)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.h == nil {
		sh.h = newHistogram()
	}
	// A value out of range is counted at the bound, so no error can come.
	_ = sh.h.RecordValue(min(max(took, lowest), highest).Microseconds())
}

// merged gives all shards in one.
func (one *histogram) merged() *hdrhistogram.Histogram {
	all := newHistogram()
	for i := range one.shards {
		sh := &one.shards[i]
		sh.mu.Lock()
		if sh.h != nil {
			all.Merge(sh.h)
		}
		sh.mu.Unlock()
	}
	return all
}

type histogramJSON struct {
	Count int64  `json:"count"`
	P50   string `json:"p50"`
	P95   string `json:"p95"`
	P99   string `json:"p99"`
	Max   string `json:"max"`
}

// String gives the histograms by class as JSON, for expvar.
func (s *histograms) String() string {
	all := make(map[string]histogramJSON)
	s.classes.Range(func(class, v any) bool {
		all[string(class.(quetzalroad.Class))] = v.(*histogram).summary()
		return true
	})
	data, err := json.Marshal(all)
	if err != nil {
		return "{}"
	}
	return string(data)
}

func (one *histogram) summary() histogramJSON {
	all := one.merged()
	at := func(quantile float64) string {
		return (time.Duration(all.ValueAtQuantile(quantile)) * time.Microsecond).String()
	}
	return histogramJSON{Count: all.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: at(100)}
}
